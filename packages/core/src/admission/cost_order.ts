/**
 * @fileoverview Admission by estimated run times: when a request is expected to
 * start, how long it may wait, and which waiting request goes next.
 *
 * Load it is made for: servers of 6 to 18 slots at up to 1.2 times their
 * capacity, whose kinds have means of 78 to 351 ms, objectives of 0.2 to 2.6 s
 * and deadlines of 1 to 8 s.
 */

import type {QueuedAttempt, SlotCost} from './types.js';

/**
 * Run time of most requests, as a share of the mean: a tail of seven times the
 * mean in 3 of 100 leaves 0.81 for the others.
 */
const TYPICAL_SHARE = 0.8;
/** Share of a request's slack that it may wait in the queue. */
const WAIT_SHARE = 0.5;
/** Lower bound of a remaining time, which keeps rates finite. */
const MIN_REMAINING_MS = 1;
/**
 * Starts of requests that can still meet their objective, after which one that
 * can't has its turn.
 */
const MAX_LATE_SKIPS = 3;

/**
 * Estimates when a request gets a slot. While all slots are in use, the next one
 * becomes free at the sum of the rates at which their runs end: the least of the
 * remaining times would be too long, since each may end earlier. What waits ahead
 * is spread over all slots.
 *
 * @param limit - Number of slots, at least 1.
 * @param remainingMs - Expected remaining times of what runs.
 * @param aheadMs - Sum of the expected run times of what waits ahead.
 * @returns Milliseconds from now.
 */
export function expectedStartMs(
  limit: number,
  remainingMs: readonly number[],
  aheadMs: number,
): number {
  const busy = remainingMs.length;
  let endsPerMs = 0;
  for (const ms of remainingMs) endsPerMs += 1 / Math.max(MIN_REMAINING_MS, ms);
  // Where the limit was lowered, the first runs that end leave no slot.
  const firstMs = busy < limit ? 0 : (1 + busy - limit) / endsPerMs;
  return firstMs + aheadMs / limit;
}

/**
 * Returns whether a request can't be expected to end by its deadline.
 *
 * @param cost - Its cost.
 * @param waitMs - Expected time until it starts, in milliseconds.
 * @param budgetMs - Time until its deadline, in milliseconds.
 * @returns True if it is better rejected now.
 */
export function missesDeadline(
  cost: SlotCost,
  waitMs: number,
  budgetMs: number,
): boolean {
  return waitMs + cost.expectedMs * TYPICAL_SHARE > budgetMs;
}

/**
 * Returns how long a request may wait: half of the time that its objective
 * leaves besides its run. The other half is for runs in slow times of a server;
 * of waits up to the whole, 8 to 12 in 100 requests were late instead of 4 at
 * 1.2 times the capacity.
 *
 * @param cost - Its cost.
 * @param objectiveMs - Its latency objective, in milliseconds, above 0.
 * @returns Milliseconds.
 */
export function maxUsefulWaitMs(cost: SlotCost, objectiveMs: number): number {
  return (
    WAIT_SHARE * Math.max(0, objectiveMs - cost.expectedMs * TYPICAL_SHARE)
  );
}

/**
 * Returns the latest time at which a request may start to meet its objective.
 *
 * @param cost - Its cost.
 * @param dueAt - Monotonic time at which its objective ends, in milliseconds.
 * @returns Monotonic time, in milliseconds.
 */
export function latestStartAt(cost: SlotCost, dueAt: number): number {
  return dueAt - cost.expectedMs * TYPICAL_SHARE;
}

/**
 * Chooses the next request of a queue that is sorted by urgency and latest
 * start: within the first urgency the one with the least slack, and those that
 * can no longer meet their objective after the others. Every fourth start is
 * for one of these, so that they are not starved.
 *
 * @param queue - The queue; not empty.
 * @param lateSkips - Starts since such a one had its turn.
 * @param now - Monotonic time, in milliseconds.
 * @returns Its index, and whether late ones were skipped.
 */
export function nextByCost(
  queue: readonly QueuedAttempt[],
  lateSkips: number,
  now: number,
): {readonly index: number; readonly skipsLate: boolean} {
  const {urgency} = queue[0];
  const index = queue.findIndex(
    each => each.urgency === urgency && each.startBy >= now,
  );
  if (index <= 0 || lateSkips >= MAX_LATE_SKIPS) {
    return {index: 0, skipsLate: false};
  }
  return {index, skipsLate: true};
}
