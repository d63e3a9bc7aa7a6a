/**
 * @fileoverview Tail latency of a shared service while one of its servers is
 * slow, for the policy of the daemons and for usual ways to choose.
 */

import {DEFAULT_TUNING} from '@jackdawfall/core';
import type {Tuning} from '@jackdawfall/core';

import type {Baseline} from './baselines.js';
import {BaselineServers} from './baselines.js';
import type {Load, Sample} from './load.js';
import {
  LINK_DELAY_MS,
  SLOTS,
  arrive,
  capacityOf,
  drawServiceMs,
  runLoad,
} from './load.js';
import {percentile} from './overload.js';
import {Schedule} from './schedule.js';

const SERVERS = 4;
const SLOW_FACTOR = 20;
const SLOW_FROM_MS = 10_000;
const SLOW_MS = 10_000;
const DURATION_MS = 25_000;
const TIMEOUT_MS = 2000;
/** Share of the capacity of all servers that is asked for. */
const UTILISATION = 0.4;

/** Latencies of the requests sent while one server was slow. */
export interface TailFigures {
  readonly requests: number;
  readonly unanswered: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  /** Runs beyond one for each request, as a share of requests. */
  readonly extraWork: number;
}

/**
 * Measures every policy, with and without the slow server.
 *
 * @param seed - Seed of arrivals and run times.
 * @returns Figures by policy.
 */
export function measureTail(seed: number): Record<string, TailFigures> {
  const plain = withoutHedges(DEFAULT_TUNING);
  return {
    'policy, no straggler': runPolicy(seed, DEFAULT_TUNING, true, 1),
    policy: runPolicy(seed, DEFAULT_TUNING, true, SLOW_FACTOR),
    'policy without hedging': runPolicy(seed, plain, true, SLOW_FACTOR),
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
 * Settings under which no lookup is hedged.
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
): TailFigures {
  const load: Load = {
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
  return figuresOf(samples, (runs - answered) / samples.length);
}

function runBaseline(seed: number, way: Baseline, factor: number) {
  const schedule = new Schedule(seed);
  const serviceMs = Array.from({length: SERVERS}, (_, server) => () => {
    return drawServiceMs(schedule) * slowness(server, schedule.now, factor);
  });
  const servers = new BaselineServers(schedule, way, SLOTS, serviceMs);
  const samples: Sample[] = [];
  const load = {
    rate: UTILISATION * capacityOf(SERVERS),
    durationMs: DURATION_MS,
  };
  arrive(schedule, load, () => {
    const at = schedule.now;
    servers.call(() => {
      const latencyMs = schedule.now - at + 2 * LINK_DELAY_MS;
      const isInTime = latencyMs <= TIMEOUT_MS;
      samples.push({at, latencyMs, answered: isInTime, runMs: 0});
    });
  });
  schedule.run(DURATION_MS * 100);
  return figuresOf(samples, 0);
}

function slowness(server: number, now: number, factor: number): number {
  const isSlow = now >= SLOW_FROM_MS && now < SLOW_FROM_MS + SLOW_MS;
  return server === 0 && isSlow ? factor : 1;
}

/** An unanswered request counts with its whole timeout. */
function figuresOf(samples: readonly Sample[], extraWork: number): TailFigures {
  const until = SLOW_FROM_MS + SLOW_MS;
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
