/**
 * @fileoverview A member that was removed joins again in the same process. Until
 * it has joined, its links keep the earlier member id, so requests that were
 * meant for the earlier member reach it and its replies count as that member's.
 */

import test from 'ava';

import type {MemberId} from '../ids/types.js';
import type {Effect} from '../loop/types.js';
import {
  CONFIGURED,
  LEASE_MS,
  MARGIN_MS,
  OwnershipHarness,
  SELF,
  joined,
} from '../testing/harness.js';

const GRANTEE = 'b#1' as MemberId;
const EVICTOR = 'c#1' as MemberId;

/** Returns whether the daemon promises to grant the member no lease again. */
function revokes(harness: OwnershipHarness): boolean | undefined {
  const effects = harness.handle({
    kind: 'messageReceived',
    from: EVICTOR,
    message: {kind: 'close', member: GRANTEE, round: 0},
  });
  return effects.flatMap(revocationOf)[0];
}

function revocationOf(effect: Effect): boolean[] {
  if (effect.kind !== 'send' || effect.message.kind !== 'closed') return [];
  return [effect.message.closed];
}

/** A daemon that has granted a lease, or none, and was then removed. */
function createRemovedGrantor(grants: boolean): OwnershipHarness {
  const harness = new OwnershipHarness(
    [
      joined(SELF, null),
      CONFIGURED,
      joined(GRANTEE, null),
      joined(EVICTOR, null),
    ],
    true,
  );
  if (grants) {
    harness.handle({
      kind: 'messageReceived',
      from: GRANTEE,
      message: {
        kind: 'renew',
        member: GRANTEE,
        round: 1,
        row: 1,
        version: 4 as never,
        configuration: 1,
      },
    });
  }
  harness.receiveEntries([{kind: 'ended', members: [SELF]}]);
  return harness;
}

const CASES: ReadonlyArray<{
  name: string;
  grants: boolean;
  /** Time since the lease was granted. */
  afterMs: number;
  revoked: boolean;
}> = [
  {
    name: 'a lease that is valid',
    grants: true,
    afterMs: LEASE_MS + MARGIN_MS - 1,
    revoked: false,
  },
  {
    name: 'a lease that has expired',
    grants: true,
    afterMs: LEASE_MS + MARGIN_MS,
    revoked: true,
  },
  {name: 'no lease', grants: false, afterMs: 0, revoked: true},
];

// The grantor forgot the lease with its own removal: the member was evicted
// while it held the lease, and its slices had two owners.
for (const {name, grants, afterMs, revoked} of CASES) {
  test(`a removed grantor that had granted ${name} ${
    revoked ? 'revokes' : 'does not revoke'
  } the member`, t => {
    const harness = createRemovedGrantor(grants);
    harness.now += afterMs;
    t.is(revokes(harness), revoked);
  });
}
