/** @fileoverview Promises that were seen to lapse stay lapsed. */

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

function leased(): OwnershipContext {
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

/** Instants by time since the promise was asked for, both clocks. */
const CASES: ReadonlyArray<{
  name: string;
  seen: ReadonlyArray<readonly [number, number]>;
  holds: boolean;
}> = [
  {name: 'in time', seen: [[1400, 1400]], holds: true},
  {name: 'too late', seen: [[1500, 1500]], holds: false},
  {name: 'monotonic clock frozen', seen: [[100, 4000]], holds: false},
  {name: 'wall clock ahead', seen: [[100, 2000]], holds: false},
  {name: 'wall clock behind', seen: [[100, -1]], holds: false},
  {
    name: 'frozen, then the wall clock jumps back',
    seen: [
      [100, 4000],
      [200, 200],
    ],
    holds: false,
  },
];

for (const {name, seen, holds} of CASES) {
  test(`a promise ${holds ? 'holds' : 'is void'}: ${name}`, t => {
    const context = leased();
    let at = SENT;
    for (const [monotonic, wall] of seen) {
      at = {
        monotonic: SENT.monotonic + monotonic,
        wall: SENT.wall + wall,
      };
      maintainLease({...context, at});
    }
    t.is(currentLease(context.state, at).source, holds ? 'grantor' : 'none');
  });
}
