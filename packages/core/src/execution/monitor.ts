/**
 * @fileoverview Periodic checks of the jobs: deadlines, leases, silent runs.
 */

import {
  baselineLatencyMs,
  dequeueWhere,
  nextExpiry,
} from '../admission/logic.js';
import type {DispatchPermission} from '../ownership/types.js';
import {drainMsOf} from '../workspace/limits.js';
import {abortJob, discardAttempts, isRunning} from './completion.js';
import {dropExpired} from './history.js';
import {denyJob, permissionOf} from './runs.js';
import type {ExecutionContext} from './state.js';
import {latencyClassOf, sliceKey} from './state.js';
import type {Job} from './types.js';

/**
 * Multiple of the baseline latency after which a run without a response head
 * may count as silent.
 */
const MAX_SILENCE_RATIO = 32;
/** Time after the deadline before this daemon aborts a run. */
const DEADLINE_GRACE_MS = 100;
/** Minimum gap between inputs that counts as a stall of the process. */
const MIN_STALL_MS = 250;
/**
 * Time after a stall during which inputs that were queued meanwhile may still
 * be delivered.
 */
const STALL_BACKLOG_MS = 100;

/**
 * Detects that the process stalled, by either clock. Dispatches that arrive
 * right after a stall may have waited in a socket buffer, so their remaining
 * time is reduced by its length.
 *
 * @param context - Context of the current input.
 */
export function detectStall(context: ExecutionContext): void {
  const {state, input, now} = context;
  const last = state.lastInputAt;
  state.lastInputAt = input.at;
  if (last === null) return;
  const wallMs = input.at.wall - last.wall;
  const gapMs = Math.max(wallMs, now - last.monotonic);
  if (gapMs < MIN_STALL_MS) return;
  state.stallMs = gapMs;
  state.stallUntil = now + STALL_BACKLOG_MS;
}

/**
 * Checks every job, and drops expired outcomes from the history.
 *
 * @param context - Context of the current input.
 */
export function checkJobs(context: ExecutionContext): void {
  const {state, now} = context;
  const permissions = new Map<string, DispatchPermission>();
  for (const job of [...state.jobs.values()]) {
    checkJob(context, job, permissions);
  }
  discardAttempts(
    context,
    dropExpired(state.history, state.tuning.execution, now),
  );
}

/**
 * Starts the runtime's timer for the time when the next queued job must be
 * rejected; the tick alone would be too coarse.
 *
 * @param context - Context of the current input.
 */
export function startTimerForQueue(context: ExecutionContext): void {
  const {state, now, effects} = context;
  const at = nextExpiry(state.admission);
  if (at >= state.runtimeTimerAt) return;
  if (at - now >= state.tuning.loop.tickMs) return;
  state.runtimeTimerAt = at;
  effects.push({kind: 'startTimer', afterMs: Math.max(1, at - now)});
}

function checkJob(
  context: ExecutionContext,
  job: Job,
  permissions: Map<string, DispatchPermission>,
): void {
  const key = sliceKey(job.service, job.slice);
  const permission = permissions.get(key) ?? permissionOf(context, job);
  permissions.set(key, permission);
  if (job.stage === 'queued') checkQueued(context, job, permission);
  else if (isRunning(job)) checkRunning(context, job, permission);
}

function checkQueued(
  context: ExecutionContext,
  job: Job,
  permission: DispatchPermission,
): void {
  if (permission.kind === 'granted') return;
  dequeueWhere(
    context.state.admission,
    waiting => waiting.attempt === job.attempt,
  );
  denyJob(context, job, permission.reason);
}

function checkRunning(
  context: ExecutionContext,
  job: Job,
  permission: DispatchPermission,
): void {
  const {now, effects} = context;
  const {attempt} = job;
  if (now > job.deadline + DEADLINE_GRACE_MS) {
    abortJob(context, job, 'deadline-exceeded', 'the deadline passed');
  } else if (hasLostSlice(context, job, permission)) {
    // `lease-lost` stands for every loss of the slice: the lease expired, the
    // slice has another owner, or its drain time is over.
    effects.push({kind: 'log', event: 'leaseLostRun', fields: {attempt}});
    abortJob(context, job, 'lease-lost', 'the slice is no longer held');
  } else if (isSilent(context, job)) {
    effects.push({kind: 'log', event: 'runsSilent', fields: {attempt}});
    abortJob(context, job, 'server-lost', 'the backend server went silent');
  }
}

/**
 * Returns whether a run must be aborted because its slice is no longer held.
 * Runs may outlast a lease as long as it is renewed. A server that checks slice
 * grants refuses expired ones by itself, so runs on it are not aborted because
 * of a gap in the lease. Runs on a slice denied as `moving`, for any reason
 * that `DispatchPermission` lists, may continue until the drain time has
 * passed.
 */
function hasLostSlice(
  context: ExecutionContext,
  job: Job,
  permission: DispatchPermission,
): boolean {
  const {state, now, ownership} = context;
  if (job.slice === null) return false;
  const key = sliceKey(job.service, job.slice);
  if (permission.kind === 'granted') {
    state.movingDeniedSince.delete(key);
    return false;
  }
  switch (permission.reason) {
    case 'not-owner':
      return true;
    case 'no-lease':
      return state.server?.checksGrants !== true;
    case 'moving': {
      const since = state.movingDeniedSince.get(key) ?? now;
      state.movingDeniedSince.set(key, since);
      return now - since > drainMsOf(ownership.workspace);
    }
  }
}

/**
 * Returns whether a run's connection has probably failed: no response head for
 * much longer than usual, although a run that started later completed. If every
 * slot is in use, no later run can complete, so the time alone decides.
 */
function isSilent(context: ExecutionContext, job: Job): boolean {
  const {state, now} = context;
  if (!state.tuning.execution.abortsSilentRuns) return false;
  if (job.stage === 'answering') return false;
  const baselineMs = baselineLatencyMs(state.admission, latencyClassOf(job));
  if (baselineMs === 0) return false;
  const {silenceMs} = state.tuning.links;
  const boundMs = Math.max(silenceMs, MAX_SILENCE_RATIO * baselineMs);
  if (now - job.startedAt < boundMs) return false;
  if (state.newestCompletedRunStart > job.startedAt) return true;
  return state.admission.running >= state.admission.limit;
}
