/**
 * @fileoverview Ranks of work that waits for the same server, and the slot that
 * is left free for those that go first.
 */

import type {Admission, SlotRequest} from './types.js';

const SECOND_MS = 1000;
/** Ranks of one urgency, by objective; a longer objective counts as this. */
const RANKS_PER_URGENCY = 100_000;
const MAX_OBJECTIVE_MS = RANKS_PER_URGENCY - 1;
/** Arrivals in a second from which on a slot is left for a rank. */
const FREQUENT = 3;
/** Limit below which no slot is left free. */
const LEAST_SHARED_LIMIT = 4;

/** What decides about a slot. */
export type SlotClaim = Pick<
  SlotRequest,
  'priority' | 'urgency' | 'objectiveMs'
>;

/** Of two ranks the lower goes first: urgency, then the tighter objective. */
function rankOf({urgency, objectiveMs}: SlotClaim): number {
  return urgency * RANKS_PER_URGENCY + Math.min(objectiveMs, MAX_OBJECTIVE_MS);
}

/**
 * Counts an arrival of work.
 *
 * @param gate - The gate.
 * @param claim - The work.
 * @param now - Monotonic time, in milliseconds.
 */
export function recordArrival(
  gate: Admission,
  claim: SlotClaim,
  now: number,
): void {
  if (gate.cold === null) return;
  const rank = rankOf(claim);
  const known = gate.arrivals.get(rank);
  if (known === undefined || now - known.windowStart > 2 * SECOND_MS) {
    gate.arrivals.set(rank, {windowStart: now, count: 1, frequent: false});
    return;
  }
  known.count += 1;
  if (now - known.windowStart < SECOND_MS) return;
  known.frequent = known.count >= FREQUENT;
  known.windowStart = now;
  known.count = 0;
}

/**
 * Finds the slots left for work that goes first: short calls of running
 * requests would else wait for long runs to end, and their requests with them.
 *
 * @param gate - The gate.
 * @param claim - The work that asks for a slot.
 * @param now - Monotonic time, in milliseconds.
 * @returns How many slots it has to leave free.
 */
export function reservedSlots(
  gate: Admission,
  claim: SlotClaim,
  now: number,
): number {
  if (gate.cold === null || gate.limit < LEAST_SHARED_LIMIT) return 0;
  const rank = rankOf(claim);
  for (const [other, {frequent, windowStart: since}] of gate.arrivals) {
    if (other >= rank || !frequent || now - since > 2 * SECOND_MS) continue;
    return 1;
  }
  return 0;
}
