/**
 * @fileoverview A simulation of requests in virtual time, with a few daemons and
 * their backend servers.
 */

import type {
  MemberId,
  RequestId,
  AcceptedRequest,
  Scheduling,
  Tuning,
} from '@jackdawfall/core';

import type {CallerOutcome} from './daemon.js';
import {SimulatedDaemon} from './daemon.js';
import type {MapChange} from './map_copy.js';
import {MapCopy} from './map_copy.js';
import {Network} from './network.js';
import {Schedule} from './schedule.js';
import type {ServerBehaviour} from './server.js';
import {SimulatedServer} from './server.js';

/** Options of a simulation. */
export interface SimulationOptions {
  readonly seed: number;
  /** Number of daemons, each with a server. */
  readonly daemons: number;
  /** Concurrent runs of each server. */
  readonly slots: number;
  readonly linkDelayMs: number;
  readonly settings: Tuning;
  /** Maximum time until a daemon applies a change of the map. */
  readonly maxMapLagMs: number;
  /** Absent: by counts. */
  readonly scheduling?: Scheduling;
  /** Whether servers report their cold start; absent: no. */
  readonly reportsColdStart?: boolean;
  /** Called with each outcome that a caller is told. */
  readonly onOutcome?: (outcome: CallerOutcome) => void;
  behaviour(schedule: Schedule, index: number): ServerBehaviour;
}

/** One request and its outcomes. */
export interface Call {
  readonly accepted: AcceptedRequest;
  /** Index of the daemon that accepted it. */
  readonly daemon: number;
  /** Virtual time of the call, in milliseconds. */
  readonly at: number;
  /** Outcomes reported to the caller; more than one is a fault. */
  readonly outcomes: CallerOutcome[];
}

/** Daemons, their servers and the network between them. */
export class RequestSimulation {
  readonly schedule: Schedule;
  readonly network: Network;
  readonly members: MemberId[] = [];
  readonly maps: MapCopy[] = [];
  readonly servers: SimulatedServer[] = [];
  readonly daemons: SimulatedDaemon[] = [];
  readonly calls = new Map<RequestId, Call>();
  /** By daemon: when it applies its latest change of the map. */
  private readonly appliedAt: number[] = [];

  /** @param options - Size, seed and behaviour. */
  constructor(private readonly options: SimulationOptions) {
    const {seed, daemons, linkDelayMs} = options;
    this.schedule = new Schedule(seed);
    this.network = new Network(this.schedule, linkDelayMs);
    for (let index = 0; index < daemons; index++) {
      this.members.push(`h${index}#1` as MemberId);
    }
    for (let index = 0; index < daemons; index++) this.addDaemon(index);
  }

  /**
   * Sends a caller's request to a daemon.
   *
   * @param daemon - The daemon's index.
   * @param accepted - The request.
   */
  call(daemon: number, accepted: AcceptedRequest): void {
    const at = this.schedule.now;
    this.calls.set(accepted.request, {
      accepted,
      daemon,
      at,
      outcomes: [],
    });
    this.daemons[daemon].accept(accepted);
  }

  /**
   * Commits a change of the map. Each daemon applies it after a random delay,
   * but in the order of the commits.
   *
   * @param change - The change.
   */
  commit(change: MapChange): void {
    this.maps.forEach((map, index) => {
      const lag = this.schedule.random() * this.options.maxMapLagMs;
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
    for (const {runCounts} of this.servers) runs += runCounts.get(request) ?? 0;
    return runs;
  }

  /** Without scheduling by cost, members announce the slots of the default. */
  private createMap(member: MemberId): MapCopy {
    const {scheduling, slots} = this.options;
    if (scheduling === undefined) return new MapCopy(member, this.members);
    return new MapCopy(member, this.members, scheduling, slots);
  }

  private addDaemon(index: number): void {
    const {schedule, network, options, members} = this;
    const {slots, settings} = options;
    const server = new SimulatedServer(
      schedule,
      options.behaviour(schedule, index),
    );
    const map = this.createMap(members[index]);
    const reportOutcome = (outcome: CallerOutcome) => {
      this.calls.get(outcome.request)!.outcomes.push(outcome);
      options.onOutcome?.(outcome);
    };
    const environment = {
      schedule,
      network,
      map,
      server,
      slots,
      settings,
      reportsColdStart: options.reportsColdStart ?? false,
      reportOutcome,
    };
    this.servers.push(server);
    this.maps.push(map);
    this.appliedAt.push(0);
    this.daemons.push(new SimulatedDaemon(members[index], environment));
  }
}
