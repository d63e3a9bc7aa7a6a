/** @fileoverview Runs on the backend server: start, progress and end. */

import {
  recordStart,
  recordCompletion,
  releaseSlot,
  recordShed,
  dequeueExpired,
  dequeueNext,
} from '../admission/logic.js';
import type {CompletedRun, LimitResetCause} from '../admission/types.js';
import type {ErrorKind, RunState} from '../errors/types.js';
import type {DispatchPermission} from '../ownership/types.js';
import {finishJob, failJob, isRunning, recordRunEnd} from './completion.js';
import type {ExecutionContext} from './state.js';
import {latencyLabelOf, sliceKey} from './state.js';
import type {Job} from './types.js';

type Denial = Extract<DispatchPermission, {kind: 'denied'}>['reason'];

/**
 * Asks ownership whether a job may be dispatched at this moment (rule R1).
 *
 * @param turn - The turn.
 * @param job - The job.
 * @returns The permission.
 */
export function permissionOf(
  turn: ExecutionContext,
  job: Pick<Job, 'service' | 'slice'>,
): DispatchPermission {
  const {ownership, input} = turn;
  if (job.slice === null) return ownership.mayServe(input.at);
  return ownership.mayDispatch(job.service, job.slice, input.at);
}

/**
 * Refuses a job that this daemon may not dispatch, and names the owner.
 *
 * @param turn - The turn.
 * @param job - The job; it has not run.
 * @param reason - Why it is denied.
 */
export function denyJob(
  turn: ExecutionContext,
  job: Job,
  reason: Denial,
): void {
  const {ownership} = turn;
  const {service, slice} = job;
  const owner = slice === null ? null : ownership.placement(service, slice);
  const better = owner === null ? null : owner.owner;
  const hint = better === ownership.self ? null : better;
  failJob(turn, job, errorOf(reason, slice !== null), reason, hint);
}

/**
 * Starts a job on the backend server if its slice is held at this moment.
 *
 * @param turn - The turn.
 * @param job - A job that has a slot.
 */
export function startJob(turn: ExecutionContext, job: Job): void {
  const {state, effects, now} = turn;
  const permission = permissionOf(turn, job);
  if (permission.kind === 'denied') {
    denyJob(turn, job, permission.reason);
    return;
  }
  if (isSecondRun(turn, job)) return;
  recordStart(state.admission, job.priority, now);
  job.stage = 'started';
  job.startedAt = now;
  job.generation = permission.generation;
  const key = sliceKey(job.service, job.slice);
  state.running.set(key, (state.running.get(key) ?? 0) + 1);
  const {attempt, origin, service, slice, generation} = job;
  const budgetMs = job.deadline - now;
  const keep = isKept(job);
  effects.push({
    kind: 'run',
    attempt,
    origin,
    service,
    slice,
    generation,
    budgetMs,
    keepResponse: keep,
  });
  const waitedMs = now - job.arrivedAt;
  effects.push({kind: 'measure', histogram: 'queue', valueMs: waitedMs});
  logStart(turn, job, waitedMs);
}

function logStart(turn: ExecutionContext, job: Job, waitedMs: number): void {
  const {state, effects} = turn;
  const {attempt, request, generation, deadline} = job;
  const fields = {
    request,
    attempt,
    generation,
    waitedMs: Math.round(waitedMs),
    leftMs: Math.round(deadline - turn.now),
    running: state.admission.running,
    limit: state.admission.limit,
  };
  effects.push({kind: 'log', event: 'runStarted', fields});
}

/**
 * Refuses jobs whose time in the queue is over and starts those that fit.
 *
 * @param turn - The turn.
 */
export function processQueue(turn: ExecutionContext): void {
  const {state, now} = turn;
  for (const attempt of dequeueExpired(state.admission, now)) {
    const job = state.jobs.get(attempt);
    if (job === undefined) continue;
    const late = job.deadline <= now;
    failJob(
      turn,
      job,
      late ? 'deadline-exceeded' : 'overloaded',
      'no slot was free in time',
    );
  }
  for (;;) {
    const next = dequeueNext(state.admission, now);
    if (next === null) return;
    const job = state.jobs.get(next.waiting.attempt);
    if (job !== undefined) startJob(turn, job);
  }
}

/**
 * Checks ownership once more before the first byte: seeking a connection took
 * time.
 *
 * @param turn - The turn.
 * @param job - The job.
 */
