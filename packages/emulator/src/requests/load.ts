/** @fileoverview Open load of callers in virtual time. */

import type {RequestId, Slice, Tuning} from '@jackdawfall/core';
import {DEFAULT_TUNING} from '@jackdawfall/core';

import {Cluster} from './cluster.js';
import {SERVICE, SLICES} from './map_copy.js';
import type {Schedule} from './schedule.js';

/** Time a run takes at least, and the mean of what comes on top. */
const LEAST_SERVICE_MS = 4;
const MORE_SERVICE_MS = 2;
/** Mean time of a run on a healthy server, in milliseconds. */
export const SERVICE_MS = LEAST_SERVICE_MS + MORE_SERVICE_MS;
/** Runs at the same time on one server. */
export const SLOTS = 20;
/** Time between two daemons, in milliseconds. */
export const LINK_DELAY_MS = 1;

/** One run of an experiment. */
export interface Load {
  readonly seed: number;
  readonly servers: number;
  /** Requests a second, in all. */
  readonly rate: number;
  readonly durationMs: number;
  readonly idempotent: boolean;
  /** Whether each request has one owner. */
  readonly keyed: boolean;
  readonly timeoutMs: number;
  readonly settings: Tuning;
  /** Factor on the time of a run, for a server at a moment. */
  slowness(server: number, now: number): number;
}

/** What came of one request. */
export interface Sample {
  readonly at: number;
  readonly latencyMs: number;
  readonly answered: boolean;
  /** Time of its run on a server, in milliseconds; 0 without one. */
  readonly runMs: number;
}

/** What came of a run. */
export interface Result {
  readonly samples: readonly Sample[];
  /** Runs on servers, and runs at the same time on one server. */
  readonly runs: number;
  readonly mostRunning: number;
}

/** Requests a second that the servers can run. */
export function capacityOf(servers: number): number {
  return (servers * SLOTS * 1000) / SERVICE_MS;
}

/**
 * Draws the time of a run.
 *
 * @param schedule - Virtual time and randomness.
 * @returns Milliseconds.
 */
export function drawServiceMs(schedule: Schedule): number {
  return LEAST_SERVICE_MS + schedule.exponential(MORE_SERVICE_MS);
}

/**
 * Runs a load against daemons and servers.
 *
 * @param load - The load.
 * @returns What came of it.
 */
export function runLoad(load: Load): Result {
  const cluster = new Cluster({
    seed: load.seed,
    daemons: load.servers,
    slots: SLOTS,
    linkDelayMs: LINK_DELAY_MS,
    settings: load.settings,
    lagMs: 0,
    behaviour: (schedule, server) => ({
      serviceMs: () =>
        drawServiceMs(schedule) * load.slowness(server, schedule.now),
      bears: () => Infinity,
    }),
  });
  const {schedule} = cluster;
  let count = 0;
  arrive(schedule, load, () => {
    count += 1;
    cluster.call(Math.floor(schedule.random() * load.servers), {
      request: `r${count}` as RequestId,
      service: SERVICE,
      slice: load.keyed ? sliceFor(schedule, load.servers) : null,
      idempotent: load.idempotent,
      priority: 'interactive',
      timeoutMs: load.timeoutMs,
      maxAttempts: null,
      idempotencyKey: null,
    });
  });
  schedule.run(
    load.durationMs + load.timeoutMs + DEFAULT_TUNING.routing.graceMs,
  );
  return resultOf(cluster);
}

/**
 * Adds arrivals at random moments until the load's duration is over.
 *
 * @param schedule - Virtual time.
 * @param load - Rate and duration.
 * @param act - Called for each.
 */
export function arrive(
  schedule: Schedule,
  load: Pick<Load, 'rate' | 'durationMs'>,
  act: () => void,
): void {
  if (schedule.now >= load.durationMs) return;
  schedule.after(schedule.exponential(1000 / load.rate), () => {
    act();
    arrive(schedule, load, act);
  });
}

/** Slices are spread evenly over the servers that own one each. */
function sliceFor(schedule: Schedule, servers: number): Slice {
  const owners = Math.min(servers, SLICES);
  return Math.floor(schedule.random() * owners) as Slice;
}

function resultOf(cluster: Cluster): Result {
  const samples = [...cluster.calls.values()].map(({taken, at, told}) => ({
    at,
    latencyMs: (told[0]?.at ?? Infinity) - at,
    answered: told[0]?.failure === null,
    runMs: runMsOf(cluster, taken.request),
  }));
  let runs = 0;
  let mostRunning = 0;
  for (const server of cluster.servers) {
    for (const count of server.ran.values()) runs += count;
    mostRunning = Math.max(mostRunning, server.mostRunning);
  }
  return {samples, runs, mostRunning};
}

function runMsOf({servers}: Cluster, request: RequestId): number {
  const times = servers.map(({runMs}) => runMs.get(request) ?? 0);
  return Math.max(...times);
}
