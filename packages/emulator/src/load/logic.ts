/** @fileoverview Choice of keys and routes, and time without service. */

import type {CallRecord, LatencySummary, LoadRoute} from './types.js';
import type {Random} from '../control/logic.js';

import * as hdr from 'hdr-histogram-js';

/**
 * Makes a chooser of keys.
 *
 * @param keys - Number of keys.
 * @param zipf - Exponent of the Zipf distribution; 0 is uniform.
 * @param random - Seeded source.
 * @returns A function that draws one key.
 */
export function keyChooser(
  keys: number,
  zipf: number,
  random: Random,
): () => string {
  const weights = Array.from({length: keys}, (_, i) => (i + 1) ** -zipf);
  const draw = weightedChooser(weights, random);
  return () => `key-${draw()}`;
}

/**
 * Makes a chooser of routes by weight.
 *
 * @param routes - The mix.
 * @param random - Seeded source.
 * @returns A function that draws one route.
 */
export function routeChooser(
  routes: readonly LoadRoute[],
  random: Random,
): () => LoadRoute {
  const draw = weightedChooser(
    routes.map(route => route.weight),
    random,
  );
  return () => routes[draw()] ?? routes[0];
}

/**
 * Finds the longest time for which any key was not served: from the first
 * failure to the end of the next success, or the latency of a success.
 *
 * @param records - What callers saw.
 * @param service - Only this service, or every one when omitted.
 * @returns Milliseconds, and the key.
 */
export function longestUnserved(
  records: readonly CallRecord[],
  service?: string,
): {readonly ms: number; readonly key: string} {
  let longest = {ms: 0, key: ''};
  for (const [key, ms] of unservedByKey(records, service)) {
    if (ms > longest.ms) longest = {ms, key};
  }
  return longest;
}

/**
 * Summarises the latency of the requests that were done.
 *
 * @param records - What callers saw.
 * @returns Percentiles in milliseconds.
 */
export function summarizeLatency(
  records: readonly CallRecord[],
): LatencySummary {
  const histogram = hdr.build({numberOfSignificantValueDigits: 3});
  for (const record of records) {
    if (record.outcome !== 'done') continue;
    histogram.recordValue(record.endedMs - record.sentMs);
  }
  return {
    count: histogram.totalCount,
    p50: histogram.getValueAtPercentile(50),
    p99: histogram.getValueAtPercentile(99),
    p999: histogram.getValueAtPercentile(99.9),
    max: histogram.maxValue,
  };
}

/**
 * Counts why requests were not done.
 *
 * @param records - What callers saw.
 * @returns One line for each reason, the most frequent first.
 */
export function countFailureReasons(records: readonly CallRecord[]): string[] {
  const counts = new Map<string, number>();
  for (const record of records) {
    if (record.outcome === 'done') continue;
    const reason = `${record.outcome}, ${record.route}: ${causeOf(record)}`;
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
  }
  const ordered = [...counts].sort(([, a], [, b]) => b - a);
  return ordered.map(([reason, count]) => `${count} x ${reason}`);
}

/** The parts of an error that are the same for many requests. */
function causeOf(record: CallRecord): string {
  const kind = /"kind":"([^"]*)"/.exec(record.detail)?.[1];
  const detail = /"detail":"([^"]*)"/.exec(record.detail)?.[1];
  if (kind === undefined) return record.detail;
  return detail === undefined ? kind : `${kind}, ${detail}`;
}

function unservedByKey(
  records: readonly CallRecord[],
  service: string | undefined,
): Map<string, number> {
  const failedSince = new Map<string, number>();
  const longest = new Map<string, number>();
  const ordered = [...records].sort((a, b) => a.endedMs - b.endedMs);
  for (const record of ordered) {
    if (service !== undefined && record.service !== service) continue;
    const name = `${record.service}/${record.key}`;
    const since = failedSince.get(name) ?? record.sentMs;
    const gap = record.endedMs - Math.min(since, record.sentMs);
    longest.set(name, Math.max(longest.get(name) ?? 0, gap));
    if (record.outcome === 'done') failedSince.delete(name);
    else failedSince.set(name, Math.min(since, record.sentMs));
  }
  return longest;
}

function weightedChooser(
  weights: readonly number[],
  random: Random,
): () => number {
  const sums: number[] = [];
  let total = 0;
  for (const weight of weights) {
    total += weight;
    sums.push(total);
  }
  return () => {
    const drawn = random() * total;
    const index = sums.findIndex(sum => drawn < sum);
    return index < 0 ? weights.length - 1 : index;
  };
}