export function runWritten(turn: ExecutionContext, job: Job): void {
  if (job.stage !== 'started') return;
  const permission = permissionOf(turn, job);
  if (permission.kind === 'granted') {
    job.stage = 'written';
    return;
  }
  turn.effects.push({kind: 'cancelRun', attempt: job.attempt});
  recordRunEnd(turn, job);
  releaseSlot(turn.state.admission, job.priority);
  denyJob(turn, job, permission.reason);
}

/**
 * Takes in the head of an answer.
 *
 * @param turn - The turn.
 * @param job - The job.
 * @param refused - Whether the server refused before running.
 */
export function runHead(
  turn: ExecutionContext,
  job: Job,
  refused: boolean,
): void {
  if (!isRunning(job)) return;
  if (!refused) {
    job.stage = 'answering';
    return;
  }
  recordRunEnd(turn, job);
  job.stage = 'refused';
  noteRelapse(
    turn,
    recordShed(turn.state.admission, completionOf(job), turn.now),
  );
  failJob(turn, job, 'server-refused', 'the backend server refused');
}

/**
 * Takes in the end of a whole answer.
 *
 * @param turn - The turn.
 * @param job - The job.
 */
export function runEnded(turn: ExecutionContext, job: Job): void {
  if (!isRunning(job)) return;
  const {state, now, effects} = turn;
  const key = sliceKey(job.service, job.slice);
  recordRunEnd(turn, job);
  const wasRamping = state.admission.ramping;
  noteRelapse(turn, recordCompletion(state.admission, completionOf(job), now));
  if (wasRamping && !state.admission.ramping) {
    const fields = {limit: state.admission.limit};
    effects.push({kind: 'log', event: 'limitReached', fields});
  }
  if (!state.running.has(key)) state.movingSince.delete(key);
  state.latestAnsweredStart = Math.max(
    state.latestAnsweredStart,
    job.startedAt,
  );
  const valueMs = now - job.startedAt;
  effects.push({kind: 'measure', histogram: 'run', valueMs});
  const {attempt, request} = job;
  const fields = {request, attempt, runMs: Math.round(valueMs)};
  effects.push({kind: 'log', event: 'runEnded', fields});
  finishJob(turn, job, {kind: 'done', kept: isKept(job)});
}

/**
 * Takes in the end of a run without a whole answer.
 *
 * @param turn - The turn.
 * @param job - The job.
 * @param run - Whether the runner wrote anything.
 * @param detail - Detail for people.
 */
export function runFailed(
  turn: ExecutionContext,
  job: Job,
  run: RunState,
  detail: string,
): void {
  if (!isRunning(job)) return;
  if (run === 'unknown' && job.stage === 'started') job.stage = 'written';
  recordRunEnd(turn, job);
  releaseSlot(turn.state.admission, job.priority);
  const late = turn.now >= job.deadline;
  failJob(turn, job, late ? 'deadline-exceeded' : 'server-lost', detail);
}

function noteRelapse(
  turn: ExecutionContext,
  cause: LimitResetCause | null,
): void {
  if (cause === null) return;
  turn.effects.push({kind: 'log', event: 'limitFellBack', fields: {cause}});
}

function completionOf(job: Job): CompletedRun {
  const {priority, startedAt} = job;
  return {priority, startedAt, label: latencyLabelOf(job)};
}

/** An idempotent request is run again rather than replayed. */
function isKept(job: Job): boolean {
  return !job.idempotent || job.key !== null;
}

/** Invariant: a non-idempotent request is dispatched at most once. */
function isSecondRun(turn: ExecutionContext, job: Job): boolean {
  const {state, now, effects} = turn;
  if (job.idempotent) return false;
  const {dispatched: ran} = state.history;
  if (job.stage === 'queued' && !ran.has(job.request)) {
    ran.set(job.request, now + state.settings.execution.outcomeMs);
    return false;
  }
  const detail = `request ${job.request}, attempt ${job.attempt}`;
  effects.push({kind: 'violate', invariant: 'dispatched at most once', detail});
  failJob(turn, job, 'internal', 'second dispatch of one request');
  return true;
}

function errorOf(reason: Denial, keyed: boolean): ErrorKind {
  switch (reason) {
    case 'no-lease':
      return 'lease-lost';
    case 'not-owner':
    case 'moving':
      return keyed ? 'no-owner' : 'stopping';
  }
}
