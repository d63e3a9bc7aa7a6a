/** @fileoverview What the origin does when an attempt has failed. */

import {recordReportedLoad} from '../selection/logic.js';
import {failure} from '../errors/logic.js';
import type {ErrorKind, Failure} from '../errors/types.js';
import type {MemberId} from '../ids/types.js';
import type {RequestMessage} from '../messages/types.js';
import {stageOfReport, classifyFailure} from '../outcomes/logic.js';
import type {AttemptStage} from '../outcomes/types.js';
import {backoffMs} from '../retry/logic.js';
import {dropAttempt, failRequest} from './completion.js';
import {dispatchRequest} from './dispatch.js';
import type {RoutingContext} from './state.js';
import {drawRandom, penalizeServer, scheduleTimer} from './state.js';
import type {Attempt, PendingRequest} from './types.js';

/** How a failed attempt may be followed by another. */
type Course =
  /** The work went to the wrong daemon; the next attempt costs no server. */
  | 'redirect'
  /** Another attempt is paid from the retry budget. */
  | 'retry'
  | 'tell';

/**
 * Takes in that an attempt failed at the daemon it was sent to.
 *
 * @param turn - The turn.
 * @param attempt - The attempt.
 * @param failed - What that daemon reported.
 */
export function handleFailed(
  turn: RoutingContext,
  attempt: Attempt,
  failed: Extract<RequestMessage, {kind: 'failed'}>,
): void {
  const {state, now, ownership} = turn;
  const pending = state.requests.get(attempt.request);
  if (pending === undefined) return;
  recordReportedLoad(state.selection, attempt.to, failed.outstanding, now);
  if (failed.error === 'overloaded' || failed.error === 'server-refused') {
    penalizeServer(turn, attempt.to);
  }
  const isNewer = failed.version > ownership.version;
  if (isNewer && failed.owner !== null) pending.ownerHint = failed.owner;
  const at = stageOfReport(failed.run, attempt.progress !== 'sent');
  failAttempt(turn, attempt, at, failed.error, failed.detail);
}

/**
 * Ends an attempt that a fault has hit and decides what follows.
 *
 * @param turn - The turn.
 * @param attempt - The attempt.
 * @param at - Where it was when the fault hit.
 * @param error - The kind of error.
 * @param detail - Detail for people.
 */
export function failAttempt(
  turn: RoutingContext,
  attempt: Attempt,
  at: AttemptStage,
  error: ErrorKind,
  detail: string,
): void {
  const pending = turn.state.requests.get(attempt.request);
  if (pending === undefined) return;
  const verdict = classifyFailure(at, pending.accepted.idempotent);
  const failed = failure(error, verdict.run, detail);
  dropAttempt(turn, pending, attempt);
  pending.lastFailure = failed;
  if (verdict.run === 'unknown') pending.mayHaveRun = true;
  if (pending.relayedAttempt === attempt.id) {
    failRequest(turn, pending, failed);
    return;
  }
  if (pending.attempts.size > 0) return;
  const course = verdict.retry ? courseOf(error, pending) : 'tell';
  follow(turn, pending, failed, course, attempt.to);
}

function follow(
  turn: RoutingContext,
  pending: PendingRequest,
  failed: Failure,
  course: Course,
  from: MemberId,
): void {
  const {state, effects} = turn;
  const {request, slice} = pending.accepted;
  if (pending.deadlinePassed) {
    failRequest(turn, pending, {...failed, kind: 'deadline-exceeded'});
    return;
  }
  if (course === 'tell' || !affords(turn, pending, course)) {
    failRequest(turn, pending, failed);
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
  if (slice === null) retryElsewhere(turn, pending, failed, from);
  else if (pending.ownerHint !== null) dispatchRequest(turn, pending);
  else retryLater(turn, pending);
}

function courseOf(error: ErrorKind, pending: PendingRequest): Course {
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
      if (pending.accepted.slice !== null) return 'tell';
      return pending.mayHaveRun ? 'retry' : 'redirect';
    case 'bad-request':
    case 'unknown-service':
    case 'key-missing':
    case 'key-too-long':
    case 'body-too-large':
    case 'header-too-large':
    case 'deadline-exceeded':
    case 'cancelled':
    case 'idempotency-mismatch':
    case 'internal':
      return 'tell';
  }
}

function affords(
  turn: RoutingContext,
  pending: PendingRequest,
  course: Course,
): boolean {
  const {state} = turn;
  if (course === 'redirect') return true;
  if (pending.budgetedAttempts + 1 >= attemptsOf(turn, pending)) return false;
  if (!state.budget.tryWithdraw()) return false;
  pending.budgetedAttempts += 1;
  return true;
}

function attemptsOf(turn: RoutingContext, pending: PendingRequest): number {
  return (
    pending.accepted.maxAttempts ?? turn.state.settings.routing.maxAttempts
  );
}

/**
 * When no server is left, all are open again after a wait; but if the last one
 * was busy, more attempts would only add to the load.
 */
function retryElsewhere(
  turn: RoutingContext,
  pending: PendingRequest,
  failed: Failure,
  from: MemberId,
): void {
  const {ownership} = turn;
  pending.excludedServers.push(from);
  const servers = ownership.serversOf(pending.accepted.service);
  const isLeft = servers.some(
    ({member}) => !pending.excludedServers.includes(member),
  );
  if (isLeft) {
    dispatchRequest(turn, pending);
    return;
  }
  pending.excludedServers = [];
  if (failed.kind === 'overloaded') failRequest(turn, pending, failed);
  else retryLater(turn, pending);
}

function retryLater(turn: RoutingContext, pending: PendingRequest): void {
  const {routing} = turn.state.settings;
  const delayMs = backoffMs(routing, pending.attemptsSent, drawRandom(turn));
  scheduleTimer(turn, pending, 'place', delayMs);
}
