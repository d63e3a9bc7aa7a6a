/**
 * @fileoverview The one place that decides what a fault means for a request:
 * whether it ran, and whether it may be tried again.
 */

import type {RunState} from '../errors/types.js';
import type {AttemptStage, FailureClassification} from './types.js';

/**
 * Decides the outcome of an attempt that a fault has ended.
 *
 * @param place - Where the attempt was when the fault hit.
 * @param idempotent - Whether a second run does no harm.
 * @returns Whether it ran and whether it may be tried again.
 */
export function classifyFailure(
  place: AttemptStage,
  idempotent: boolean,
): FailureClassification {
  const run = runStateOf(place);
  if (place === 'relayed') return {run, retry: false};
  return {run, retry: run === 'not-run' || idempotent};
}

/**
 * Finds the place that matches what another daemon reported of an attempt.
 *
 * @param run - The reported state.
 * @param relayed - Whether a part of the answer was relayed to the caller.
 * @returns The place to settle from.
 */
export function stageOfReport(run: RunState, relayed: boolean): AttemptStage {
  if (relayed) return 'relayed';
  return run === 'not-run' ? 'rejected' : 'written';
}

function runStateOf(place: AttemptStage): RunState {
  switch (place) {
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
