/**
 * @fileoverview Measures the tail latency of a shared service while one of its
 * servers is slow, for the daemons' selection of servers and for baselines.
 */

import {DEFAULT_TUNING} from '@jackdawfall/core';
import type {Tuning} from '@jackdawfall/core';

import type {Baseline} from './baselines.js';
import {BaselineServers} from './baselines.js';
import type {LoadExperiment, Sample} from './load.js';
import {
  LINK_DELAY_MS,
  SLOTS,
  scheduleArrivals,
  capacityOf,
  drawServiceMs,
  runLoad,
} from './load.js';
import {percentile} from './overload.js';
import {Schedule} from './schedule.js';

const SERVERS = 4;
/** Factor on the durations of runs on the slow server. */
const SLOW_FACTOR = 20;
const SLOW_FROM_MS = 10_000;
const SLOW_DURATION_MS = 10_000;
const DURATION_MS = 25_000;
const TIMEOUT_MS = 2000;
/** Offered load as a share of the capacity of all servers. */
const UTILISATION = 0.4;

/** Latencies of the requests sent while one server was slow. */
export interface TailMeasurement {
  readonly requests: number;
  readonly unanswered: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  /** Runs beyond one for each response, as a share of the requests. */
  readonly extraWork: number;
}

/**
 * Measures every policy, with and without a slow server.
 *
 * @param seed - Seed of arrivals and of the durations of runs.
 * @returns Results by policy.
 */
export function measureTail(seed: number): Record<string, TailMeasurement> {
  const unhedged = withoutHedges(DEFAULT_TUNING);
  return {
    'policy, no straggler': runPolicy(seed, DEFAULT_TUNING, true, 1),
    policy: runPolicy(seed, DEFAULT_TUNING, true, SLOW_FACTOR),
    'policy without hedging': runPolicy(seed, unhedged, true, SLOW_FACTOR),
    'policy, not idempotent, no straggler': runPolicy(
      seed,
      DEFAULT_TUNING,
      false,
      1,
    ),
    'policy, not idempotent': runPolicy(
      seed,
      DEFAULT_TUNING,
      false,
      SLOW_FACTOR,
    ),
    'round robin, no straggler': runBaseline(seed, 'round-robin', 1),
    'round robin': runBaseline(seed, 'round-robin', SLOW_FACTOR),
    'least reported load': runBaseline(
      seed,
      'least-reported-load',
      SLOW_FACTOR,
    ),
  };
}

/**
 * Changes settings so that no request is hedged.
 *
 * @param settings - The settings to change.
 * @returns The changed settings.
 */
export function withoutHedges(settings: Tuning): Tuning {
  return {...settings, routing: {...settings.routing, minHedgeMs: 1e9}};
}

function runPolicy(
  seed: number,
  settings: Tuning,
  idempotent: boolean,
  factor: number,
): TailMeasurement {
  const load: LoadExperiment = {
    seed,
    servers: SERVERS,
    rate: UTILISATION * capacityOf(SERVERS),
    durationMs: DURATION_MS,
    idempotent,
    keyed: false,
    timeoutMs: TIMEOUT_MS,
    settings,
    slowness: (server, now) => slowness(server, now, factor),
  };
  const {samples, runs} = runLoad(load);
  const answered = samples.filter(sample => sample.answered).length;
  return measurementOf(samples, (runs - answered) / samples.length);
}

function runBaseline(seed: number, baseline: Baseline, factor: number) {
  const schedule = new Schedule(seed);
  const serviceMs = Array.from({length: SERVERS}, (_, server) => () => {
    return drawServiceMs(schedule) * slowness(server, schedule.now, factor);
  });
  const servers = new BaselineServers(schedule, baseline, SLOTS, serviceMs);
  const samples: Sample[] = [];
  const load = {
    rate: UTILISATION * capacityOf(SERVERS),
    durationMs: DURATION_MS,
  };
  scheduleArrivals(schedule, load, () => {
    const at = schedule.now;
    servers.call(() => {
      const latencyMs = schedule.now - at + 2 * LINK_DELAY_MS;
      const isInTime = latencyMs <= TIMEOUT_MS;
      samples.push({at, latencyMs, answered: isInTime, runMs: 0});
    });
  });
  schedule.run(DURATION_MS * 100);
  return measurementOf(samples, 0);
}

function slowness(server: number, now: number, factor: number): number {
  const isSlow = now >= SLOW_FROM_MS && now < SLOW_FROM_MS + SLOW_DURATION_MS;
  return server === 0 && isSlow ? factor : 1;
}

/** A request without a response counts with its timeout as the latency. */
function measurementOf(
  samples: readonly Sample[],
  extraWork: number,
): TailMeasurement {
  const until = SLOW_FROM_MS + SLOW_DURATION_MS;
  const during = samples.filter(({at}) => at >= SLOW_FROM_MS && at < until);
  const unanswered = during.filter(sample => !sample.answered).length;
  const latencies = during.map(({latencyMs, answered}) =>
    answered ? latencyMs : TIMEOUT_MS,
  );
  return {
    requests: during.length,
    unanswered,
    p50Ms: percentile(latencies, 0.5),
    p99Ms: percentile(latencies, 0.99),
    p999Ms: percentile(latencies, 0.999),
    extraWork,
  };
}
