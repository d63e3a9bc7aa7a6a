/** @fileoverview How attempts end: failure, abort and their outcomes. */

import {releaseSlot} from '../admission/logic.js';
import type {ErrorKind, RunState} from '../errors/types.js';
import type {AttemptId, MemberId} from '../ids/types.js';
import {classifyFailure} from '../outcomes/logic.js';
import {recordOutcome} from './history.js';
import type {ExecutionContext} from './state.js';
import {send, sliceKey} from './state.js';
import type {AttemptOutcome, Job} from './types.js';
import {costFieldsOf, reportedWorkMs} from './work.js';

/** Why an attempt failed, and whether it may have run. */
export interface AttemptFailure {
  readonly error: ErrorKind;
  readonly run: RunState;
  /** Explanation for people. */
  readonly detail: string;
}

/**
 * Tells an origin that an attempt failed.
 *
 * @param context - Context of the current input.
 * @param to - The origin.
 * @param attempt - The attempt.
 * @param failure - Why it failed, and whether it may have run.
 * @param ownerHint - Another daemon that owns the slice by the map, for the
 *     next attempt; or null.
 */
export function sendFailed(
  context: ExecutionContext,
  to: MemberId,
  attempt: AttemptId,
  failure: AttemptFailure,
  ownerHint: MemberId | null = null,
): void {
  const outstanding = context.state.jobs.size;
  const {version} = context.ownership;
  send(context, to, {
    kind: 'failed',
    attempt,
    error: failure.error,
    run: failure.run,
    detail: failure.detail,
    owner: ownerHint,
    version,
    outstanding,
    workMs: reportedWorkMs(context.state, context.now),
  });
}

/**
 * Ends a job with an error and tells its origin and the origins of all attempts
 * that were coalesced with it.
 *
 * @param context - Context of the current input.
 * @param job - The job; its stage decides whether it may have run.
 * @param error - The kind of error.
 * @param detail - Explanation for people.
 * @param ownerHint - Another daemon that owns the slice by the map, for the
 *     next attempt; or null.
 */
export function failJob(
  context: ExecutionContext,
  job: Job,
  error: ErrorKind,
  detail: string,
  ownerHint: MemberId | null = null,
): void {
  const {run} = classifyFailure(job.stage, job.idempotent);
  const failed = {error, run, detail};
  logFailed(context, job, failed);
  if (error === 'overloaded') recordRefusedLoad(context, job);
  finishJob(context, job, {kind: 'failed', ...failed});
  if (run === 'not-run') clearAtMostOnceMarks(context, job);
  context.effects.push({kind: 'discardAttempt', attempt: job.attempt});
  sendFailed(context, job.origin, job.attempt, failed, ownerHint);
  for (const each of job.coalesced) {
    sendFailed(context, each.origin, each.attempt, failed, ownerHint);
  }
}

function logFailed(
  context: ExecutionContext,
  job: Job,
  {error, run, detail}: AttemptFailure,
): void {
  const {state, effects, now} = context;
  // The log calls the stage of the attempt `place`.
  const {attempt, request, stage: place, arrivedAt, deadline} = job;
  const fields = {
    request,
    attempt,
    error,
    run,
    detail,
    place,
    ageMs: Math.round(now - arrivedAt),
    leftMs: Math.round(deadline - now),
    running: state.admission.running,
    limit: state.admission.limit,
    ...costFieldsOf(state, job, now),
  };
  effects.push({kind: 'log', event: 'attemptFailed', fields});
}

/**
 * Aborts a job's run, if it has one, and ends the job with an error.
 *
 * @param context - Context of the current input.
 * @param job - The job.
 * @param error - The kind of error.
 * @param detail - Explanation for people.
 */
export function abortJob(
  context: ExecutionContext,
  job: Job,
  error: ErrorKind,
  detail: string,
): void {
  if (isRunning(job)) {
    context.effects.push({kind: 'cancelRun', attempt: job.attempt});
    releaseSlot(context.state.admission, job.priority);
    recordRunEnd(context, job);
  }
  failJob(context, job, error, detail);
}

/**
 * Moves a job from the live jobs to the history.
 *
 * @param context - Context of the current input.
 * @param job - The job.
 * @param outcome - How it ended.
 */
export function finishJob(
  context: ExecutionContext,
  job: Job,
  outcome: AttemptOutcome,
): void {
  context.state.jobs.delete(job.attempt);
  recordAttemptOutcome(context, job, outcome);
}

/**
 * Records an outcome, and has the runtime free everything of the attempts that
 * the history dropped to make room.
 *
 * @param context - Context of the current input.
 * @param identity - The attempt, its idempotency key and its request line.
 * @param outcome - How it ended.
 */
export function recordAttemptOutcome(
  context: ExecutionContext,
  identity: Pick<Job, 'attempt' | 'key' | 'requestLine'>,
  outcome: AttemptOutcome,
): void {
  const {history, tuning} = context.state;
  const dropped = recordOutcome(
    history,
    tuning.execution,
    identity,
    outcome,
    context.now,
  );
  discardAttempts(context, dropped);
}

/**
 * Has the runtime free everything stored for attempts.
 *
 * @param context - Context of the current input.
 * @param attempts - The attempts.
 */
export function discardAttempts(
  context: ExecutionContext,
  attempts: readonly AttemptId[],
): void {
  for (const attempt of attempts) {
    context.effects.push({kind: 'discardAttempt', attempt});
  }
}

/**
 * Removes a finished run from the counts of its slice.
 *
 * @param context - Context of the current input.
 * @param job - The job.
 */
export function recordRunEnd(context: ExecutionContext, job: Job): void {
  const {running, busyMs} = context.state;
  if (job.slice !== null) {
    const spentMs = context.now - job.startedAt;
    busyMs.set(job.slice, (busyMs.get(job.slice) ?? 0) + spentMs);
  }
  const key = sliceKey(job.service, job.slice);
  const remaining = (running.get(key) ?? 0) - 1;
  if (remaining > 0) running.set(key, remaining);
  else running.delete(key);
}

/**
 * Counts a refused attempt as load of its slice, so that balancing knows what
 * the slice needs and not only what its server could run. By cost it counts with
 * its own expected run time.
 */
function recordRefusedLoad(context: ExecutionContext, job: Job): void {
  const {slice} = job;
  if (slice === null) return;
  const {busyMs, admission} = context.state;
  const ms = job.expectedMs > 0 ? job.expectedMs : admission.meanRunMs;
  busyMs.set(slice, (busyMs.get(slice) ?? 0) + ms);
}

/**
 * Returns whether the runtime is executing a job.
 *
 * @param job - The job.
 * @returns True from the `run` effect to the end of the run.
 */
export function isRunning(job: Job): boolean {
  return (
    job.stage === 'started' ||
    job.stage === 'written' ||
    job.stage === 'answering'
  );
}

/**
 * Clears the marks that keep a request from being dispatched twice, since it
 * certainly did not run. A job marks its request as dispatched when it starts,
 * so before that only the idempotency key is cleared.
 */
function clearAtMostOnceMarks(context: ExecutionContext, job: Job): void {
  const {attemptsByIdempotencyKey, dispatchedRequests} = context.state.history;
  const wasStarted = job.stage === 'started' || job.stage === 'refused';
  if (wasStarted) dispatchedRequests.delete(job.request);
  if (
    job.key !== null &&
    attemptsByIdempotencyKey.get(job.key) === job.attempt
  ) {
    attemptsByIdempotencyKey.delete(job.key);
  }
}
