/**
 * @fileoverview Restores of the store in the randomised run. They guard against two
 * owners or holders of a slice, and against generations that are used twice, when
 * entries, rows of members and leases by row writes are lost.
 */

import test from 'ava';

import {search} from './search.js';

/** First seeds; each plays 20 runs at most. */
const SEEDS = [7000, 8000];

/**
 * A member may be without a lease for long after several restores: members lost
 * meanwhile that would have to revoke one another wait for an operator.
 */
const LIVENESS = 'leases-recover';

for (const seed of SEEDS) {
  test(`restores break no rule of safety, seed ${seed}`, t => {
    const result = search({
      seed,
      steps: 200,
      rulesOff: new Set(),
      restores: true,
      shrink: false,
    });
    const invariant = result.finding?.violation.invariant ?? LIVENESS;
    t.is(invariant, LIVENESS);
  });
}
