/** @fileoverview What origins ask of the daemon beside a backend server. */

import {offer, dequeueWhere} from '../admission/logic.js';
import type {SlotRequest} from '../admission/types.js';
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
import {mayHaveBeenDropped, findOutcome} from './history.js';
import {denyJob, permissionOf, startJob} from './runs.js';
import type {ExecutionContext} from './state.js';
import {send} from './state.js';
import type {Job, OutcomeRecord} from './types.js';

/**
 * Takes in an attempt.
 *
 * @param turn - The turn.
 * @param from - The origin.
 * @param dispatch - The attempt.
 */
export function handleDispatch(
  turn: ExecutionContext,
  from: MemberId,
  dispatch: Dispatch,
): void {
  const {state} = turn;
  const {attempt} = dispatch;
  if (state.jobs.has(attempt)) return;
  if (isLate(turn, from, dispatch)) return;
  const job = jobOf(turn, from, dispatch);
  if (answersFromKey(turn, job)) return;
  const obstacle = obstacleOf(turn, job);
  if (obstacle !== null) {
    failJob(turn, job, obstacle, 'this daemon takes no such work now');
    return;
  }
  const permission = permissionOf(turn, job);
  if (permission.kind === 'denied') denyJob(turn, job, permission.reason);
  else admit(turn, job);
}

/**
 * Withdraws an attempt at the wish of its origin.
 *
 * @param turn - The turn.
 * @param from - The origin.
 * @param message - Which attempt.
 */
export function handleCancel(
  turn: ExecutionContext,
  from: MemberId,
  message: Extract<RequestMessage, {kind: 'cancel'}>,
): void {
  const {state} = turn;
  const {attempt} = message;
  const job = state.jobs.get(attempt);
  if (job === undefined) {
    detach(turn, message);
    return;
  }
  if (job.origin !== from) return;
  job.wanted = false;
  if (job.stage === 'queued') {
    dequeueWhere(state.admission, waiting => waiting.attempt === attempt);
    if (job.joined.length === 0) failJob(turn, job, 'cancelled', 'cancelled');
    else requeue(turn, job);
    return;
  }
  if (!goesOnUnwanted(job)) abortJob(turn, job, 'cancelled', 'cancelled');
}

/**
 * Says what became of an attempt; one that has not arrived never starts.
 *
 * @param turn - The turn.
 * @param from - The origin.
 * @param message - Which attempt, and which member it was sent to.
 */
export function handleInquiry(
  turn: ExecutionContext,
  from: MemberId,
  message: Extract<RequestMessage, {kind: 'inquire'}>,
): void {
  const {state, ownership} = turn;
  const {attempt} = message;
  if (state.jobs.has(attempt)) {
    sendAgain(turn, from, attempt, attempt, 'running');
    return;
  }
  const outcome = findOutcome(state.history, attempt);
  if (outcome !== null) {
    sayOutcome(turn, from, message, outcome);
    return;
  }
  const isOther = message.to !== ownership.self;
  if (isOther || mayHaveBeenDropped(state.history, attempt)) {
    send(turn, from, {kind: 'fate', attempt, state: 'forgotten'});
    return;
  }
  const unkeyed = {attempt, key: null, signature: ''};
  recordAttemptOutcome(turn, unkeyed, {kind: 'never'});
  send(turn, from, {kind: 'fate', attempt, state: 'never'});
}

/** Refuses what another member was asked, or what may have been before. */
function isLate(
  turn: ExecutionContext,
  from: MemberId,
  dispatch: Dispatch,
): boolean {
  const {state, ownership, effects} = turn;
  const {attempt} = dispatch;
  if (dispatch.to !== ownership.self) {
    refuse(turn, from, dispatch, 'no-owner', 'not-run');
    return true;
  }
  if (findOutcome(state.history, attempt) !== null) {
    effects.push({kind: 'log', event: 'lateAttempt', fields: {attempt}});
    return true;
  }
  if (!mayHaveBeenDropped(state.history, attempt)) return false;
  effects.push({kind: 'log', event: 'lateAttempt', fields: {attempt}});
  refuse(turn, from, dispatch, 'link-lost', 'unknown');
  return true;
}

function refuse(
  turn: ExecutionContext,
  from: MemberId,
  dispatch: Dispatch,
  error: ErrorKind,
  run: 'not-run' | 'unknown',
): void {
  const {attempt} = dispatch;
  turn.effects.push({kind: 'forget', attempt});
  sendFailed(turn, from, attempt, {error, run, detail: 'arrived too late'});
}

function jobOf(
  turn: ExecutionContext,
  origin: MemberId,
  dispatch: Dispatch,
): Job {
  const {now, state} = turn;
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
    key,
    signature: `${dispatch.method} ${dispatch.path}`,
    arrivedAt: now,
    deadline: now + dispatch.budgetMs - stallMs,
    stage: 'rejected',
    startedAt: 0,
    generation: 0 as Generation,
    wanted: true,
    joined: [],
  };
}

