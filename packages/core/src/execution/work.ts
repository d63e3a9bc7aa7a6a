/** @fileoverview The work of the local backend server in milliseconds. */

import type {SlotCost} from '../admission/types.js';
import {expectedRunMs, remainingRunMs, serviceCostMs} from '../costs/logic.js';
import type {CostKey, WorkReport} from '../costs/types.js';
import type {ExecutionState, Job} from './types.js';

/**
 * Returns what origins are told about the work of the server.
 *
 * @param state - The state.
 * @param key - Service and class of the request that the report is about.
 * @param now - Monotonic time, in milliseconds.
 * @returns The report; zeros unless scheduling goes by cost.
 */
export function workReportOf(
  state: ExecutionState,
  key: CostKey,
  now: number,
): WorkReport {
  if (!state.byCost) return {workMs: 0, expectedMs: 0};
  return {
    workMs: reportedWorkMs(state, now),
    expectedMs: Math.round(expectedRunMs(state.costs, key, now)),
  };
}

/**
 * Returns the work of the server as origins are told.
 *
 * @param state - The state.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whole milliseconds; 0 unless scheduling goes by cost.
 */
export function reportedWorkMs(state: ExecutionState, now: number): number {
  return state.byCost ? Math.round(workMsOf(state, now)) : 0;
}

/**
 * Returns the run time that was expected of an attempt on its arrival, as a
 * field of a log line.
 *
 * @param state - The state.
 * @param job - The attempt.
 * @returns The field; none unless scheduling goes by cost.
 */
export function estimateFieldOf(
  state: ExecutionState,
  job: Job,
): {readonly expectedMs?: number} {
  return state.byCost ? {expectedMs: Math.round(job.expectedMs)} : {};
}

/**
 * Returns the fields of a log line about an attempt that waits or has failed:
 * the run time that was expected of it, and the work of the server.
 *
 * @param state - The state.
 * @param job - The attempt.
 * @param now - Monotonic time, in milliseconds.
 * @returns The fields; none unless scheduling goes by cost.
 */
export function costFieldsOf(
  state: ExecutionState,
  job: Job,
  now: number,
): {readonly expectedMs?: number; readonly workMs?: number} {
  if (!state.byCost) return {};
  return {
    expectedMs: Math.round(job.expectedMs),
    workMs: reportedWorkMs(state, now),
  };
}

/**
 * Returns the expected remaining run times of what runs and waits, divided by
 * the concurrency limit.
 *
 * @param state - The state.
 * @param now - Monotonic time, in milliseconds.
 * @returns Milliseconds; 0 if nothing is known.
 */
export function workMsOf(state: ExecutionState, now: number): number {
  let totalMs = 0;
  for (const job of state.jobs.values()) {
    totalMs += remainingMsOf(state, job, now);
  }
  return totalMs / Math.max(1, state.admission.limit);
}

/**
 * Returns the cost of a job that asks for a slot.
 *
 * @param state - The state.
 * @param job - The job.
 * @param now - Monotonic time, in milliseconds.
 * @returns The cost, or undefined to decide by counts.
 */
export function slotCostOf(
  state: ExecutionState,
  job: Job,
  now: number,
): SlotCost | undefined {
  if (!state.byCost || job.expectedMs === 0) return undefined;
  const remainingMs: number[] = [];
  for (const each of state.jobs.values()) {
    if (each.stage === 'queued') continue;
    remainingMs.push(remainingMsOf(state, each, now));
  }
  return {expectedMs: job.expectedMs, remainingMs};
}

/**
 * Uses the estimate of the job's arrival, which costs no look-up for each job
 * at each report; jobs that arrived before the first run ended have none.
 */
function remainingMsOf(state: ExecutionState, job: Job, now: number): number {
  const {table} = state.costs;
  const expectedMs =
    job.expectedMs > 0 ? job.expectedMs : serviceCostMs(table, job.service);
  if (job.stage === 'queued') return expectedMs;
  return remainingRunMs(expectedMs, now - job.startedAt);
}
