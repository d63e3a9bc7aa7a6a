/**
 * @fileoverview A member is revoked only after the last lease granted to it has
 * expired. A grantor that forgot a grant it had just made, because it was told
 * to stop watching the member, revoked the member immediately; two members then
 * owned one slice.
 */

import test from 'ava';

import type {MemberId} from '../ids/types.js';
import type {OwnershipState} from '../ownership/state.js';
import {createOwnershipState} from '../ownership/state.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import {stopWatching, revokeMember} from './grantor.js';
import {createWatchedMember} from './state.js';

const MEMBER = 'h1#1' as MemberId;

function grantorState(leaseExpiresAt: number): OwnershipState {
  const state = createOwnershipState({
    workspace: 'w' as never,
    host: 'h0' as never,
    zone: 'a' as never,
    address: '127.0.0.1:1' as never,
    incarnation: '1',
    tuning: DEFAULT_TUNING,
  });
  const watched = createWatchedMember(0);
  watched.leaseExpiresAt = leaseExpiresAt;
  state.watchedMembers.set(MEMBER, watched);
  return state;
}

const CASES = [
  {name: 'an unexpired lease', leaseExpiresAt: 900, now: 899, revokes: false},
  {
    name: 'an expired lease',
    leaseExpiresAt: 900,
    now: 900,
    revokes: true,
  },
  {name: 'no lease', leaseExpiresAt: 0, now: 1, revokes: true},
];

for (const {name, leaseExpiresAt, now, revokes} of CASES) {
  test(`with ${name}, the member is ${revokes ? '' : 'not '}revoked`, t => {
    t.is(revokeMember(grantorState(leaseExpiresAt), MEMBER, now), revokes);
  });

  test(`with ${name}, stopping to watch it first changes nothing`, t => {
    const state = grantorState(leaseExpiresAt);
    stopWatching(state, MEMBER, now);
    t.is(revokeMember(state, MEMBER, now), revokes);
  });
}
