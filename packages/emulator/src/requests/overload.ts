/**
 * @fileoverview Measures throughput and latency of responses under overload, in
 * virtual time.
 */

import {DEFAULT_TUNING} from '@jackdawfall/core';

import {SLOTS, capacityOf, runLoad} from './load.js';

const SERVERS = 4;
const DURATION_MS = 6000;
/** Time in which the concurrency limits grow after the start; not measured. */
const RAMP_MS = 3000;
const TIMEOUT_MS = 1000;
const LOAD_FACTORS: readonly number[] = [0.5, 1, 2, 5];

/** Results at one load. */
export interface OverloadMeasurement {
  /** Offered load as a multiple of the capacity. */
  readonly factor: number;
  readonly answersPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** p99 of the latency without the run on the server, in milliseconds. */
  readonly p99OverServiceMs: number;
  /** Runs beyond one for each response, as a share of the responses. */
  readonly extraWork: number;
  readonly mostRunning: number;
}

/**
 * Measures keyed and shared requests at rising load.
 *
 * @param seed - Seed of arrivals and of the durations of runs.
 * @returns Results for each load.
 */
export function measureOverload(
  seed: number,
): Record<'keyed' | 'shared', OverloadMeasurement[]> {
  return {
    keyed: LOAD_FACTORS.map(factor => measure(seed, factor, true)),
    shared: LOAD_FACTORS.map(factor => measure(seed, factor, false)),
  };
}

function measure(
  seed: number,
  factor: number,
  keyed: boolean,
): OverloadMeasurement {
  const {samples, runs, mostRunning} = runLoad({
    seed,
    servers: SERVERS,
    rate: factor * capacityOf(SERVERS),
    durationMs: DURATION_MS,
    idempotent: true,
    keyed,
    timeoutMs: TIMEOUT_MS,
    settings: DEFAULT_TUNING,
    slowness: () => 1,
  });
  if (mostRunning > SLOTS) throw new Error('more runs than slots');
  const answered = samples.filter(sample => sample.answered);
  const measured = answered.filter(({at}) => at >= RAMP_MS);
  const seconds = (DURATION_MS - RAMP_MS) / 1000;
  const latencies = measured.map(({latencyMs}) => latencyMs);
  const excesses = measured.map(({latencyMs, runMs}) => latencyMs - runMs);
  return {
    factor,
    answersPerSecond: measured.length / seconds,
    p50Ms: percentile(latencies, 0.5),
    p99Ms: percentile(latencies, 0.99),
    p99OverServiceMs: percentile(excesses, 0.99),
    extraWork: (runs - answered.length) / answered.length,
    mostRunning,
  };
}

/**
 * Computes a percentile.
 *
 * @param values - The values; at least one.
 * @param share - Share of values below it, for example 0.99.
 * @returns The percentile.
 */
export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.floor(sorted.length * share);
  return sorted[Math.min(sorted.length - 1, index)];
}
