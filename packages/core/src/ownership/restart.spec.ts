/**
 * @fileoverview A daemon that replaces its predecessor on a host owns the
 * predecessor's slices, while the backend server may still hold them by the
 * slice grants of the predecessor.
 */

import test from 'ava';

import type {MemberId} from '../ids/types.js';
import type {Change} from '../log/types.js';
import {
  CONFIGURED,
  FINDER,
  OwnershipHarness,
  LEASE_MS,
  MARGIN_MS,
  SELF,
  TICK_MS,
  ANNOUNCEMENT_TTL_MS,
  joined,
  offered,
} from '../testing/harness.js';

const PREDECESSOR = 'a#1' as MemberId;
const OTHER = 'b#1' as MemberId;

const PLACED: Change = {
  kind: 'placed',
  service: FINDER,
  slices: 2,
  runs: [{first: 0 as never, count: 2, owner: PREDECESSOR, standby: OTHER}],
};

const MOVING: Change = {
  kind: 'moving',
  service: FINDER,
  moves: [{first: 0 as never, count: 2, to: OTHER}],
};

const HISTORY: readonly Change[] = [
  joined(PREDECESSOR, null),
  CONFIGURED,
  offered(PREDECESSOR),
  PLACED,
  joined(OTHER, null),
  offered(OTHER),
  joined(SELF, PREDECESSOR),
];

test('a successor releases slices only after the grants of its predecessor', t => {
  const waited = new OwnershipHarness([...HISTORY, MOVING]).waitForChange(
    'released',
    5000,
  );
  t.true((waited ?? 0) >= LEASE_MS + MARGIN_MS, `${waited} ms`);
  t.true((waited ?? Infinity) <= LEASE_MS + MARGIN_MS + 2 * TICK_MS);
});

test('a successor withdraws if its server stays silent for the TTL', t => {
  const waited = new OwnershipHarness(HISTORY).waitForChange('withdrawn', 5000);
  t.true((waited ?? 0) >= ANNOUNCEMENT_TTL_MS, `${waited} ms`);
});

test('slices of a successor stay while its server is awaited', t => {
  const harness = new OwnershipHarness(HISTORY);
  t.is(harness.waitForChange('moving', ANNOUNCEMENT_TTL_MS - TICK_MS), null);
});
