/** @fileoverview Closing of members and the promises that forbid it. */

import test from 'ava';

import type {MemberId} from '../ids/types.js';
import type {OwnershipState} from '../ownership/state.js';
import {createOwnershipState} from '../ownership/state.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import {stopWatching, closeMember} from './grantor.js';
import {createWatchedMember} from './state.js';

const MEMBER = 'h1#1' as MemberId;

function granting(promisedUntil: number): OwnershipState {
  const state = createOwnershipState({
    workspace: 'w' as never,
    host: 'h0' as never,
    zone: 'a' as never,
    address: '127.0.0.1:1' as never,
    incarnation: '1',
    tuning: DEFAULT_TUNING,
  });
  const ward = createWatchedMember(0);
  ward.leaseExpiresAt = promisedUntil;
  state.watchedMembers.set(MEMBER, ward);
  return state;
}

const CASES = [
  {name: 'a running promise', promisedUntil: 900, now: 899, closes: false},
  {
    name: 'a promise that has run out',
    promisedUntil: 900,
    now: 900,
    closes: true,
  },
  {name: 'no promise', promisedUntil: 0, now: 1, closes: true},
];

for (const {name, promisedUntil, now, closes} of CASES) {
  test(`with ${name}, closing is ${closes ? 'done' : 'refused'}`, t => {
    t.is(closeMember(granting(promisedUntil), MEMBER, now), closes);
  });

  test(`with ${name}, clearing first changes nothing`, t => {
    const state = granting(promisedUntil);
    stopWatching(state, MEMBER, now);
    t.is(closeMember(state, MEMBER, now), closes);
  });
}
