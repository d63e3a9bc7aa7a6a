/**
 * @fileoverview Restores of the store in the randomised run. They guard against two
 * owners or holders of a slice, and against generations that are used twice, when
 * entries, rows of members and leases by row writes are lost, and against members that
 * get no lease afterwards.
 */

import test from 'ava';

import {search} from './search.js';

/** First seeds; each plays 20 runs at most. */
const SEEDS = [7000, 8000];

for (const seed of SEEDS) {
  test(`restores break no rule, seed ${seed}`, t => {
    const result = search({
      seed,
      steps: 200,
      rulesOff: new Set(),
      restores: true,
      shrink: false,
    });
    t.is(result.finding?.violation ?? null, null);
  });
}
