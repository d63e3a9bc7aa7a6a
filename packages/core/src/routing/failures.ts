/** @fileoverview Decides at the origin what follows a failed attempt. */

import {recordReportedLoad, recordReportedWork} from '../selection/logic.js';
import {failure} from '../errors/logic.js';
import type {ErrorKind, Failure} from '../errors/types.js';
import type {MemberId} from '../ids/types.js';
import type {RequestMessage} from '../messages/types.js';
import {stageOfReport, classifyFailure} from '../outcomes/logic.js';
import type {AttemptStage} from '../outcomes/types.js';
import {backoffMs} from '../retry/logic.js';
import {dropAttempt, failRequest} from './completion.js';
import {dispatchRequest} from './dispatch.js';
import {noteRefused} from './overload.js';
import type {RoutingContext} from './state.js';
import {costKeyOf, drawRandom, penalizeServer, scheduleTimer} from './state.js';
import type {Attempt, RoutedRequest} from './types.js';

/** What follows a failed attempt. */
type FailureAction =
  /**
   * Another attempt that isn't charged to the retry budget: this one was
   * rejected by its daemon, for example since that no longer owns the slice, or
   * never reached it, and no earlier one may have run. A refusal by a backend
   * server is charged. Redirects after rejections for want of room have a budget
   * of their own.
   */
  | 'redirect'
  /** Another attempt, charged to the retry budget. */
  | 'retry'
  /** The caller gets the failure. */
  | 'fail';

/**
 * Handles the report that an attempt failed at the daemon it was sent to.
 *
 * @param context - Context of the current input.
 * @param attempt - The attempt.
 * @param failed - What that daemon reported.
 */
export function handleFailed(
  context: RoutingContext,
  attempt: Attempt,
  failed: Extract<RequestMessage, {kind: 'failed'}>,
): void {
  const {state, now, ownership} = context;
  const pending = state.requests.get(attempt.request);
  if (pending === undefined) return;
  recordReportedLoad(state.selection, attempt.to, failed.outstanding, now);
  const key = costKeyOf(context, pending);
  if (key !== null) {
    const report = {workMs: failed.workMs, expectedMs: 0};
    recordReportedWork(state.selection, attempt.to, key, report, now);
  }
  if (failed.error === 'overloaded' || failed.error === 'server-refused') {
    penalizeServer(context, attempt.to);
    if (failed.run === 'not-run') {
      noteRefused(context, pending, attempt.to, failed.outstanding);
    }
  } else if (failed.error === 'stopping' || failed.error === 'no-server') {
    penalizeServer(context, attempt.to, true);
  }
  const isNewer = failed.version > ownership.version;
  if (isNewer && failed.owner !== null) pending.ownerHint = failed.owner;
  const stage = stageOfReport(failed.run, attempt.progress !== 'sent');
  failAttempt(context, attempt, stage, failed.error, failed.detail);
}

/**
 * Ends a failed attempt; then retries its request or fails it. While the
 * request has another open attempt, such as a hedge, nothing follows.
 *
 * @param context - Context of the current input.
 * @param attempt - The attempt.
 * @param stage - How far it had come when it failed.
 * @param error - The kind of error.
 * @param detail - Detail for people.
 */
export function failAttempt(
  context: RoutingContext,
  attempt: Attempt,
  stage: AttemptStage,
  error: ErrorKind,
  detail: string,
): void {
  const pending = context.state.requests.get(attempt.request);
  if (pending === undefined) return;
  const classification = classifyFailure(stage, pending.accepted.idempotent);
  const failed = failure(error, classification.run, detail);
  dropAttempt(context, pending, attempt);
  pending.lastFailure = failed;
  if (classification.run === 'unknown') pending.mayHaveRun = true;
  if (pending.relayedAttempt === attempt.id) {
    failRequest(context, pending, failed);
    return;
  }
  if (pending.attempts.size > 0) return;
  const course = classification.retry ? actionAfter(error, pending) : 'fail';
  retryOrFail(context, pending, failed, course, attempt.to);
}

