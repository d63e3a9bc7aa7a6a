/** @fileoverview Every place of a fault, idempotent or not, and its outcome. */

import test from 'ava';

import type {RunState} from '../errors/types.js';
import {stageOfReport, classifyFailure} from './logic.js';
import type {AttemptStage} from './types.js';

/** Place, outcome, and whether a non-idempotent / idempotent one is retried. */
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

for (const [place, run, retry, retryIdempotent] of CASES) {
  test(`a fault while ${place}: ${run}`, t => {
    t.deepEqual(classifyFailure(place, false), {run, retry});
    t.deepEqual(classifyFailure(place, true), {run, retry: retryIdempotent});
  });
}

const REPORTS: ReadonlyArray<readonly [RunState, boolean, AttemptStage]> = [
  ['not-run', false, 'rejected'],
  ['unknown', false, 'written'],
  ['not-run', true, 'relayed'],
  ['unknown', true, 'relayed'],
];

for (const [run, relayed, place] of REPORTS) {
  const when = relayed ? 'after its head was relayed' : 'before its head';
  test(`a report of ${run} ${when} counts as ${place}`, t => {
    t.is(stageOfReport(run, relayed), place);
  });
}