/** Joins or replays the run of an earlier request with the same key. */
function answersFromKey(turn: ExecutionContext, job: Job): boolean {
  const {state} = turn;
  const {keys} = state.history;
  if (job.key === null) return false;
  const of = keys.get(job.key);
  if (of === undefined) return false;
  const live = state.jobs.get(of);
  const outcome = findOutcome(state.history, of);
  const earlier = live ?? outcome;
  if (earlier === null) return false;
  if (earlier.signature !== job.signature) {
    const other = {...job, key: null};
    failJob(turn, other, 'idempotency-mismatch', 'the key is in use');
    return true;
  }
  if (live !== undefined) {
    const {attempt, origin} = job;
    live.joined.push({attempt, origin});
  } else if (outcome?.outcome.kind === 'failed') {
    if (job.idempotent) return false;
    const {error, run, detail} = outcome.outcome;
    turn.effects.push({kind: 'forget', attempt: job.attempt});
    sendFailed(turn, job.origin, job.attempt, {error, run, detail});
    return true;
  }
  join(turn, job, of);
  return true;
}

function join(turn: ExecutionContext, job: Job, of: Job['attempt']): void {
  const {attempt, origin} = job;
  const unkeyed = {attempt, key: null, signature: job.signature};
  recordAttemptOutcome(turn, unkeyed, {kind: 'joined', original: of});
  turn.effects.push({kind: 'forget', attempt});
  turn.effects.push({kind: 'replay', attempt, original: of, to: origin});
}

/** Finds a reason to refuse that has nothing to do with ownership. */
function obstacleOf(turn: ExecutionContext, job: Job): ErrorKind | null {
  const {state, now} = turn;
  if (job.deadline <= now) return 'deadline-exceeded';
  if (state.jobs.size >= state.settings.execution.maxAttempts) {
    return 'overloaded';
  }
  if (state.server === null) return 'no-server';
  if (state.server.service !== job.service) return 'no-server';
  if (state.leavingSince === null) return null;
  if (job.slice === null) return 'stopping';
  const {leavingMs} = state.settings.announcements;
  return now - state.leavingSince < leavingMs ? null : 'stopping';
}

function admit(turn: ExecutionContext, job: Job): void {
  const {state, now} = turn;
  const {attempt} = job;
  const decision = offer(state.admission, askingOf(job), now);
  if (decision === 'refuse') {
    failJob(turn, job, 'overloaded', 'the queue is full');
    return;
  }
  state.jobs.set(attempt, job);
  job.stage = 'queued';
  if (job.key !== null) state.history.keys.set(job.key, attempt);
  if (decision === 'start') startJob(turn, job);
  else logQueued(turn, job);
}

function logQueued(
  turn: ExecutionContext,
  {attempt, request, urgency}: Job,
): void {
  const {admission: gate} = turn.state;
  const waiting = gate.queues.interactive.length;
  const {running, limit} = gate;
  const fields = {request, attempt, urgency, waiting, running, limit};
  turn.effects.push({kind: 'log', event: 'attemptQueued', fields});
}

function askingOf(job: Job): SlotRequest {
  const {attempt, priority, deadline, slice, urgency, objectiveMs} = job;
  const shared = slice === null;
  return {attempt, priority, deadline, shared, urgency, objectiveMs};
}

/** A joined attempt still wants the run that its first origin gave up. */
function requeue(turn: ExecutionContext, job: Job): void {
  const {state, now} = turn;
  const decision = offer(state.admission, askingOf(job), now);
  if (decision === 'start') startJob(turn, job);
  if (decision === 'refuse') failJob(turn, job, 'overloaded', 'queue is full');
}

/** A caller that lost its connection may ask again with the same key. */
function goesOnUnwanted(job: Job): boolean {
  if (!isRunning(job)) return true;
  if (job.joined.length > 0) return true;
  return job.key !== null && !job.idempotent && job.stage !== 'started';
}

function detach(
  turn: ExecutionContext,
  {attempt}: Extract<RequestMessage, {kind: 'cancel'}>,
): void {
  const outcome = findOutcome(turn.state.history, attempt);
  if (outcome?.outcome.kind !== 'joined') return;
  const job = turn.state.jobs.get(outcome.outcome.original);
  if (job === undefined) return;
  const index = job.joined.findIndex(joined => joined.attempt === attempt);
  if (index >= 0) job.joined.splice(index, 1);
}

function sayOutcome(
  turn: ExecutionContext,
  from: MemberId,
  {attempt}: Extract<RequestMessage, {kind: 'inquire'}>,
  {outcome: ending}: OutcomeRecord,
): void {
  switch (ending.kind) {
    case 'never':
      send(turn, from, {kind: 'fate', attempt, state: 'never'});
      return;
    case 'failed':
      sendFailed(turn, from, attempt, ending);
      return;
    case 'done':
      if (ending.kept) sendAgain(turn, from, attempt, attempt, 'kept');
      else send(turn, from, {kind: 'fate', attempt, state: 'forgotten'});
      return;
    case 'joined':
      sayJoined(turn, from, attempt, ending.original);
      return;
  }
}

function sayJoined(
  turn: ExecutionContext,
  from: MemberId,
  attempt: Job['attempt'],
  of: Job['attempt'],
): void {
  const {state} = turn;
  const ending = findOutcome(state.history, of)?.outcome;
  if (state.jobs.has(of)) sendAgain(turn, from, attempt, of, 'running');
  else if (ending?.kind === 'done') sendAgain(turn, from, attempt, of, 'kept');
  else if (ending?.kind === 'failed') sendFailed(turn, from, attempt, ending);
  else send(turn, from, {kind: 'fate', attempt, state: 'forgotten'});
}

function sendAgain(
  turn: ExecutionContext,
  to: MemberId,
  attempt: Job['attempt'],
  of: Job['attempt'],
  state: 'running' | 'kept',
): void {
  send(turn, to, {kind: 'fate', attempt, state});
  turn.effects.push({kind: 'replay', attempt, original: of, to});
}
