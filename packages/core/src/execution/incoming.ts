/**
 * @fileoverview Handles the messages of origins: dispatch, cancel and inquiry
 * (a query for the status of an attempt).
 */

import {dequeueWhere, admitOrQueue} from '../admission/logic.js';
import type {SlotRequest} from '../admission/types.js';
import {expectedRunMs} from '../costs/logic.js';
import type {ErrorKind} from '../errors/types.js';
import type {Generation, MemberId} from '../ids/types.js';
import type {Dispatch, RequestMessage} from '../messages/types.js';
import {
  abortJob,
  failJob,
  isRunning,
  recordAttemptOutcome,
  sendFailed,
} from './completion.js';
import {findOutcome, mayHaveBeenDropped} from './history.js';
import {denyJob, permissionOf, startJob} from './runs.js';
import {isBeyondShare} from './shares.js';
import type {ExecutionContext} from './state.js';
import {send} from './state.js';
import type {Job, OutcomeRecord} from './types.js';
import {costFieldsOf, slotCostOf} from './work.js';

/**
 * Handles the dispatch of an attempt: rejects, replays, queues or starts it.
 *
 * @param context - Context of the current input.
 * @param from - The origin.
 * @param dispatch - The message.
 */
export function handleDispatch(
  context: ExecutionContext,
  from: MemberId,
  dispatch: Dispatch,
): void {
  const {state} = context;
  const {attempt} = dispatch;
  if (state.jobs.has(attempt)) return;
  if (rejectIfStale(context, from, dispatch)) return;
  const job = jobOf(context, from, dispatch);
  if (tryReplayByKey(context, job)) return;
  const rejection = rejectionOf(context, job);
  if (rejection !== null) {
    failJob(context, job, rejection, 'this daemon takes no such work now');
    return;
  }
  const permission = permissionOf(context, job);
  if (permission.kind === 'denied') denyJob(context, job, permission.reason);
  else admit(context, job);
}

/**
 * Cancels an attempt. Its run may continue, see `continuesAfterCancel`.
 *
 * @param context - Context of the current input.
 * @param from - The origin.
 * @param message - Which attempt.
 */
export function handleCancel(
  context: ExecutionContext,
  from: MemberId,
  message: Extract<RequestMessage, {kind: 'cancel'}>,
): void {
  const {state} = context;
  const {attempt} = message;
  const job = state.jobs.get(attempt);
  if (job === undefined) {
    detachFromRun(context, message);
    return;
  }
  if (job.origin !== from) return;
  if (job.stage === 'queued') {
    dequeueWhere(state.admission, waiting => waiting.attempt === attempt);
    if (job.coalesced.length === 0) {
      failJob(context, job, 'cancelled', 'cancelled');
    } else requeue(context, job);
    return;
  }
  if (!continuesAfterCancel(job)) {
    abortJob(context, job, 'cancelled', 'cancelled');
  }
}

/**
 * Reports what became of an attempt. One that certainly never arrived gets a
 * tombstone, so that it does not start if its dispatch arrives later.
 *
 * @param context - Context of the current input.
 * @param from - The origin.
 * @param message - Which attempt, and which member it was sent to.
 */
export function handleInquiry(
  context: ExecutionContext,
  from: MemberId,
  message: Extract<RequestMessage, {kind: 'inquire'}>,
): void {
  const {state, ownership} = context;
  const {attempt} = message;
  if (state.jobs.has(attempt)) {
    sendFateAndReplay(context, from, attempt, attempt, 'running');
    return;
  }
  const record = findOutcome(state.history, attempt);
  if (record !== null) {
    sendOutcome(context, from, message, record);
    return;
  }
  const isOther = message.to !== ownership.self;
  if (isOther || mayHaveBeenDropped(state.history, attempt)) {
    send(context, from, {kind: 'fate', attempt, state: 'forgotten'});
    return;
  }
  const unkeyed = {attempt, key: null, requestLine: null};
  recordAttemptOutcome(context, unkeyed, {kind: 'neverStarted'});
  send(context, from, {kind: 'fate', attempt, state: 'never'});
}

/**
 * Rejects a dispatch that must not start. One that was sent to another member,
 * such as an earlier incarnation, certainly did not run. One whose outcome is
 * known, after an inquiry or an earlier dispatch, is only logged. One whose
 * outcome may have been dropped from the history may have run before. The kinds
 * are chosen for what the origin does: after `no-owner` with `not-run` it may
 * try again; `link-lost` with `unknown` stands for an unknown fate, as after
 * the loss of a link, though no link need be lost here.
 */
