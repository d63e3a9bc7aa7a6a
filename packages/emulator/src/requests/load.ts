/** @fileoverview Simulates an open load, whose rate ignores the responses. */

import type {RequestId, Slice, Tuning} from '@jackdawfall/core';
import {DEFAULT_TUNING, NO_COST_CLASS} from '@jackdawfall/core';

import {RequestSimulation} from './simulation.js';
import {SERVICE, SLICES} from './map_copy.js';
import type {Schedule} from './schedule.js';

/** Minimum duration of a run, and the mean of the random rest. */
const MIN_SERVICE_MS = 4;
const MEAN_EXTRA_SERVICE_MS = 2;
/** Mean duration of a run on a healthy server, in milliseconds. */
export const MEAN_SERVICE_MS = MIN_SERVICE_MS + MEAN_EXTRA_SERVICE_MS;
/** Concurrent runs of one server. */
export const SLOTS = 20;
/** One-way delay between two daemons, in milliseconds. */
export const LINK_DELAY_MS = 1;

/** Parameters of a simulated load. */
export interface LoadExperiment {
  readonly seed: number;
  readonly servers: number;
  /** Requests per second, in total. */
  readonly rate: number;
  readonly durationMs: number;
  readonly idempotent: boolean;
  /** Whether each request has an owner; else any server may run it. */
  readonly keyed: boolean;
  readonly timeoutMs: number;
  readonly settings: Tuning;
  /** Factor on the duration of a run that starts on a server at a time. */
  slowness(server: number, now: number): number;
}

/** The result of one request. */
export interface Sample {
  readonly at: number;
  readonly latencyMs: number;
  readonly answered: boolean;
  /** Duration of its longest run on a server, in milliseconds; 0 without one. */
  readonly runMs: number;
}

/** The result of a simulated load. */
export interface LoadResult {
  readonly samples: readonly Sample[];
  /** Runs on all servers. */
  readonly runs: number;
  /** Maximum number of concurrent runs on one server. */
  readonly mostRunning: number;
}

/** Requests per second that the servers can run. */
export function capacityOf(servers: number): number {
  return (servers * SLOTS * 1000) / MEAN_SERVICE_MS;
}

/**
 * Draws the duration of a run.
 *
 * @param schedule - Virtual time and randomness.
 * @returns Milliseconds.
 */
export function drawServiceMs(schedule: Schedule): number {
  return MIN_SERVICE_MS + schedule.exponential(MEAN_EXTRA_SERVICE_MS);
}

/**
 * Simulates a load on daemons and servers.
 *
 * @param load - The load.
 * @returns The result.
 */
export function runLoad(load: LoadExperiment): LoadResult {
  const simulation = new RequestSimulation({
    seed: load.seed,
    daemons: load.servers,
    slots: SLOTS,
    linkDelayMs: LINK_DELAY_MS,
    settings: load.settings,
    maxMapLagMs: 0,
    behaviour: (schedule, server) => ({
      serviceMs: () =>
        drawServiceMs(schedule) * load.slowness(server, schedule.now),
      maxRuns: () => Infinity,
    }),
  });
  const {schedule} = simulation;
  let count = 0;
  scheduleArrivals(schedule, load, () => {
    count += 1;
    simulation.call(Math.floor(schedule.random() * load.servers), {
      request: `r${count}` as RequestId,
      service: SERVICE,
      slice: load.keyed ? drawSlice(schedule, load.servers) : null,
      idempotent: load.idempotent,
      priority: 'interactive',
      timeoutMs: load.timeoutMs,
      objectiveMs: 0,
      maxAttempts: null,
      idempotencyKey: null,
      tenant: null,
      urgency: 0,
      costClass: NO_COST_CLASS,
    });
  });
  schedule.run(
    load.durationMs + load.timeoutMs + DEFAULT_TUNING.routing.graceMs,
  );
  return resultOf(simulation);
}

/**
 * Schedules arrivals as a Poisson process until the load's duration is over.
 *
 * @param schedule - Virtual time.
 * @param load - Rate and duration.
 * @param call - Called at each arrival.
 */
export function scheduleArrivals(
  schedule: Schedule,
  load: Pick<LoadExperiment, 'rate' | 'durationMs'>,
  call: () => void,
): void {
  if (schedule.now >= load.durationMs) return;
  schedule.after(schedule.exponential(1000 / load.rate), () => {
    call();
    scheduleArrivals(schedule, load, call);
  });
}

/** Draws one of the first slices, of which each server owns one. */
function drawSlice(schedule: Schedule, servers: number): Slice {
  const owners = Math.min(servers, SLICES);
  return Math.floor(schedule.random() * owners) as Slice;
}

function resultOf(simulation: RequestSimulation): LoadResult {
  const samples = [...simulation.calls.values()].map(
    ({accepted, at, outcomes}) => ({
      at,
      latencyMs: (outcomes[0]?.at ?? Infinity) - at,
      answered: outcomes[0]?.failure === null,
      runMs: runMsOf(simulation, accepted.request),
    }),
  );
  let runs = 0;
  let mostRunning = 0;
  for (const server of simulation.servers) {
    for (const count of server.runCounts.values()) runs += count;
    mostRunning = Math.max(mostRunning, server.mostRunning);
  }
  return {samples, runs, mostRunning};
}

function runMsOf({servers}: RequestSimulation, request: RequestId): number {
  const times = servers.map(({runMs}) => runMs.get(request) ?? 0);
  return Math.max(...times);
}
