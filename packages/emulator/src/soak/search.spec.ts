/** @fileoverview The randomised run with fixed seeds, whole and mutilated. */

import test from 'ava';

import type {Rule} from '@jackdawfall/core';

import {search} from './search.js';

const MUTILATED: ReadonlyArray<{rule: Rule; seed: number}> = [
  {rule: 'R1', seed: 1},
  {rule: 'R2', seed: 25},
  {rule: 'R3', seed: 2},
  {rule: 'R4', seed: 1},
  {rule: 'R5', seed: 1},
  {rule: 'R6', seed: 1},
  {rule: 'R8', seed: 5},
];

for (const {rule, seed} of MUTILATED) {
  test(`without ${rule}, seed ${seed} finds two owners`, t => {
    const rulesOff = new Set([rule]);
    const {finding} = search({seed, steps: 1, rulesOff, shrink: false});
    t.is(finding?.violation.invariant, 'one-owner');
  });
}

test('with every rule, fixed seeds find nothing', t => {
  const none = new Set<Rule>();
  const result = search({seed: 1, steps: 4000, rulesOff: none, shrink: false});
  t.is(result.finding, null);
});

test('the same seed gives the same trace', t => {
  const settings = {seed: 3, steps: 400, rulesOff: new Set<Rule>()};
  const first = search({...settings, shrink: false});
  const second = search({...settings, shrink: false});
  t.is(first.digest, second.digest);
});
