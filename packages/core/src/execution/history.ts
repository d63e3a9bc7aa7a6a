/**
 * @fileoverview What is remembered of attempts that are over. Memory is
 * bounded in time and number. What is dropped raises its origin's floor: an
 * unknown attempt at or below the floor may be one that was forgotten, so it
 * is never run and nothing is claimed of it. Origins number their attempts in
 * ascending order, so no clock has to be compared between hosts.
 */

import {originOf, sequenceOf} from '../ids/logic.js';
import type {AttemptId, MemberId} from '../ids/types.js';
import type {Tuning} from '../settings/defaults.js';
import type {AttemptOutcome, AttemptHistory, OutcomeRecord} from './types.js';

type MemoryPolicy = Tuning['execution'];

/** What an ending belongs to. */
export interface AttemptKey {
  readonly attempt: AttemptId;
  readonly key: string | null;
  readonly signature: string;
}

/**
 * Creates an empty memory.
 *
 * @returns The memory.
 */
export function createHistory(): AttemptHistory {
  return {
    unkeyed: new Map(),
    keyed: new Map(),
    watermarks: new Map(),
    keys: new Map(),
    dispatched: new Map(),
  };
}

/**
 * Remembers how an attempt ended.
 *
 * @param memory - The memory.
 * @param policy - Its bounds.
 * @param of - The attempt.
 * @param ending - How it ended.
 * @param now - Monotonic time, in milliseconds.
 * @returns Attempts dropped to stay within the bounds.
 */
export function recordOutcome(
  memory: AttemptHistory,
  policy: MemoryPolicy,
  of: AttemptKey,
  ending: AttemptOutcome,
  now: number,
): AttemptId[] {
  const keyed = of.key !== null;
  const ttlMs = keyed ? policy.keyedOutcomeMs : policy.outcomeMs;
  const outcomes = keyed ? memory.keyed : memory.unkeyed;
  const {key, signature} = of;
  outcomes.set(of.attempt, {
    outcome: ending,
    expiresAt: now + ttlMs,
    key,
    signature,
  });
  if (outcomes.size <= policy.maxOutcomes) return [];
  const [oldest] = outcomes;
  drop(memory, outcomes, oldest, now);
  return [oldest[0]];
}

/**
 * Finds how an attempt ended.
 *
 * @param memory - The memory.
 * @param attempt - The attempt.
 * @returns The outcome, or null if it is not remembered.
 */
export function findOutcome(
  memory: AttemptHistory,
  attempt: AttemptId,
): OutcomeRecord | null {
  const outcome = memory.unkeyed.get(attempt) ?? memory.keyed.get(attempt);
  return outcome ?? null;
}

/**
 * Tells whether an unknown attempt may be one that was forgotten.
 *
 * @param memory - The memory.
 * @param attempt - An attempt that is neither live nor remembered.
 * @returns True if it must not be run.
 */
export function mayHaveBeenDropped(
  memory: AttemptHistory,
  attempt: AttemptId,
): boolean {
  const sequence = sequenceOf(attempt);
  if (!Number.isInteger(sequence)) return true;
  const floor = memory.watermarks.get(originOf(attempt));
  return floor !== undefined && sequence <= floor.sequence;
}

/**
 * Drops what is older than its time.
 *
 * @param memory - The memory.
 * @param policy - Its bounds.
 * @param now - Monotonic time, in milliseconds.
 * @returns Attempts dropped.
 */
export function dropExpired(
  memory: AttemptHistory,
  policy: MemoryPolicy,
  now: number,
): AttemptId[] {
  const dropped: AttemptId[] = [];
  for (const outcomes of [memory.unkeyed, memory.keyed]) {
    for (const entry of outcomes) {
      if (entry[1].expiresAt > now) break;
      drop(memory, outcomes, entry, now);
      dropped.push(entry[0]);
    }
  }
  for (const [request, until] of memory.dispatched) {
    if (until > now) break;
    memory.dispatched.delete(request);
  }
  for (const [origin, floor] of memory.watermarks) {
    if (now - floor.at < policy.floorMs) break;
    memory.watermarks.delete(origin);
  }
  return dropped;
}

function drop(
  memory: AttemptHistory,
  outcomes: Map<AttemptId, OutcomeRecord>,
  [attempt, outcome]: [AttemptId, OutcomeRecord],
  now: number,
): void {
  outcomes.delete(attempt);
  raise(memory, originOf(attempt), sequenceOf(attempt), now);
  const {key} = outcome;
  if (key !== null && memory.keys.get(key) === attempt) memory.keys.delete(key);
}

/** Deleted first, so that the map stays in the order of the last change. */
function raise(
  memory: AttemptHistory,
  origin: MemberId,
  sequence: number,
  now: number,
): void {
  const before = memory.watermarks.get(origin)?.sequence ?? 0;
  memory.watermarks.delete(origin);
  memory.watermarks.set(origin, {
    sequence: Math.max(before, sequence),
    at: now,
  });
}
