/** @fileoverview How requests and attempts end at the origin. */

import {noteOver, noteSlow} from '../choice/logic.js';
import {failure} from '../errors/logic.js';
import type {ErrorKind, Failure} from '../errors/types.js';
import type {Turn} from './state.js';
import type {Attempt, Pending} from './types.js';

/**
 * Tells the caller of a request that it failed, and drops the request.
 *
 * @param turn - The turn.
 * @param pending - The request.
 * @param told - The failure; one that may have run before is never "not run".
 */
export function tell(turn: Turn, pending: Pending, told: Failure): void {
  const {effects} = turn;
  const {request} = pending.taken;
  const run = pending.mayHaveRun ? 'unknown' : told.run;
  const fields = {
    request,
    error: told.kind,
    run,
    detail: told.detail,
    attempts: pending.made,
    ageMs: Math.round(turn.now - pending.takenAt),
  };
  dropRequest(turn, pending);
  effects.push({kind: 'log', event: 'requestFailed', fields});
  const failed = failure(told.kind, run, told.detail);
  effects.push({kind: 'fail', request, failure: failed});
}

/**
 * Tells the caller that no time is left for its request.
 *
 * @param turn - The turn.
 * @param pending - A request without open attempts.
 */
export function tellLate(turn: Turn, pending: Pending): void {
  const kind = pending.last?.kind ?? lateKindOf(pending);
  const detail = pending.last?.detail ?? 'no server was found in time';
  tell(turn, pending, failure(kind, 'not-run', detail));
}

/**
 * Drops a request with all its attempts.
 *
 * @param turn - The turn.
 * @param pending - The request.
 */
export function dropRequest(turn: Turn, pending: Pending): void {
  const {state} = turn;
  cancelOpen(turn, pending);
  for (const attempt of [...pending.attempts.values()]) {
    dropAttempt(turn, pending, attempt);
  }
  state.requests.delete(pending.taken.request);
  state.waiting.delete(pending.taken.request);
}

/**
 * Drops an attempt; what arrives for it later is discarded.
 *
 * @param turn - The turn.
 * @param pending - Its request.
 * @param attempt - The attempt.
 */
export function dropAttempt(
  turn: Turn,
  pending: Pending,
  attempt: Attempt,
): void {
  const {state, effects} = turn;
  pending.attempts.delete(attempt.id);
  state.attempts.delete(attempt.id);
  noteOver(state.choice, attempt.to, attempt.id);
  effects.push({kind: 'forget', attempt: attempt.id});
}

/**
 * Withdraws the attempts that lost against the one that is relayed.
 *
 * @param turn - The turn.
 * @param pending - The request.
 */
export function dropLosers(turn: Turn, pending: Pending): void {
  const {state, now} = turn;
  for (const attempt of [...pending.attempts.values()]) {
    if (attempt.id === pending.relayed) continue;
    const ageMs = now - attempt.sentAt;
    noteSlow(state.choice, attempt.to, pending.taken.service, ageMs, now);
    sendCancel(turn, attempt);
    dropAttempt(turn, pending, attempt);
  }
}

/**
 * Asks the daemons that have attempts of a request to stop them.
 *
 * @param turn - The turn.
 * @param pending - The request.
 */
export function cancelOpen(turn: Turn, pending: Pending): void {
  for (const attempt of pending.attempts.values()) {
    if (attempt.progress !== 'whole') sendCancel(turn, attempt);
  }
}

function sendCancel(turn: Turn, attempt: Attempt): void {
  const {to, address, id} = attempt;
  const message = {kind: 'cancel', attempt: id} as const;
  turn.effects.push({kind: 'send', to, address, message});
}

function lateKindOf(pending: Pending): ErrorKind {
  if (!pending.waiting) return 'deadline-exceeded';
  return pending.taken.slice === null ? 'no-server' : 'no-owner';
}
