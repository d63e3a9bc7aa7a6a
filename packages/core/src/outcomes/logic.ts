/**
 * @fileoverview Classification of failures: the only code that decides whether
 * a failed request may have run and whether it may be retried.
 */

import type {RunState} from '../errors/types.js';
import type {AttemptStage, FailureClassification} from './types.js';

/**
 * Classifies the failure of an attempt.
 *
 * @param stage - How far the attempt had come when it failed.
 * @param idempotent - Whether the request may safely run twice.
 * @returns Whether it may have run, and whether it may be retried.
 */
export function classifyFailure(
  stage: AttemptStage,
  idempotent: boolean,
): FailureClassification {
  const run = runStateOf(stage);
  if (stage === 'relayed') return {run, retry: false};
  return {run, retry: run === 'not-run' || idempotent};
}

/**
 * Maps another daemon's report of a failed attempt to a stage. A run state of
 * `unknown` maps to the worst case, `written`.
 *
 * @param run - The reported run state.
 * @param relayed - Whether a part of the response was relayed to the caller.
 * @returns The stage for `classifyFailure`.
 */
export function stageOfReport(run: RunState, relayed: boolean): AttemptStage {
  if (relayed) return 'relayed';
  return run === 'not-run' ? 'rejected' : 'written';
}

function runStateOf(stage: AttemptStage): RunState {
  switch (stage) {
    case 'held':
    case 'rejected':
    case 'queued':
    case 'started':
    case 'refused':
      return 'not-run';
    case 'sent':
    case 'relayed':
    case 'written':
    case 'answering':
      return 'unknown';
  }
}
