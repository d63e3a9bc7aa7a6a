/** @fileoverview Tests of the classification of failures, for every stage. */

import test from 'ava';

import type {RunState} from '../errors/types.js';
import {classifyFailure, stageOfReport} from './logic.js';
import type {AttemptStage} from './types.js';

/** Stage, whether it ran, and retry if non-idempotent / if idempotent. */
const CASES: ReadonlyArray<
  readonly [AttemptStage, RunState, boolean, boolean]
> = [
  ['held', 'not-run', true, true],
  ['sent', 'unknown', false, true],
  ['relayed', 'unknown', false, false],
  ['rejected', 'not-run', true, true],
  ['queued', 'not-run', true, true],
  ['started', 'not-run', true, true],
  ['written', 'unknown', false, true],
  ['answering', 'unknown', false, true],
  ['refused', 'not-run', true, true],
];

for (const [stage, run, retry, retryIdempotent] of CASES) {
  test(`a failure while ${stage}: ${run}`, t => {
    t.deepEqual(classifyFailure(stage, false), {run, retry});
    t.deepEqual(classifyFailure(stage, true), {run, retry: retryIdempotent});
  });
}

const REPORTS: ReadonlyArray<readonly [RunState, boolean, AttemptStage]> = [
  ['not-run', false, 'rejected'],
  ['unknown', false, 'written'],
  ['not-run', true, 'relayed'],
  ['unknown', true, 'relayed'],
];

for (const [run, relayed, stage] of REPORTS) {
  const when = relayed ? 'after the head was relayed' : 'before the head';
  test(`a reported ${run} ${when} maps to the stage ${stage}`, t => {
    t.is(stageOfReport(run, relayed), stage);
  });
}
