/**
 * @fileoverview Ranks of work for one server; a lower rank means a higher
 * priority. One slot is reserved for work of a lower rank.
 */

import type {Admission, SlotRequest} from './types.js';

const SECOND_MS = 1000;
/** Ranks of one urgency, one for each objective in milliseconds. */
const RANKS_PER_URGENCY = 100_000;
/** Longer objectives share the last rank of their urgency. */
const MAX_OBJECTIVE_MS = RANKS_PER_URGENCY - 1;
/**
 * Minimum number of arrivals in a second for which a slot is reserved for a
 * rank.
 */
const MIN_FREQUENT_ARRIVALS = 3;
/** Minimum limit at which a slot is reserved. */
const MIN_LIMIT_TO_RESERVE = 4;
/**
 * Share of a rank's latency objective that its work may wait for the next slot
 * to become free; only where it takes longer is a slot reserved.
 */
const MAX_WAIT_SHARE = 0.25;

/** The part of a request that decides whether it gets a slot. */
export type SlotClaim = Pick<
  SlotRequest,
  'priority' | 'urgency' | 'objectiveMs'
>;

/** The lower rank goes first: by urgency, then by the shorter objective. */
function rankOf({urgency, objectiveMs}: SlotClaim): number {
  return urgency * RANKS_PER_URGENCY + Math.min(objectiveMs, MAX_OBJECTIVE_MS);
}

/**
 * Counts an arrival of work, if the server reports its cold start.
 *
 * @param admission - The admission state.
 * @param claim - The work.
 * @param now - Monotonic time, in milliseconds.
 */
export function recordArrival(
  admission: Admission,
  claim: SlotClaim,
  now: number,
): void {
  if (admission.cold === null) return;
  const rank = rankOf(claim);
  const arrivals = admission.arrivals.get(rank);
  if (arrivals === undefined || now - arrivals.windowStart > 2 * SECOND_MS) {
    admission.arrivals.set(rank, {windowStart: now, count: 1, frequent: false});
    return;
  }
  arrivals.count += 1;
  if (now - arrivals.windowStart < SECOND_MS) return;
  arrivals.frequent = arrivals.count >= MIN_FREQUENT_ARRIVALS;
  arrivals.windowStart = now;
  arrivals.count = 0;
}

/**
 * Returns the number of slots to leave free for frequent work of a lower rank:
 * one or none. This avoids priority inversion: running requests wait for the
 * short requests that they make themselves, and without the slot those would
 * wait behind long runs. Where runs end often enough that the head of the queue
 * soon gets a slot, none is left free.
 *
 * @param admission - The admission state.
 * @param claim - The work that asks for a slot.
 * @param now - Monotonic time, in milliseconds.
 * @returns How many slots it must leave free.
 */
export function reservedSlots(
  admission: Admission,
  claim: SlotClaim,
  now: number,
): number {
  if (admission.cold === null || admission.limit < MIN_LIMIT_TO_RESERVE) {
    return 0;
  }
  const rank = rankOf(claim);
  for (const [other, {frequent, windowStart}] of admission.arrivals) {
    if (other >= rank || !frequent || now - windowStart > 2 * SECOND_MS) {
      continue;
    }
    if (isSlotSoonFree(admission, objectiveMsOf(other))) continue;
    return 1;
  }
  return 0;
}

/** Latency objective of the work of a rank, in milliseconds. */
function objectiveMsOf(rank: number): number {
  return rank % RANKS_PER_URGENCY;
}

/** Returns whether the next run is expected to end soon enough for work. */
function isSlotSoonFree(
  {meanRunMs, limit}: Admission,
  objectiveMs: number,
): boolean {
  if (meanRunMs === 0 || objectiveMs === 0) return false;
  return meanRunMs / limit <= MAX_WAIT_SHARE * objectiveMs;
}
