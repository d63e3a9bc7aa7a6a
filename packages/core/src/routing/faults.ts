/** @fileoverview What the origin does when an attempt has failed. */

import {noteReport} from '../choice/logic.js';
import {failure} from '../errors/logic.js';
import type {ErrorKind, Failure} from '../errors/types.js';
import type {MemberId} from '../ids/types.js';
import type {RequestMessage} from '../messages/types.js';
import {stageOfReport, classifyFailure} from '../outcomes/logic.js';
import type {AttemptStage} from '../outcomes/types.js';
import {backoffMs} from '../retry/logic.js';
import {dropAttempt, tell} from './endings.js';
import {place} from './placing.js';
import type {Turn} from './state.js';
import {draw, passOver, schedule} from './state.js';
import type {Attempt, Pending} from './types.js';

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
export function takeFailed(
  turn: Turn,
  attempt: Attempt,
  failed: Extract<RequestMessage, {kind: 'failed'}>,
): void {
  const {state, now, ownership} = turn;
  const pending = state.requests.get(attempt.request);
  if (pending === undefined) return;
  noteReport(state.choice, attempt.to, failed.outstanding, now);
  if (failed.error === 'overloaded' || failed.error === 'server-refused') {
    passOver(turn, attempt.to);
  }
  const isNewer = failed.version > ownership.version;
  if (isNewer && failed.owner !== null) pending.hint = failed.owner;
  const at = stageOfReport(failed.run, attempt.progress !== 'sent');
  endAttempt(turn, attempt, at, failed.error, failed.detail);
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
export function endAttempt(
  turn: Turn,
  attempt: Attempt,
  at: AttemptStage,
  error: ErrorKind,
  detail: string,
): void {
  const pending = turn.state.requests.get(attempt.request);
  if (pending === undefined) return;
  const verdict = classifyFailure(at, pending.taken.idempotent);
  const failed = failure(error, verdict.run, detail);
  dropAttempt(turn, pending, attempt);
  pending.last = failed;
  if (verdict.run === 'unknown') pending.mayHaveRun = true;
  if (pending.relayed === attempt.id) {
    tell(turn, pending, failed);
    return;
  }
  if (pending.attempts.size > 0) return;
  const course = verdict.retry ? courseOf(error, pending) : 'tell';
  follow(turn, pending, failed, course, attempt.to);
}

function follow(
  turn: Turn,
  pending: Pending,
  failed: Failure,
  course: Course,
  from: MemberId,
): void {
  const {state, effects} = turn;
  const {request, slice} = pending.taken;
  if (pending.late) {
    tell(turn, pending, {...failed, kind: 'deadline-exceeded'});
    return;
  }
  if (course === 'tell' || !affords(turn, pending, course)) {
    tell(turn, pending, failed);
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
  else if (pending.hint !== null) place(turn, pending);
  else retryLater(turn, pending);
}

function courseOf(error: ErrorKind, pending: Pending): Course {
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
      if (pending.taken.slice !== null) return 'tell';
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

function affords(turn: Turn, pending: Pending, course: Course): boolean {
  const {state} = turn;
  if (course === 'redirect') return true;
  if (pending.paid + 1 >= attemptsOf(turn, pending)) return false;
  if (!state.budget.tryWithdraw()) return false;
  pending.paid += 1;
  return true;
}

function attemptsOf(turn: Turn, pending: Pending): number {
  return pending.taken.maxAttempts ?? turn.state.settings.routing.maxAttempts;
}

/**
 * When no server is left, all are open again after a wait; but if the last one
 * was busy, more attempts would only add to the load.
 */
function retryElsewhere(
  turn: Turn,
  pending: Pending,
  failed: Failure,
  from: MemberId,
): void {
  const {ownership} = turn;
  pending.avoid.push(from);
  const servers = ownership.serversOf(pending.taken.service);
  const isLeft = servers.some(({member}) => !pending.avoid.includes(member));
  if (isLeft) {
    place(turn, pending);
    return;
  }
  pending.avoid = [];
  if (failed.kind === 'overloaded') tell(turn, pending, failed);
  else retryLater(turn, pending);
}

function retryLater(turn: Turn, pending: Pending): void {
  const {routing} = turn.state.settings;
  const delayMs = backoffMs(routing, pending.made, draw(turn));
  schedule(turn, pending, 'place', delayMs);
}
