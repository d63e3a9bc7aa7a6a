/**
 * @fileoverview A lease is valid only by both clocks, and stays invalid once it
 * was seen to have expired, even if the wall clock is set back later.
 */

import test from 'ava';

import type {Instant} from '../clock/types.js';
import type {MemberId} from '../ids/types.js';
import type {OwnershipContext} from '../ownership/state.js';
import {createOwnershipState} from '../ownership/state.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import {maintainLease} from './holder.js';
import {currentLease} from './logic.js';

const GRANTOR = 'h1#1' as MemberId;
const SENT: Instant = {monotonic: 1000, wall: 50_000};

function leaseHolder(): OwnershipContext {
  const state = createOwnershipState({
    workspace: 'w' as never,
    host: 'h0' as never,
    zone: 'a' as never,
    address: '127.0.0.1:1' as never,
    incarnation: '1',
    tuning: DEFAULT_TUNING,
  });
  state.lease.revision = 1;
  state.lease.nextRowWriteAt = Infinity;
  state.lease.grantors = [GRANTOR];
  state.lease.grantedRenewals.set(GRANTOR, SENT);
  const work = {
    inFlight: () => 0,
    inFlightTotal: () => 0,
    takeBusyMs: () => new Map(),
    meanRunMs: () => 0,
  };
  return {state, at: SENT, effects: [], work, random: () => 0};
}

/**
 * Checks of a lease in order, each by the milliseconds since its renewal was
 * sent: monotonic clock, wall clock. `valid` is what the last check finds.
 */
const CASES: ReadonlyArray<{
  name: string;
  checkedAt: ReadonlyArray<readonly [number, number]>;
  valid: boolean;
}> = [
  {name: 'before its end', checkedAt: [[1400, 1400]], valid: true},
  {name: 'at its end', checkedAt: [[1500, 1500]], valid: false},
  {name: 'monotonic clock frozen', checkedAt: [[100, 4000]], valid: false},
  {name: 'wall clock ahead', checkedAt: [[100, 2000]], valid: false},
  {name: 'wall clock behind', checkedAt: [[100, -1]], valid: false},
  {
    name: 'monotonic clock frozen, then the wall clock set back',
    checkedAt: [
      [100, 4000],
      [200, 200],
    ],
    valid: false,
  },
];

for (const {name, checkedAt, valid} of CASES) {
  test(`a lease is ${valid ? 'valid' : 'not valid'}: ${name}`, t => {
    const context = leaseHolder();
    let at = SENT;
    for (const [monotonic, wall] of checkedAt) {
      at = {
        monotonic: SENT.monotonic + monotonic,
        wall: SENT.wall + wall,
      };
      maintainLease({...context, at});
    }
    t.is(currentLease(context.state, at).source, valid ? 'grantor' : 'none');
  });
}
