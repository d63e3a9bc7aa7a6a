/** @fileoverview Tests of a daemon that replaces its predecessor on a host. */

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

const OLD = 'a#1' as MemberId;
const OTHER = 'b#1' as MemberId;

const PLACED: Change = {
  kind: 'placed',
  service: FINDER,
  slices: 2,
  runs: [{first: 0 as never, count: 2, owner: OLD, standby: OTHER}],
};

const MOVING: Change = {
  kind: 'moving',
  service: FINDER,
  moves: [{first: 0 as never, count: 2, to: OTHER}],
};

const HISTORY: readonly Change[] = [
  joined(OLD, null),
  CONFIGURED,
  offered(OLD),
  PLACED,
  joined(OTHER, null),
  offered(OTHER),
  joined(SELF, OLD),
];

test('a successor gives slices away only after the old grants', t => {
  const waited = new OwnershipHarness([...HISTORY, MOVING]).waitForChange(
    'released',
    5000,
  );
  t.true((waited ?? 0) >= LEASE_MS + MARGIN_MS, `${waited} ms`);
  t.true((waited ?? Infinity) <= LEASE_MS + MARGIN_MS + 2 * TICK_MS);
});

test('a successor without a server says so after the time of its beat', t => {
  const waited = new OwnershipHarness(HISTORY).waitForChange('withdrawn', 5000);
  t.true((waited ?? 0) >= ANNOUNCEMENT_TTL_MS, `${waited} ms`);
});

test('slices of an awaited successor are left alone', t => {
  const bench = new OwnershipHarness(HISTORY);
  t.is(bench.waitForChange('moving', ANNOUNCEMENT_TTL_MS - TICK_MS), null);
});