function rejectIfStale(
  context: ExecutionContext,
  from: MemberId,
  dispatch: Dispatch,
): boolean {
  const {state, ownership, effects} = context;
  const {attempt} = dispatch;
  if (dispatch.to !== ownership.self) {
    reject(context, from, dispatch, 'no-owner', 'not-run');
    return true;
  }
  if (findOutcome(state.history, attempt) !== null) {
    effects.push({kind: 'log', event: 'lateAttempt', fields: {attempt}});
    return true;
  }
  if (!mayHaveBeenDropped(state.history, attempt)) return false;
  effects.push({kind: 'log', event: 'lateAttempt', fields: {attempt}});
  reject(context, from, dispatch, 'link-lost', 'unknown');
  return true;
}

function reject(
  context: ExecutionContext,
  from: MemberId,
  dispatch: Dispatch,
  error: ErrorKind,
  run: 'not-run' | 'unknown',
): void {
  const {attempt} = dispatch;
  context.effects.push({kind: 'discardAttempt', attempt});
  sendFailed(context, from, attempt, {error, run, detail: 'arrived too late'});
}

/**
 * Subtracts the length of a recent stall from the deadline, since the dispatch
 * may have waited in a socket buffer meanwhile.
 */
function jobOf(
  context: ExecutionContext,
  origin: MemberId,
  dispatch: Dispatch,
): Job {
  const {now, state} = context;
  const stallMs = now < state.stallUntil ? state.stallMs : 0;
  const {service, slice, idempotencyKey} = dispatch;
  const key =
    idempotencyKey === null
      ? null
      : JSON.stringify([service, slice, idempotencyKey]);
  return {
    attempt: dispatch.attempt,
    origin,
    request: dispatch.request,
    service,
    slice,
    idempotent: dispatch.idempotent,
    priority: dispatch.priority,
    urgency: dispatch.urgency,
    objectiveMs: dispatch.objectiveMs,
    costClass: dispatch.costClass,
    expectedMs: state.byCost ? expectedRunMs(state.costs, dispatch, now) : 0,
    key,
    requestLine: key === null ? null : `${dispatch.method} ${dispatch.path}`,
    arrivedAt: now,
    deadline: now + dispatch.budgetMs - stallMs,
    stage: 'rejected',
    startedAt: 0,
    generation: 0 as Generation,
    status: 0,
    coalesced: [],
  };
}

/**
 * Serves a request from the run of an earlier one with the same idempotency
 * key: coalesces it with a live run, replays a kept response or repeats a
 * failure.
 */
function tryReplayByKey(context: ExecutionContext, job: Job): boolean {
  const {state} = context;
  const {attemptsByIdempotencyKey} = state.history;
  if (job.key === null) return false;
  const original = attemptsByIdempotencyKey.get(job.key);
  if (original === undefined) return false;
  const live = state.jobs.get(original);
  const record = findOutcome(state.history, original);
  const earlier = live ?? record;
  if (earlier === null) return false;
  if (earlier.requestLine !== job.requestLine) {
    const unkeyed = {...job, key: null};
    failJob(context, unkeyed, 'idempotency-mismatch', 'the key is in use');
    return true;
  }
  if (live !== undefined) {
    const {attempt, origin} = job;
    live.coalesced.push({attempt, origin});
  } else if (record?.outcome.kind === 'failed') {
    if (job.idempotent) return false;
    const {error, run, detail} = record.outcome;
    context.effects.push({kind: 'discardAttempt', attempt: job.attempt});
    sendFailed(context, job.origin, job.attempt, {error, run, detail});
    return true;
  }
  coalesceWithRun(context, job, original);
  return true;
}

function coalesceWithRun(
  context: ExecutionContext,
  job: Job,
  original: Job['attempt'],
): void {
  const {attempt, origin} = job;
  const unkeyed = {attempt, key: null, requestLine: job.requestLine};
  recordAttemptOutcome(context, unkeyed, {kind: 'coalesced', original});
  context.effects.push({kind: 'discardAttempt', attempt});
  context.effects.push({kind: 'replayResponse', attempt, original, to: origin});
}

/**
 * Returns the error to reject a job with, except for those of ownership; or
 * null.
 */
function rejectionOf(context: ExecutionContext, job: Job): ErrorKind | null {
  const {state, now} = context;
  if (job.deadline <= now) return 'deadline-exceeded';
  if (state.jobs.size >= state.tuning.execution.maxAttempts) {
    return 'overloaded';
  }
  if (state.server === null) return 'no-server';
  if (state.server.service !== job.service) return 'no-server';
  // A run of a shared service that may outlast a planned stop goes elsewhere.
  if (job.slice === null && job.deadline > state.stopEndsAt) return 'stopping';
  if (state.leavingSince === null) return null;
  if (job.slice === null) return 'stopping';
  const {leavingMs} = state.tuning.announcements;
  return now - state.leavingSince < leavingMs ? null : 'stopping';
}

