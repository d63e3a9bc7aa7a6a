/** @fileoverview What the passing of time means for work in flight. */

import {
  nextExpiry,
  dequeueWhere,
  baselineLatencyMs,
} from '../admission/logic.js';
import type {DispatchPermission} from '../ownership/types.js';
import {abortJob, forgetAttempts, isRunning} from './completion.js';
import {dropExpired} from './history.js';
import {denyJob, permissionOf} from './runs.js';
import type {ExecutionContext} from './state.js';
import {latencyLabelOf, sliceKey} from './state.js';
import type {Job} from './types.js';

/** A run without a head after this many usual latencies counts as silent. */
const SILENT_RATIO = 32;
/** Time after its deadline at which a run is aborted here. */
const OVERDUE_MS = 100;
/** A gap between inputs that counts as a stall of the process. */
const STALL_MS = 250;
/** Time in which inputs that waited during a stall are read. */
const STALL_DRAIN_MS = 100;

/**
 * Notices that the process stood still, by either clock. What arrives next may
 * have waited as long, so its budget is cut by that time.
 *
 * @param turn - The turn.
 */
export function detectStall(turn: ExecutionContext): void {
  const {state, input, now} = turn;
  const last = state.lastInputAt;
  state.lastInputAt = input.at;
  if (last === null) return;
  const wallMs = input.at.wall - last.wall;
  const gapMs = Math.max(wallMs, now - last.monotonic);
  if (gapMs < STALL_MS) return;
  state.stallMs = gapMs;
  state.stallUntil = now + STALL_DRAIN_MS;
}

/**
 * Goes through everything in flight and everything remembered.
 *
 * @param turn - The turn.
 */
export function checkJobs(turn: ExecutionContext): void {
  const {state, now} = turn;
  const permissions = new Map<string, DispatchPermission>();
  for (const job of [...state.jobs.values()]) {
    watchJob(turn, job, permissions);
  }
  forgetAttempts(
    turn,
    dropExpired(state.history, state.settings.execution, now),
  );
}

/**
 * Asks to be woken when the next waiting job must be refused.
 *
 * @param turn - The turn.
 */
export function wakeForQueue(turn: ExecutionContext): void {
  const {state, now, effects} = turn;
  const at = nextExpiry(state.admission);
  if (at >= state.wakeAt) return;
  if (at - now >= state.settings.loop.tickMs) return;
  state.wakeAt = at;
  effects.push({kind: 'wake', afterMs: Math.max(1, at - now)});
}

function watchJob(
  turn: ExecutionContext,
  job: Job,
  permissions: Map<string, DispatchPermission>,
): void {
  const key = sliceKey(job.service, job.slice);
  const permission = permissions.get(key) ?? permissionOf(turn, job);
  permissions.set(key, permission);
  if (job.stage === 'queued') watchQueued(turn, job, permission);
  else if (isRunning(job)) watchRunning(turn, job, permission);
}

function watchQueued(
  turn: ExecutionContext,
  job: Job,
  permission: DispatchPermission,
): void {
  if (permission.kind === 'granted') return;
  dequeueWhere(
    turn.state.admission,
    waiting => waiting.attempt === job.attempt,
  );
  denyJob(turn, job, permission.reason);
}

function watchRunning(
  turn: ExecutionContext,
  job: Job,
  permission: DispatchPermission,
): void {
  const {now, effects} = turn;
  const {attempt} = job;
  if (now > job.deadline + OVERDUE_MS) {
    abortJob(turn, job, 'deadline-exceeded', 'the deadline passed');
  } else if (hasLostSlice(turn, job, permission)) {
    effects.push({kind: 'log', event: 'leaseLostRun', fields: {attempt}});
    abortJob(turn, job, 'lease-lost', 'the slice is no longer held');
  } else if (isSilent(turn, job)) {
    effects.push({kind: 'log', event: 'runsSilent', fields: {attempt}});
    abortJob(turn, job, 'server-lost', 'the backend server went silent');
  }
}

/**
 * Whether a run must be aborted since its slice is not held. A lease that is
 * renewed does not cut a long run short; only its loss does. A server that
 * checks grants refuses by itself when they lapse, so a run on it survives a
 * short gap in the lease.
 */
function hasLostSlice(
  turn: ExecutionContext,
  job: Job,
  permission: DispatchPermission,
): boolean {
  const {state, now, ownership} = turn;
  if (job.slice === null) return false;
  const key = sliceKey(job.service, job.slice);
  if (permission.kind === 'granted') {
    state.movingSince.delete(key);
    return false;
  }
  switch (permission.reason) {
    case 'not-owner':
      return true;
    case 'no-lease':
      return state.server?.checksGrants !== true;
    case 'moving': {
      const since = state.movingSince.get(key) ?? now;
      state.movingSince.set(key, since);
      const drainMs = ownership.workspace?.limits.drainMs ?? 0;
      return now - since > drainMs;
    }
  }
}

/**
 * Whether a run's connection has probably been lost track of: no head for much
 * longer than usual, while runs that started later were answered or no slot is
 * left to find that out.
 */
function isSilent(turn: ExecutionContext, job: Job): boolean {
  const {state, now} = turn;
  if (!state.settings.execution.abortsSilentRuns) return false;
  if (job.stage === 'answering') return false;
  const usualMs = baselineLatencyMs(state.admission, latencyLabelOf(job));
  if (usualMs === 0) return false;
  const {silenceMs} = state.settings.links;
  const boundMs = Math.max(silenceMs, SILENT_RATIO * usualMs);
  if (now - job.startedAt < boundMs) return false;
  if (state.latestAnsweredStart > job.startedAt) return true;
  return state.admission.running >= state.admission.limit;
}
