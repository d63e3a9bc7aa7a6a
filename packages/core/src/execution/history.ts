/**
 * @fileoverview Outcomes of finished attempts, bounded in time and number.
 * Dropping one raises its origin's low watermark. An unknown attempt at or
 * below the low watermark may have been dropped, so it is never run, and its
 * run state is unknown. Each origin numbers its attempts in ascending order, so
 * no clocks of different hosts are compared.
 */

import {originOf, sequenceOf} from '../ids/logic.js';
import type {AttemptId, MemberId} from '../ids/types.js';
import type {Tuning} from '../settings/defaults.js';
import type {AttemptHistory, AttemptOutcome, OutcomeRecord} from './types.js';

type HistoryTuning = Tuning['execution'];

/** The attempt that an outcome belongs to. */
export interface AttemptIdentity {
  readonly attempt: AttemptId;
  readonly key: string | null;
  readonly requestLine: string | null;
}

/**
 * Creates an empty history.
 *
 * @returns The history.
 */
export function createHistory(): AttemptHistory {
  return {
    unkeyed: new Map(),
    keyed: new Map(),
    watermarks: new Map(),
    attemptsByIdempotencyKey: new Map(),
    dispatchedRequests: new Map(),
  };
}

/**
 * Records how an attempt ended.
 *
 * @param history - The history.
 * @param tuning - Limits in time and number.
 * @param identity - The attempt.
 * @param outcome - How it ended.
 * @param now - Monotonic time, in milliseconds.
 * @returns Attempts dropped to stay within the limits.
 */
export function recordOutcome(
  history: AttemptHistory,
  tuning: HistoryTuning,
  identity: AttemptIdentity,
  outcome: AttemptOutcome,
  now: number,
): AttemptId[] {
  const keyed = identity.key !== null;
  const ttlMs = keyed ? tuning.keyedOutcomeMs : tuning.outcomeMs;
  const outcomes = keyed ? history.keyed : history.unkeyed;
  const {key, requestLine} = identity;
  outcomes.set(identity.attempt, {
    outcome,
    expiresAt: now + ttlMs,
    key,
    requestLine,
  });
  if (outcomes.size <= tuning.maxOutcomes) return [];
  const [oldest] = outcomes;
  drop(history, outcomes, oldest, now);
  return [oldest[0]];
}

/**
 * Returns how an attempt ended.
 *
 * @param history - The history.
 * @param attempt - The attempt.
 * @returns The record, or null if the history has none.
 */
export function findOutcome(
  history: AttemptHistory,
  attempt: AttemptId,
): OutcomeRecord | null {
  const outcome = history.unkeyed.get(attempt) ?? history.keyed.get(attempt);
  return outcome ?? null;
}

/**
 * Returns whether an unknown attempt may have been dropped from the history.
 *
 * @param history - The history.
 * @param attempt - An attempt that is neither live nor in the history.
 * @returns True if it must not be run.
 */
export function mayHaveBeenDropped(
  history: AttemptHistory,
  attempt: AttemptId,
): boolean {
  const sequence = sequenceOf(attempt);
  if (!Number.isInteger(sequence)) return true;
  const watermark = history.watermarks.get(originOf(attempt));
  return watermark !== undefined && sequence <= watermark.sequence;
}

/**
 * Drops everything whose time to live has passed. Each map is ordered by age,
 * so the first young entry ends its scan.
 *
 * @param history - The history.
 * @param tuning - Limits in time and number.
 * @param now - Monotonic time, in milliseconds.
 * @returns Attempts dropped.
 */
export function dropExpired(
  history: AttemptHistory,
  tuning: HistoryTuning,
  now: number,
): AttemptId[] {
  const dropped: AttemptId[] = [];
  for (const outcomes of [history.unkeyed, history.keyed]) {
    for (const entry of outcomes) {
      if (entry[1].expiresAt > now) break;
      drop(history, outcomes, entry, now);
      dropped.push(entry[0]);
    }
  }
  for (const [request, until] of history.dispatchedRequests) {
    if (until > now) break;
    history.dispatchedRequests.delete(request);
  }
  for (const [origin, watermark] of history.watermarks) {
    if (now - watermark.at < tuning.floorMs) break;
    history.watermarks.delete(origin);
  }
  return dropped;
}

function drop(
  history: AttemptHistory,
  outcomes: Map<AttemptId, OutcomeRecord>,
  [attempt, record]: [AttemptId, OutcomeRecord],
  now: number,
): void {
  outcomes.delete(attempt);
  raiseWatermark(history, originOf(attempt), sequenceOf(attempt), now);
  const {key} = record;
  if (key !== null && history.attemptsByIdempotencyKey.get(key) === attempt) {
    history.attemptsByIdempotencyKey.delete(key);
  }
}

/** Deletes before it sets, which keeps the map ordered by the last change. */
function raiseWatermark(
  history: AttemptHistory,
  origin: MemberId,
  sequence: number,
  now: number,
): void {
  const before = history.watermarks.get(origin)?.sequence ?? 0;
  history.watermarks.delete(origin);
  history.watermarks.set(origin, {
    sequence: Math.max(before, sequence),
    at: now,
  });
}