/** Retries or fails a request; `course` is the action, also in the log. */
function retryOrFail(
  context: RoutingContext,
  pending: RoutedRequest,
  failed: Failure,
  course: FailureAction,
  from: MemberId,
): void {
  const {state, effects} = context;
  const {request, slice} = pending.accepted;
  if (pending.deadlinePassed) {
    failRequest(context, pending, {...failed, kind: 'deadline-exceeded'});
    return;
  }
  if (
    course === 'fail' ||
    !tryReserveAttempt(context, pending, course, failed.kind)
  ) {
    failRequest(context, pending, failed);
    return;
  }
  state.retries += 1;
  const {kind: error, detail} = failed;
  const fields = {
    request,
    error,
    detail,
    from,
    course,
    left: state.budget.available,
  };
  effects.push({kind: 'log', event: 'requestRetried', fields});
  if (slice === null) retryElsewhere(context, pending, failed, from);
  else if (pending.ownerHint !== null) dispatchRequest(context, pending);
  else retryLater(context, pending);
}

function actionAfter(error: ErrorKind, pending: RoutedRequest): FailureAction {
  switch (error) {
    case 'no-owner':
    case 'lease-lost':
    case 'no-server':
    case 'stopping':
    case 'link-lost':
      return pending.mayHaveRun ? 'retry' : 'redirect';
    case 'server-lost':
    case 'server-refused':
      return 'retry';
    case 'overloaded':
      // For a slice, another attempt would reach the same owner.
      if (pending.accepted.slice !== null) return 'fail';
      return pending.mayHaveRun ? 'retry' : 'redirect';
    case 'bad-request':
    case 'unauthenticated':
    case 'configuration-stale':
    case 'quota-exceeded':
    case 'unknown-service':
    case 'key-missing':
    case 'key-too-long':
    case 'body-too-large':
    case 'header-too-large':
    case 'header-timeout':
    case 'body-timeout':
    case 'deadline-exceeded':
    case 'cancelled':
    case 'idempotency-mismatch':
    case 'internal':
      return 'fail';
  }
}

/**
 * Charges another attempt to the budgets. A redirect after a rejection for want
 * of room is charged too: when all servers are full, each one costs two daemons
 * more than the request is worth.
 */
function tryReserveAttempt(
  context: RoutingContext,
  pending: RoutedRequest,
  course: FailureAction,
  error: ErrorKind,
): boolean {
  const {state} = context;
  if (course === 'redirect') {
    return !isRejection(error) || state.redirectBudget.tryWithdraw();
  }
  if (pending.chargedRetries + 1 >= maxAttemptsOf(context, pending)) {
    return false;
  }
  if (!state.budget.tryWithdraw()) return false;
  pending.chargedRetries += 1;
  return true;
}

/** Returns whether a daemon had no room for an attempt or no server. */
function isRejection(error: ErrorKind): boolean {
  return error === 'overloaded' || error === 'no-server';
}

function maxAttemptsOf(
  context: RoutingContext,
  pending: RoutedRequest,
): number {
  return (
    pending.accepted.maxAttempts ?? context.state.tuning.routing.maxAttempts
  );
}

/**
 * Tries a server at which the request has not failed yet. Once every server was
 * tried, all become eligible again after a delay; but if the last server tried
 * was overloaded, the request fails, as more attempts would only add load.
 */
function retryElsewhere(
  context: RoutingContext,
  pending: RoutedRequest,
  failed: Failure,
  from: MemberId,
): void {
  const {ownership} = context;
  pending.excludedServers.push(from);
  const servers = ownership.serversOf(pending.accepted.service);
  const hasUntried = servers.some(
    ({member}) => !pending.excludedServers.includes(member),
  );
  if (hasUntried) {
    dispatchRequest(context, pending);
    return;
  }
  pending.excludedServers = [];
  if (failed.kind === 'overloaded') failRequest(context, pending, failed);
  else retryLater(context, pending);
}

function retryLater(context: RoutingContext, pending: RoutedRequest): void {
  const {routing} = context.state.tuning;
  const delayMs = backoffMs(routing, pending.attemptsSent, drawRandom(context));
  scheduleTimer(context, pending, 'retry', delayMs);
}
