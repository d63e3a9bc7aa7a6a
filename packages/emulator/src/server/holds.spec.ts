/** @fileoverview Tests of the slices that a backend server holds. */

import type {HoldRecord, ServerRecord} from './types.js';

import test from 'ava';

import {
  beginRelease,
  carryOutGrant,
  endAllHolds,
  endExpiredHolds,
  endRelease,
  startSliceWork,
} from './holds.js';
import {createServerState} from './state.js';
import type {ServerOptions} from './types.js';

const OPTIONS: ServerOptions = {
  port: 0,
  controlPort: 0,
  host: 'h1',
  service: 'finder',
  announceTo: '',
  slots: 4,
  connections: 10,
  checksGrants: true,
  serviceMs: 1,
  coldSlots: 1,
  completedPerSlot: 2,
  breaksAt: 2,
  seed: 1,
};

const callFor = (slices: number[], generation: number) => ({
  service: 'finder',
  slices,
  generations: slices.map(() => generation),
});

type Action =
  | {grant: number; at: number; arrived?: number; accepted: boolean}
  | {release: number; at: number};

const grant = (generation: number, at: number, arrived = at): Action => ({
  grant: generation,
  at,
  arrived,
  accepted: true,
});

const refused = (generation: number, at: number): Action => ({
  grant: generation,
  at,
  accepted: false,
});

const release = (generation: number, at: number): Action => ({
  release: generation,
  at,
});

const CASES: ReadonlyArray<{
  title: string;
  actions: Action[];
  held: {generation: number; untilMs: number} | null;
}> = [
  {
    title: 'a grant lasts longer than its time, by a slow clock',
    actions: [grant(5, 0)],
    held: {generation: 5, untilMs: 100},
  },
  {
    title: 'a late grant lasts from the arrival of its call',
    actions: [grant(5, 60, 10)],
    held: {generation: 5, untilMs: 110},
  },
  {
    title: 'a grant whose time is over',
    actions: [grant(5, 100, 0)],
    held: null,
  },
  {
    title: 'a renewal',
    actions: [grant(5, 0), grant(5, 20)],
    held: {generation: 5, untilMs: 120},
  },
  {
    title: 'a late copy of an earlier grant does not shorten a renewal',
    actions: [grant(5, 20), grant(5, 30, 0)],
    held: {generation: 5, untilMs: 120},
  },
  {
    title: 'a lower generation is refused',
    actions: [grant(5, 0), refused(4, 10)],
    held: {generation: 5, untilMs: 100},
  },
  {
    title: 'a lower generation is refused after the hold has ended',
    actions: [grant(5, 0), refused(4, 150)],
    held: null,
  },
  {
    title: 'a release ends a hold',
    actions: [grant(5, 0), release(5, 10)],
    held: null,
  },
  {
    title: 'a release of a lower generation leaves a newer grant',
    actions: [grant(5, 0), release(4, 10)],
    held: {generation: 5, untilMs: 100},
  },
  {
    title: 'a release without a grant',
    actions: [release(5, 10)],
    held: null,
  },
  {
    title: 'a grant of the same generation after a release',
    actions: [grant(5, 0), release(5, 10), grant(5, 20, 5)],
    held: {generation: 5, untilMs: 105},
  },
];

for (const {title, actions, held} of CASES) {
  test(`a hold: ${title}`, t => {
    const {state} = createHolder();
    let now = 0;
    for (const action of actions) {
      now = action.at;
      if ('release' in action) {
        beginRelease(state, callFor([3], action.release), action.at);
        continue;
      }
      const call = {...callFor([3], action.grant), ttlMs: 98};
      const accepted = carryOutGrant(
        state,
        call,
        action.arrived ?? action.at,
        action.at,
      );
      t.is(accepted, action.accepted);
    }
    endExpiredHolds(state, now);
    t.deepEqual(state.grants.get(3) ?? null, held);
  });
}

test('a call with one refused slice grants none of them', t => {
  const {state} = createHolder();
  carryOutGrant(state, {...callFor([3], 5), ttlMs: 98}, 0, 0);
  beginRelease(state, callFor([3], 5), 10);
  const call = {...callFor([2, 3], 4), ttlMs: 98};
  t.false(carryOutGrant(state, call, 20, 20));
  t.deepEqual([...state.grants.keys()], []);
});

test('renewals extend work, but not after a release', t => {
  const {state} = createHolder();
  const call = {...callFor([3], 5), ttlMs: 98};
  carryOutGrant(state, call, 0, 0);
  const work = startSliceWork(state, 3, () => undefined);
  carryOutGrant(state, call, 10, 10);
  t.is(work?.untilMs, 110);
  t.deepEqual(beginRelease(state, callFor([3], 5), 20), [work]);
  carryOutGrant(state, call, 30, 30);
  t.is(work?.untilMs, 110);
});

test('a restart ends work and forgets generations', t => {
  const {state} = createHolder();
  let isEnded = false;
  carryOutGrant(state, {...callFor([3], 5), ttlMs: 98}, 0, 0);
  startSliceWork(state, 3, () => (isEnded = true));
  endAllHolds(state, 10);
  t.true(isEnded);
  const call = {...callFor([3], 4), ttlMs: 98};
  t.true(carryOutGrant(state, call, 20, 20));
});

test('grants, releases and ends are recorded with their times', t => {
  const {state, records} = createHolder();
  carryOutGrant(state, {...callFor([3, 4], 5), ttlMs: 98}, 0, 1);
  beginRelease(state, callFor([3], 5), 10);
  endRelease(state, callFor([3], 5), 15);
  endExpiredHolds(state, 130);
  t.deepEqual(
    records.map(record => {
      const {kind, slices, monotonicMs} = record as HoldRecord;
      return [kind, slices, monotonicMs];
    }),
    [
      ['granted', [3, 4], 1],
      ['released', [3], 10],
      ['holdEnded', [3], 15],
      ['holdEnded', [4], 100],
    ],
  );
});

function createHolder() {
  const records: ServerRecord[] = [];
  const state = createServerState(
    OPTIONS,
    () => 0.5,
    record => records.push(record),
  );
  return {state, records};
}
