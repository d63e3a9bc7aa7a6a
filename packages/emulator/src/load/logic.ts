/** @fileoverview Random keys and routes, and evaluation of call records. */

import type {CallRecord, LatencySummary, LoadRoute} from './types.js';
import type {Random} from '../control/logic.js';

import * as hdr from 'hdr-histogram-js';

/**
 * Creates a function that draws keys.
 *
 * @param keys - Number of keys.
 * @param zipf - Exponent of the Zipf distribution; 0 is uniform.
 * @param random - Seeded source.
 * @returns A function that draws one key.
 */
export function createKeyChooser(
  keys: number,
  zipf: number,
  random: Random,
): () => string {
  const weights = Array.from({length: keys}, (_, i) => (i + 1) ** -zipf);
  const draw = createWeightedChooser(weights, random);
  return () => `key-${draw()}`;
}

/**
 * Creates a function that draws routes by their weights.
 *
 * @param routes - The routes.
 * @param random - Seeded source.
 * @returns A function that draws one route.
 */
export function createRouteChooser(
  routes: readonly LoadRoute[],
  random: Random,
): () => LoadRoute {
  const draw = createWeightedChooser(
    routes.map(route => route.weight),
    random,
  );
  return () => routes[draw()] ?? routes[0];
}

/**
 * Returns the longest time for which a key was not served: from the start of the
 * first failed request to the end of the next successful one, or the latency of
 * a successful request.
 *
 * @param records - The call records.
 * @param service - Considers this service only; all services if omitted.
 * @returns The time in milliseconds, and the key.
 */
export function longestUnserved(
  records: readonly CallRecord[],
  service?: string,
): {readonly ms: number; readonly key: string} {
  let longest = {ms: 0, key: ''};
  for (const [key, ms] of longestUnservedByKey(records, service)) {
    if (ms > longest.ms) longest = {ms, key};
  }
  return longest;
}

/**
 * Summarizes the latency of successful requests.
 *
 * @param records - The call records.
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
 * Counts the reasons for which requests failed.
 *
 * @param records - The call records.
 * @returns One line for each reason, most frequent first.
 */
export function countFailureReasons(records: readonly CallRecord[]): string[] {
  const counts = new Map<string, number>();
  for (const record of records) {
    if (record.outcome === 'done') continue;
    const reason = `${record.outcome}, ${record.route}: ${errorCause(record)}`;
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
  }
  const ordered = [...counts].sort(([, a], [, b]) => b - a);
  return ordered.map(([reason, count]) => `${count} x ${reason}`);
}

/** Kind and detail of an error response, without what varies by request. */
function errorCause(record: CallRecord): string {
  const kind = /"kind":"([^"]*)"/.exec(record.detail)?.[1];
  const detail = /"detail":"([^"]*)"/.exec(record.detail)?.[1];
  if (kind === undefined) return record.detail;
  return detail === undefined ? kind : `${kind}, ${detail}`;
}

function longestUnservedByKey(
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

function createWeightedChooser(
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
    const point = random() * total;
    const index = sums.findIndex(sum => point < sum);
    return index < 0 ? weights.length - 1 : index;
  };
}
