/** @fileoverview Tests of the figures that operators see of slice grants. */

import test from 'ava';

import type {MemberId, Slice} from '../ids/types.js';
import type {SliceRange} from '../log/types.js';
import {
  CONFIGURED,
  FINDER,
  OwnershipHarness,
  SELF,
  joined,
  offered,
} from '../testing/harness.js';

const OTHER = 'b#1' as MemberId;

const CASES: ReadonlyArray<{
  name: string;
  /** Owner of each slice. */
  owners: readonly MemberId[];
  ranges: number;
}> = [
  {name: 'adjacent slices', owners: [SELF, SELF, SELF, OTHER], ranges: 1},
  {name: 'alternating owners', owners: [SELF, OTHER, SELF, OTHER], ranges: 2},
  {name: 'no slice', owners: [OTHER, OTHER, OTHER, OTHER], ranges: 0},
];

for (const {name, owners, ranges} of CASES) {
  test(`${name}: ${ranges} ranges, as many grants without confirmation`, t => {
    const runs = owners.map((owner, slice): SliceRange => ({
      first: slice as Slice,
      count: 1,
      owner,
      standby: null,
    }));
    const slices = owners.length;
    const harness = new OwnershipHarness(
      [
        joined(SELF, null),
        CONFIGURED,
        offered(SELF),
        joined(OTHER, null),
        offered(OTHER),
        {kind: 'placed', service: FINDER, slices, runs},
      ],
      true,
    );
    t.deepEqual(harness.grantFigures(), {ranges, unconfirmed: ranges});
  });
}
