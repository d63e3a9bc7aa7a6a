/** @fileoverview Tests of the first grantors of members that join. */

import test from 'ava';

import type {MemberId} from '../ids/types.js';
import type {Change} from '../log/types.js';
import {applyChange, createFleet, fleetMember} from '../testing/fleet.js';
import {joined} from '../testing/harness.js';
import {nameFirstGrantors} from './joining.js';
import {buildRing, chooseGrantors} from './ring.js';

const NONE: ReadonlySet<MemberId> = new Set();
const ZONES = 3;

type Joined = Extract<Change, {kind: 'joined'}>;

function joining(host: string, replaces: MemberId | null = null): Joined {
  return joined(`${host}#2` as MemberId, replaces) as Joined;
}

/** Members before, those that join in one entry. */
const CASES: ReadonlyArray<readonly [string, number, readonly Joined[]]> = [
  ['the first member', 0, [joining('a')]],
  ['the second member', 1, [joining('a')]],
  ['one of many', 12, [joining('a')]],
  ['several at once', 12, [joining('a'), joining('b'), joining('c')]],
  ['a successor', 12, [joining('h001', fleetMember(1))]],
];

for (const [title, members, joins] of CASES) {
  test(`an entry names the grantors that the ring names after it: ${title}`, t => {
    const map = createFleet(16, members, ZONES);
    const change = nameFirstGrantors(map, {kind: 'combined', changes: joins});
    applyChange(map, change);
    const ring = buildRing(map);
    if (change.kind !== 'combined') return t.fail();
    for (const each of change.changes) {
      if (each.kind !== 'joined') return t.fail();
      const {member, grantors} = each;
      t.deepEqual(grantors, chooseGrantors(map, ring, member, NONE));
    }
  });
}
