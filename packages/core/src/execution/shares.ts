/** @fileoverview Shares of the server's slots among the slices held here. */

import {hasStandingQueue} from '../admission/logic.js';
import type {SharingJob} from '../overload/slice_shares.js';
import {exceedsShare} from '../overload/slice_shares.js';
import type {ExecutionContext} from './state.js';
import type {Job} from './types.js';

/**
 * Returns whether a job is refused since its slice has its share of the slots
 * and others wait, where the workspace schedules by cost.
 *
 * @param context - Context of the current input.
 * @param job - The job, which isn't among the jobs of the state yet.
 * @returns Whether to refuse it.
 */
export function isBeyondShare(context: ExecutionContext, job: Job): boolean {
  const {state, ownership, now} = context;
  const {queues, limit} = state.admission;
  if (ownership.workspace?.scheduling !== 'cost') return false;
  if (queues.interactive.length + queues.deferrable.length === 0) return false;
  // A burst below the capacity is worth queueing whatever slice it is for.
  if (!hasStandingQueue(state.admission, now)) return false;
  return exceedsShare(job, sharingJobs(state.jobs.values()), limit);
}

function* sharingJobs(jobs: Iterable<Job>): Iterable<SharingJob> {
  for (const {slice, urgency, stage} of jobs) {
    yield {slice, urgency, isQueued: stage === 'queued'};
  }
}
