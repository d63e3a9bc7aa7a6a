/** @fileoverview How attempts leave the daemon beside the backend server. */

import {releaseSlot} from '../admission/logic.js';
import type {ErrorKind, RunState} from '../errors/types.js';
import type {AttemptId, MemberId} from '../ids/types.js';
import {classifyFailure} from '../outcomes/logic.js';
import {recordOutcome} from './history.js';
import type {ExecutionContext} from './state.js';
import {send, sliceKey} from './state.js';
import type {AttemptOutcome, Job} from './types.js';

/** Why an attempt failed and whether it ran. */
export interface AttemptFailure {
  readonly error: ErrorKind;
  readonly run: RunState;
  /** Detail for people. */
  readonly detail: string;
}

/**
 * Tells an origin that an attempt failed.
 *
 * @param turn - The turn.
 * @param to - The origin.
 * @param attempt - The attempt.
 * @param failure - The kind of error, whether it ran, and detail for people.
 * @param owner - A better owner to try, or null.
 */
export function sendFailed(
  turn: ExecutionContext,
  to: MemberId,
  attempt: AttemptId,
  failure: AttemptFailure,
  owner: MemberId | null = null,
): void {
  const outstanding = turn.state.jobs.size;
  const {version} = turn.ownership;
  send(turn, to, {
    kind: 'failed',
    attempt,
    error: failure.error,
    run: failure.run,
    detail: failure.detail,
    owner,
    version,
    outstanding,
  });
}

/**
 * Ends a job with an error and tells its origin and all that joined it.
 *
 * @param turn - The turn.
 * @param job - The job; its place decides whether it ran.
 * @param error - The kind of error.
 * @param detail - Detail for people.
 * @param owner - A better owner to try, or null.
 */
export function failJob(
  turn: ExecutionContext,
  job: Job,
  error: ErrorKind,
  detail: string,
  owner: MemberId | null = null,
): void {
  const {run} = classifyFailure(job.stage, job.idempotent);
  const failed = {error, run, detail};
  logFailed(turn, job, failed);
  finishJob(turn, job, {kind: 'failed', ...failed});
  if (run === 'not-run') clearTraces(turn, job);
  turn.effects.push({kind: 'forget', attempt: job.attempt});
  sendFailed(turn, job.origin, job.attempt, failed, owner);
  for (const joined of job.joined) {
    sendFailed(turn, joined.origin, joined.attempt, failed, owner);
  }
}

function logFailed(
  turn: ExecutionContext,
  job: Job,
  {error, run, detail}: AttemptFailure,
): void {
  const {state, effects, now} = turn;
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
  };
  effects.push({kind: 'log', event: 'attemptFailed', fields});
}

/**
 * Aborts a run, if any, and ends its job with an error.
 *
 * @param turn - The turn.
 * @param job - The job.
 * @param error - The kind of error.
 * @param detail - Detail for people.
 */
export function abortJob(
  turn: ExecutionContext,
  job: Job,
  error: ErrorKind,
  detail: string,
): void {
  if (isRunning(job)) {
    turn.effects.push({kind: 'cancelRun', attempt: job.attempt});
    releaseSlot(turn.state.admission, job.priority);
    recordRunEnd(turn, job);
  }
  failJob(turn, job, error, detail);
}

/**
 * Moves a job from the live ones to memory.
 *
 * @param turn - The turn.
 * @param job - The job.
 * @param ending - How it ended.
 */
export function finishJob(
  turn: ExecutionContext,
  job: Job,
  ending: AttemptOutcome,
): void {
  turn.state.jobs.delete(job.attempt);
  recordAttemptOutcome(turn, job, ending);
}

/**
 * Remembers an ending and frees what falls out of memory for it.
 *
 * @param turn - The turn.
 * @param of - The attempt with its idempotency key and signature.
 * @param ending - How it ended.
 */
export function recordAttemptOutcome(
  turn: ExecutionContext,
  of: Pick<Job, 'attempt' | 'key' | 'signature'>,
  ending: AttemptOutcome,
): void {
  const {history: memory, settings} = turn.state;
  const dropped = recordOutcome(
    memory,
    settings.execution,
    of,
    ending,
    turn.now,
  );
  forgetAttempts(turn, dropped);
}

/**
 * Has the runner drop what it keeps of attempts.
 *
 * @param turn - The turn.
 * @param attempts - The attempts.
 */
export function forgetAttempts(
  turn: ExecutionContext,
  attempts: readonly AttemptId[],
): void {
  for (const attempt of attempts) turn.effects.push({kind: 'forget', attempt});
}

/**
 * Counts a run that is over out of its slice.
 *
 * @param turn - The turn.
 * @param job - The job.
 */
export function recordRunEnd(turn: ExecutionContext, job: Job): void {
  const {running, busyMs} = turn.state;
  if (job.slice !== null) {
    const spentMs = turn.now - job.startedAt;
    busyMs.set(job.slice, (busyMs.get(job.slice) ?? 0) + spentMs);
  }
  const key = sliceKey(job.service, job.slice);
  const left = (running.get(key) ?? 0) - 1;
  if (left > 0) running.set(key, left);
  else running.delete(key);
}

/**
 * Tells whether a job was given to the runner.
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

/** A request that did not run may be dispatched again. */
function clearTraces(turn: ExecutionContext, job: Job): void {
  const {keys, dispatched: ran} = turn.state.history;
  const wasStarted = job.stage === 'started' || job.stage === 'refused';
  if (wasStarted) ran.delete(job.request);
  if (job.key !== null && keys.get(job.key) === job.attempt) {
    keys.delete(job.key);
  }
}
