/** @fileoverview Ends requests and attempts at the origin. */

import {recordEnded, recordAbandoned} from '../selection/logic.js';
import {failure} from '../errors/logic.js';
import type {ErrorKind, Failure} from '../errors/types.js';
import {withPromise} from './overload.js';
import type {RoutingContext} from './state.js';
import type {Attempt, RoutedRequest} from './types.js';

/** `retryAfterMs` in the log if no return can be served. */
const NO_RETURN = -1;

/**
 * Reports a failure to the caller of a request and drops the request.
 *
 * @param context - Context of the current input.
 * @param pending - The request.
 * @param cause - The failure. If an earlier attempt may have run, the caller is
 *     told `unknown` instead of `not-run`.
 */
export function failRequest(
  context: RoutingContext,
  pending: RoutedRequest,
  cause: Failure,
): void {
  const {effects} = context;
  const {request, tenant} = pending.accepted;
  const run = pending.mayHaveRun ? 'unknown' : cause.run;
  // A request that was rejected when it arrived has no permit.
  const wasAdmitted = context.state.requests.has(request);
  if (wasAdmitted && tenant !== null && run === 'not-run') {
    context.quotas?.giveBack(tenant, pending.acceptedAt);
  }
  const reported = withPromise(
    context,
    pending,
    failure(cause.kind, run, cause.detail),
  );
  const {retryAfterMs} = reported;
  const promise: Record<string, number> =
    retryAfterMs === undefined
      ? {}
      : {retryAfterMs: Math.round(retryAfterMs ?? NO_RETURN)};
  const fields = {
    request,
    error: cause.kind,
    run,
    detail: cause.detail,
    attempts: pending.attemptsSent,
    ageMs: Math.round(context.now - pending.acceptedAt),
    ...promise,
  };
  dropRequest(context, pending);
  effects.push({kind: 'log', event: 'requestFailed', fields});
  effects.push({kind: 'failRequest', request, failure: reported});
}

/**
 * Fails a request that can wait no longer, with the failure of its last attempt
 * if there was one. `not-run` becomes `unknown` in `failRequest` if an earlier
 * attempt may have run.
 *
 * @param context - Context of the current input.
 * @param pending - A request without open attempts.
 */
export function failTimedOut(
  context: RoutingContext,
  pending: RoutedRequest,
): void {
  const kind = pending.lastFailure?.kind ?? timeoutErrorOf(pending);
  const detail = pending.lastFailure?.detail ?? 'no server was found in time';
  failRequest(context, pending, failure(kind, 'not-run', detail));
}

/**
 * Cancels and drops all attempts of a request, and the request itself.
 *
 * @param context - Context of the current input.
 * @param pending - The request.
 */
export function dropRequest(
  context: RoutingContext,
  pending: RoutedRequest,
): void {
  const {state} = context;
  cancelAttempts(context, pending);
  for (const attempt of [...pending.attempts.values()]) {
    dropAttempt(context, pending, attempt);
  }
  state.requests.delete(pending.accepted.request);
  state.waiting.delete(pending.accepted.request);
}

/**
 * Drops an attempt; messages that arrive for it later are discarded.
 *
 * @param context - Context of the current input.
 * @param pending - Its request.
 * @param attempt - The attempt.
 */
export function dropAttempt(
  context: RoutingContext,
  pending: RoutedRequest,
  attempt: Attempt,
): void {
  const {state, effects} = context;
  pending.attempts.delete(attempt.id);
  state.attempts.delete(attempt.id);
  recordEnded(state.selection, attempt.to, attempt.id);
  effects.push({kind: 'discardAttempt', attempt: attempt.id});
}

/**
 * Cancels all attempts but the one whose response is relayed.
 *
 * @param context - Context of the current input.
 * @param pending - The request.
 */
export function cancelOtherAttempts(
  context: RoutingContext,
  pending: RoutedRequest,
): void {
  const {state, now} = context;
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
    sendCancel(context, attempt);
    dropAttempt(context, pending, attempt);
  }
}

/**
 * Asks the other daemons to stop the open attempts of a request.
 *
 * @param context - Context of the current input.
 * @param pending - The request.
 */
export function cancelAttempts(
  context: RoutingContext,
  pending: RoutedRequest,
): void {
  for (const attempt of pending.attempts.values()) {
    if (attempt.progress !== 'complete') sendCancel(context, attempt);
  }
}

function sendCancel(context: RoutingContext, attempt: Attempt): void {
  const {to, address, id} = attempt;
  const message = {kind: 'cancel', attempt: id} as const;
  context.effects.push({kind: 'send', to, address, message});
}

/** The error of a request that never had an attempt that failed. */
function timeoutErrorOf(pending: RoutedRequest): ErrorKind {
  if (!pending.waiting) return 'deadline-exceeded';
  return pending.accepted.slice === null ? 'no-server' : 'no-owner';
}
