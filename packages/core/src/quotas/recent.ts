/** @fileoverview Counting permits that were used in the last time window. */

import type {RecentCount} from './types.js';

/** Length of the intervals in which permits are counted. */
const INTERVAL_MS = 250;

/**
 * Counts permits as used now.
 *
 * @param recent - The count; updated in place.
 * @param used - Number of permits.
 * @param now - Monotonic time, in milliseconds.
 */
export function addRecent(
  recent: RecentCount,
  used: number,
  now: number,
): void {
  if (used <= 0) return;
  const index = Math.floor(now / INTERVAL_MS);
  const latest = recent.intervals.at(-1);
  if (latest?.index === index) latest.count += used;
  else recent.intervals.push({index, count: used});
  recent.total += used;
}

/**
 * Counts the permits used in the last window. Intervals that are partly in it
 * count as a whole.
 *
 * @param recent - The count; intervals before the window are dropped.
 * @param now - Monotonic time, in milliseconds.
 * @param windowMs - Length of the window.
 * @returns The number of permits.
 */
export function countRecent(
  recent: RecentCount,
  now: number,
  windowMs: number,
): number {
  const first = Math.floor((now - windowMs) / INTERVAL_MS);
  while (recent.intervals.length > 0 && recent.intervals[0].index < first) {
    recent.total -= recent.intervals.shift()!.count;
  }
  return recent.total;
}