function admit(context: ExecutionContext, job: Job): void {
  const {state, now} = context;
  const {attempt} = job;
  if (isBeyondShare(context, job)) {
    failJob(context, job, 'overloaded', 'its slice has its share of the slots');
    return;
  }
  const request = slotRequestOf(context, job);
  const decision = admitOrQueue(state.admission, request, now);
  if (decision === 'refuse') {
    failJob(context, job, 'overloaded', 'the queue is full');
    return;
  }
  state.jobs.set(attempt, job);
  job.stage = 'queued';
  if (job.key !== null) {
    state.history.attemptsByIdempotencyKey.set(job.key, attempt);
  }
  if (decision === 'start') startJob(context, job);
  else logQueued(context, job);
}

function logQueued(context: ExecutionContext, job: Job): void {
  const {attempt, request, urgency} = job;
  const {admission} = context.state;
  const waiting = admission.queues.interactive.length;
  const {running, limit} = admission;
  const figures = costFieldsOf(context.state, job, context.now);
  const counts = {request, attempt, urgency, waiting, running, limit};
  const fields = {...counts, ...figures};
  context.effects.push({kind: 'log', event: 'attemptQueued', fields});
}

function slotRequestOf({state, now}: ExecutionContext, job: Job): SlotRequest {
  const {attempt, priority, deadline, slice, urgency, objectiveMs} = job;
  const shared = slice === null;
  const cost = slotCostOf(state, job, now);
  return {attempt, priority, deadline, shared, urgency, objectiveMs, cost};
}

/** Queues a cancelled job again for the attempts that are coalesced with it. */
function requeue(context: ExecutionContext, job: Job): void {
  const {state, now} = context;
  if (isBeyondShare(context, job)) {
    failJob(context, job, 'overloaded', 'its slice has its share of the slots');
    return;
  }
  const request = slotRequestOf(context, job);
  const decision = admitOrQueue(state.admission, request, now);
  if (decision === 'start') startJob(context, job);
  if (decision === 'refuse') {
    failJob(context, job, 'overloaded', 'queue is full');
  }
}

/**
 * A run continues for the attempts that are coalesced with it, and for a caller
 * that may repeat a non-idempotent request with the same idempotency key.
 */
function continuesAfterCancel(job: Job): boolean {
  if (!isRunning(job)) return true;
  if (job.coalesced.length > 0) return true;
  return job.key !== null && !job.idempotent && job.stage !== 'started';
}

/** Removes a cancelled attempt from the run that it was coalesced with. */
function detachFromRun(
  context: ExecutionContext,
  {attempt}: Extract<RequestMessage, {kind: 'cancel'}>,
): void {
  const record = findOutcome(context.state.history, attempt);
  if (record?.outcome.kind !== 'coalesced') return;
  const job = context.state.jobs.get(record.outcome.original);
  if (job === undefined) return;
  const index = job.coalesced.findIndex(each => each.attempt === attempt);
  if (index >= 0) job.coalesced.splice(index, 1);
}

function sendOutcome(
  context: ExecutionContext,
  from: MemberId,
  {attempt}: Extract<RequestMessage, {kind: 'inquire'}>,
  {outcome}: OutcomeRecord,
): void {
  switch (outcome.kind) {
    case 'neverStarted':
      send(context, from, {kind: 'fate', attempt, state: 'never'});
      return;
    case 'failed':
      sendFailed(context, from, attempt, outcome);
      return;
    case 'completed':
      if (outcome.kept) {
        sendFateAndReplay(context, from, attempt, attempt, 'kept');
      } else send(context, from, {kind: 'fate', attempt, state: 'forgotten'});
      return;
    case 'coalesced':
      sendCoalescedOutcome(context, from, attempt, outcome.original);
      return;
  }
}

function sendCoalescedOutcome(
  context: ExecutionContext,
  from: MemberId,
  attempt: Job['attempt'],
  original: Job['attempt'],
): void {
  const {state} = context;
  const outcome = findOutcome(state.history, original)?.outcome;
  if (state.jobs.has(original)) {
    sendFateAndReplay(context, from, attempt, original, 'running');
  } else if (outcome?.kind === 'completed') {
    sendFateAndReplay(context, from, attempt, original, 'kept');
  } else if (outcome?.kind === 'failed') {
    sendFailed(context, from, attempt, outcome);
  } else send(context, from, {kind: 'fate', attempt, state: 'forgotten'});
}

function sendFateAndReplay(
  context: ExecutionContext,
  to: MemberId,
  attempt: Job['attempt'],
  original: Job['attempt'],
  state: 'running' | 'kept',
): void {
  send(context, to, {kind: 'fate', attempt, state});
  context.effects.push({kind: 'replayResponse', attempt, original, to});
}
