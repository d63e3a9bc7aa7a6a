/** @fileoverview How requests and attempts end at the origin. */

import {recordEnded, recordAbandoned} from '../selection/logic.js';
import {failure} from '../errors/logic.js';
import type {ErrorKind, Failure} from '../errors/types.js';
import type {RoutingContext} from './state.js';
import type {Attempt, PendingRequest} from './types.js';

/**
 * Tells the caller of a request that it failed, and drops the request.
 *
 * @param turn - The turn.
 * @param pending - The request.
 * @param told - The failure; one that may have run before is never "not run".
 */
export function failRequest(
  turn: RoutingContext,
  pending: PendingRequest,
  told: Failure,
): void {
  const {effects} = turn;
  const {request} = pending.accepted;
  const run = pending.mayHaveRun ? 'unknown' : told.run;
  const fields = {
    request,
    error: told.kind,
    run,
    detail: told.detail,
    attempts: pending.attemptsSent,
    ageMs: Math.round(turn.now - pending.acceptedAt),
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
export function failTimedOut(
  turn: RoutingContext,
  pending: PendingRequest,
): void {
  const kind = pending.lastFailure?.kind ?? lateKindOf(pending);
  const detail = pending.lastFailure?.detail ?? 'no server was found in time';
  failRequest(turn, pending, failure(kind, 'not-run', detail));
}

/**
 * Drops a request with all its attempts.
 *
 * @param turn - The turn.
 * @param pending - The request.
 */
export function dropRequest(
  turn: RoutingContext,
  pending: PendingRequest,
): void {
  const {state} = turn;
  cancelAttempts(turn, pending);
  for (const attempt of [...pending.attempts.values()]) {
    dropAttempt(turn, pending, attempt);
  }
  state.requests.delete(pending.accepted.request);
  state.waiting.delete(pending.accepted.request);
}

/**
 * Drops an attempt; what arrives for it later is discarded.
 *
 * @param turn - The turn.
 * @param pending - Its request.
 * @param attempt - The attempt.
 */
export function dropAttempt(
  turn: RoutingContext,
  pending: PendingRequest,
  attempt: Attempt,
): void {
  const {state, effects} = turn;
  pending.attempts.delete(attempt.id);
  state.attempts.delete(attempt.id);
  recordEnded(state.selection, attempt.to, attempt.id);
  effects.push({kind: 'forget', attempt: attempt.id});
}

/**
 * Withdraws the attempts that lost against the one that is relayed.
 *
 * @param turn - The turn.
 * @param pending - The request.
 */
export function cancelLosers(
  turn: RoutingContext,
  pending: PendingRequest,
): void {
  const {state, now} = turn;
  for (const attempt of [...pending.attempts.values()]) {
    if (attempt.id === pending.relayedAttempt) continue;
    const ageMs = now - attempt.sentAt;
    recordAbandoned(
      state.selection,
      attempt.to,
      pending.accepted.service,
      ageMs,
      now,
    );
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
export function cancelAttempts(
  turn: RoutingContext,
  pending: PendingRequest,
): void {
  for (const attempt of pending.attempts.values()) {
    if (attempt.progress !== 'whole') sendCancel(turn, attempt);
  }
}

function sendCancel(turn: RoutingContext, attempt: Attempt): void {
  const {to, address, id} = attempt;
  const message = {kind: 'cancel', attempt: id} as const;
  turn.effects.push({kind: 'send', to, address, message});
}

function lateKindOf(pending: PendingRequest): ErrorKind {
  if (!pending.waiting) return 'deadline-exceeded';
  return pending.accepted.slice === null ? 'no-server' : 'no-owner';
}
