/** @fileoverview A few daemons with their servers in virtual time. */

import type {
  MemberId,
  RequestId,
  AcceptedRequest,
  Tuning,
} from '@jackdawfall/core';

import type {Told} from './daemon.js';
import {Daemon} from './daemon.js';
import type {Change} from './map_copy.js';
import {MapCopy} from './map_copy.js';
import {Network} from './network.js';
import {Schedule} from './schedule.js';
import type {Behaviour} from './server.js';
import {Server} from './server.js';

/** What a cluster is made of. */
export interface ClusterOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly slots: number;
  readonly linkDelayMs: number;
  readonly settings: Tuning;
  /** Longest time until a daemon has applied a change of the map. */
  readonly lagMs: number;
  behaviour(schedule: Schedule, index: number): Behaviour;
}

/** One request and what its caller was told. */
export interface Call {
  readonly taken: AcceptedRequest;
  readonly by: number;
  readonly at: number;
  readonly told: Told[];
}

/** The cluster. */
export class Cluster {
  readonly schedule: Schedule;
  readonly network: Network;
  readonly members: MemberId[] = [];
  readonly maps: MapCopy[] = [];
  readonly servers: Server[] = [];
  readonly daemons: Daemon[] = [];
  readonly calls = new Map<RequestId, Call>();
  private readonly appliedAt: number[] = [];

  /** @param options - What it is made of. */
  constructor(private readonly options: ClusterOptions) {
    const {seed, daemons, linkDelayMs} = options;
    this.schedule = new Schedule(seed);
    this.network = new Network(this.schedule, linkDelayMs);
    for (let index = 0; index < daemons; index++) {
      this.members.push(`h${index}#1` as MemberId);
    }
    for (let index = 0; index < daemons; index++) this.addDaemon(index);
  }

  /**
   * Gives a caller's request to a daemon.
   *
   * @param by - The daemon's index.
   * @param taken - The request.
   */
  call(by: number, taken: AcceptedRequest): void {
    const at = this.schedule.now;
    this.calls.set(taken.request, {taken, by, at, told: []});
    this.daemons[by].take(taken);
  }

  /**
   * Commits a change; each daemon applies it after a time of its own.
   *
   * @param change - The change.
   */
  commit(change: Change): void {
    this.maps.forEach((map, index) => {
      const lag = this.schedule.random() * this.options.lagMs;
      const at = Math.max(this.appliedAt[index], this.schedule.now + lag);
      this.appliedAt[index] = at;
      this.schedule.after(at - this.schedule.now, () => map.apply(change));
    });
  }

  /**
   * Counts the runs of a request on all servers.
   *
   * @param request - The request.
   * @returns The number of runs.
   */
  runsOf(request: RequestId): number {
    let runs = 0;
    for (const {ran} of this.servers) runs += ran.get(request) ?? 0;
    return runs;
  }

  private addDaemon(index: number): void {
    const {schedule, network, options, members} = this;
    const {slots, settings} = options;
    const server = new Server(schedule, options.behaviour(schedule, index));
    const map = new MapCopy(members[index], members);
    const tell = (told: Told) => {
      this.calls.get(told.request)!.told.push(told);
    };
    const around = {schedule, network, map, server, slots, settings, tell};
    this.servers.push(server);
    this.maps.push(map);
    this.appliedAt.push(0);
    this.daemons.push(new Daemon(members[index], around));
  }
}
