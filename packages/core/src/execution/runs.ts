/** @fileoverview Runs on the backend server: queue, start, progress and end. */

import {
  dequeueExpired,
  dequeueNext,
  recordCompletion,
  recordRefused,
  recordStart,
  releaseSlot,
} from '../admission/logic.js';
import type {CompletedRun, LimitResetCause} from '../admission/types.js';
import {recordRunTime} from '../costs/logic.js';
import type {ErrorKind, RunState} from '../errors/types.js';
import type {Event} from '../loop/types.js';
import type {DispatchPermission} from '../ownership/types.js';
import {failJob, finishJob, isRunning, recordRunEnd} from './completion.js';
import type {ExecutionContext} from './state.js';
import {latencyClassOf, sliceKey} from './state.js';
import type {ExecutionState, Job} from './types.js';
import {estimateFieldOf} from './work.js';

/** Least status code of a server's errors. */
const MIN_SERVER_ERROR = 500;

type Denial = Extract<DispatchPermission, {kind: 'denied'}>['reason'];

/**
 * Asks ownership whether a job may be dispatched now. A member dispatches only
 * while its map names it as the owner and its lease is valid by both clocks at
 * the instant of dispatch (rule R1).
 *
 * @param context - Context of the current input.
 * @param job - The job.
 * @returns The permission.
 */
export function permissionOf(
  context: ExecutionContext,
  job: Pick<Job, 'service' | 'slice'>,
): DispatchPermission {
  const {ownership, input} = context;
  if (job.slice === null) return ownership.mayServe(input.at);
  return ownership.mayDispatch(job.service, job.slice, input.at);
}

/**
 * Fails a job that this daemon may not dispatch, and names the owner to its
 * origin.
 *
 * @param context - Context of the current input.
 * @param job - The job; it has not run.
 * @param reason - Why ownership denies it.
 */
export function denyJob(
  context: ExecutionContext,
  job: Job,
  reason: Denial,
): void {
  const {ownership} = context;
  const {service, slice} = job;
  const placement = slice === null ? null : ownership.placement(service, slice);
  const mappedOwner = placement === null ? null : placement.owner;
  const ownerHint = mappedOwner === ownership.self ? null : mappedOwner;
  failJob(
    context,
    job,
    errorForDenial(reason, slice !== null),
    reason,
    ownerHint,
  );
}

/**
 * Starts a job on the backend server if it may be dispatched now.
 *
 * @param context - Context of the current input.
 * @param job - A job that admission has given a slot.
 */
export function startJob(context: ExecutionContext, job: Job): void {
  const {state, effects, now} = context;
  const permission = permissionOf(context, job);
  if (permission.kind === 'denied') {
    denyJob(context, job, permission.reason);
    return;
  }
  if (failIfDispatchedBefore(context, job)) return;
  recordStart(state.admission, job.priority, now);
  job.stage = 'started';
  job.startedAt = now;
  job.generation = permission.generation;
  const key = sliceKey(job.service, job.slice);
  state.running.set(key, (state.running.get(key) ?? 0) + 1);
  const {attempt, origin, service, slice, generation} = job;
  const budgetMs = job.deadline - now;
  const keepResponse = keepsResponse(job);
  effects.push({
    kind: 'run',
    attempt,
    origin,
    service,
    slice,
    generation,
    budgetMs,
    keepResponse,
  });
  const waitedMs = now - job.arrivedAt;
  effects.push({kind: 'recordDuration', histogram: 'queue', valueMs: waitedMs});
  logStart(context, job, waitedMs);
}

function logStart(context: ExecutionContext, job: Job, waitedMs: number): void {
  const {state, effects} = context;
  const {attempt, request, generation, deadline} = job;
  const fields = {
    request,
    attempt,
    generation,
    waitedMs: Math.round(waitedMs),
    leftMs: Math.round(deadline - context.now),
    running: state.admission.running,
    limit: state.admission.limit,
    ...estimateFieldOf(state, job),
  };
  effects.push({kind: 'log', event: 'runStarted', fields});
}

/**
 * Fails jobs that waited too long in the queue, and starts those that get a
 * slot.
 *
 * @param context - Context of the current input.
 */
export function processQueue(context: ExecutionContext): void {
  const {state, now} = context;
  for (const attempt of dequeueExpired(state.admission, now)) {
    const job = state.jobs.get(attempt);
    if (job === undefined) continue;
    const late = job.deadline <= now;
    failJob(
      context,
      job,
      late ? 'deadline-exceeded' : 'overloaded',
      'no slot was free in time',
    );
  }
  for (;;) {
    const next = dequeueNext(state.admission, now);
    if (next === null) return;
    const job = state.jobs.get(next.waiting.attempt);
    if (job !== undefined) startJob(context, job);
  }
}

/**
 * Checks the permission again just before the first byte is written: the lease
 * may have expired while the runtime opened a connection.
 *
 * @param context - Context of the current input.
 * @param job - The job.
 */
export function handleRunWriteStarting(
  context: ExecutionContext,
  job: Job,
): void {
  if (job.stage !== 'started') return;
  const permission = permissionOf(context, job);
  if (permission.kind === 'granted') {
    job.stage = 'written';
    return;
  }
  context.effects.push({kind: 'cancelRun', attempt: job.attempt});
  recordRunEnd(context, job);
  releaseSlot(context.state.admission, job.priority);
  denyJob(context, job, permission.reason);
}

/**
 * Handles the head of a response.
 *
 * @param context - Context of the current input.
 * @param job - The job.
 * @param head - The status, and whether the server refused the request before
 *   running it.
 */
export function handleRunHeadReceived(
  context: ExecutionContext,
  job: Job,
  head: Extract<Event, {kind: 'runHeadReceived'}>,
): void {
  if (!isRunning(job)) return;
  job.status = head.status;
  if (!head.refused) {
    job.stage = 'answering';
    return;
  }
  recordRunEnd(context, job);
  job.stage = 'refused';
  logLimitReset(
    context,
    recordRefused(context.state.admission, completedRunOf(job), context.now),
  );
  failJob(context, job, 'server-refused', 'the backend server refused');
}

/**
 * Handles the end of a complete response.
 *
 * @param context - Context of the current input.
 * @param job - The job.
 */
export function handleRunEnded(context: ExecutionContext, job: Job): void {
  if (!isRunning(job)) return;
  const {state, now, effects} = context;
  const key = sliceKey(job.service, job.slice);
  recordRunEnd(context, job);
  const wasInSlowStart = state.admission.inSlowStart;
  logLimitReset(
    context,
    recordCompletion(state.admission, completedRunOf(job), now),
  );
  if (wasInSlowStart && !state.admission.inSlowStart) {
    const fields = {limit: state.admission.limit};
    effects.push({kind: 'log', event: 'limitReached', fields});
  }
  if (!state.running.has(key)) state.movingDeniedSince.delete(key);
  state.newestCompletedRunStart = Math.max(
    state.newestCompletedRunStart,
    job.startedAt,
  );
  const valueMs = now - job.startedAt;
  effects.push({kind: 'recordDuration', histogram: 'run', valueMs});
  const {attempt, request, status} = job;
  const runMs = Math.round(valueMs);
  const estimate = estimateFieldOf(state, job);
  const fields = {request, attempt, status, runMs, ...estimate};
  learnCost(state, job, now);
  effects.push({kind: 'log', event: 'runEnded', fields});
  finishJob(context, job, {kind: 'completed', kept: keepsResponse(job)});
}

/**
 * Handles the end of a run without a complete response.
 *
 * @param context - Context of the current input.
 * @param job - The job.
 * @param run - `not-run` only if the runtime wrote no byte to the server.
 * @param detail - Explanation for people.
 */
export function handleRunFailed(
  context: ExecutionContext,
  job: Job,
  run: RunState,
  detail: string,
): void {
  if (!isRunning(job)) return;
  if (run === 'unknown' && job.stage === 'started') job.stage = 'written';
  recordRunEnd(context, job);
  releaseSlot(context.state.admission, job.priority);
  const late = context.now >= job.deadline;
  failJob(context, job, late ? 'deadline-exceeded' : 'server-lost', detail);
}

/**
 * Learns from a completed run. A server's errors are left out: most of them end
 * early, and lowered estimates would attract more work.
 */
function learnCost(state: ExecutionState, job: Job, now: number): void {
  if (!state.byCost || job.status >= MIN_SERVER_ERROR) return;
  recordRunTime(state.costs, job, now - job.startedAt, now);
}

function logLimitReset(
  context: ExecutionContext,
  cause: LimitResetCause | null,
): void {
  if (cause === null) return;
  context.effects.push({kind: 'log', event: 'limitFellBack', fields: {cause}});
}

function completedRunOf(job: Job): CompletedRun {
  const {priority, startedAt} = job;
  return {priority, startedAt, latencyClass: latencyClassOf(job)};
}

/**
 * Returns whether to keep a response for replays. An idempotent request without
 * an idempotency key can run again, so its response isn't kept.
 */
function keepsResponse(job: Job): boolean {
  return !job.idempotent || job.key !== null;
}

/**
 * Enforces the invariant that this daemon dispatches a non-idempotent request
 * to its backend server at most once: fails the job and stops the process if it
 * was dispatched before.
 */
function failIfDispatchedBefore(context: ExecutionContext, job: Job): boolean {
  const {state, now, effects} = context;
  if (job.idempotent) return false;
  const {dispatchedRequests} = state.history;
  if (job.stage === 'queued' && !dispatchedRequests.has(job.request)) {
    dispatchedRequests.set(job.request, now + state.tuning.execution.outcomeMs);
    return false;
  }
  const detail = `request ${job.request}, attempt ${job.attempt}`;
  effects.push({kind: 'panic', invariant: 'dispatched at most once', detail});
  failJob(context, job, 'internal', 'second dispatch of one request');
  return true;
}

/**
 * A shared service has no owner. It is denied as `not-owner` only while this
 * member accepts no work, which the caller is told as `stopping`.
 */
function errorForDenial(reason: Denial, keyed: boolean): ErrorKind {
  switch (reason) {
    case 'no-lease':
      return 'lease-lost';
    case 'not-owner':
    case 'moving':
      return keyed ? 'no-owner' : 'stopping';
  }
}
