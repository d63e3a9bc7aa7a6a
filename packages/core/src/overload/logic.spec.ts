/** @fileoverview Tests of overload control at the origin. */

import test from 'ava';

import type {MemberId, Slice} from '../ids/types.js';
import {
  createOverloadState,
  expectRoom,
  forgetOld,
  isKnownFull,
  admitsProbe,
  promiseRoom,
  recordDispatch,
  recordRefusal,
  recordServed,
} from './logic.js';
import type {OverloadState, RoomClaim} from './types.js';

const OWNER = 'h2#1' as MemberId;
const RUN_MS = 200;
const SLICE = 3 as Slice;
const CLAIM: RoomClaim = {
  slice: SLICE,
  urgency: 1,
  objectiveMs: 700,
  leftMs: 2000,
};

/** At 0 ms, a server of ten slots has refused `CLAIM` with 14 attempts. */
function fullServer(): OverloadState {
  const state = createOverloadState();
  recordServed(state, {member: OWNER, slots: 10}, 10, RUN_MS, -1);
  recordRefusal(state, OWNER, 14, CLAIM, 0);
  return state;
}

const CLAIMS: ReadonlyArray<{
  what: string;
  claim?: Partial<RoomClaim>;
  at?: number;
  reported?: number;
  full: boolean;
}> = [
  {what: 'the same again', full: true},
  {what: 'a less urgent one', claim: {urgency: 2}, full: true},
  {what: 'a more urgent one', claim: {urgency: 0}, full: false},
  {what: 'one that may wait longer', claim: {objectiveMs: 900}, full: false},
  {what: 'one with more time', claim: {leftMs: 4000}, full: false},
  {what: 'one of another slice', claim: {slice: 4 as Slice}, full: false},
  {what: 'after half a run time', at: 101, full: false},
  {what: 'after a report of fewer', reported: 13, full: false},
  {what: 'after a report of as many', reported: 14, full: true},
];

// What its server might accept must not be rejected at the origin.
for (const {what, claim, at = 50, reported, full} of CLAIMS) {
  test(`${what}: ${full ? 'known to be full' : 'sent'}`, t => {
    const state = fullServer();
    if (reported !== undefined) {
      const server = {member: OWNER, slots: 10};
      recordServed(state, server, reported, RUN_MS, at);
    }
    t.is(isKnownFull(state, OWNER, {...CLAIM, ...claim}, at), full);
  });
}

test('refusals of two slices show that a server is full for a third', t => {
  const state = fullServer();
  recordRefusal(state, OWNER, 14, {...CLAIM, slice: 4 as Slice}, 0);
  t.true(isKnownFull(state, OWNER, {...CLAIM, slice: 5 as Slice}, 0));
});

// Without probes, a server with room again is noticed late.
test('a full server gets one request in ten, and one each 100 ms', t => {
  const state = fullServer();
  recordDispatch(state, OWNER, 0);
  const passed = Array.from({length: 10}, () => admitsProbe(state, OWNER, 50));
  t.deepEqual(passed.indexOf(true), 9);
  recordDispatch(state, OWNER, 50);
  t.false(admitsProbe(state, OWNER, 149));
  t.true(admitsProbe(state, OWNER, 150));
});

// All refused callers returned together after 150 ms.
test('returns are spread with growing distance, within the bounds', t => {
  const state = fullServer();
  const servers = [{member: OWNER, slots: 10, own: 1}];
  const room = expectRoom(state, OWNER, servers, 0);
  // A slot ends each 20 ms, of which this origin starts two in 14.
  t.is(Math.round(room.intervalMs), 140);
  const claim = {leftMs: 6000, objectiveMs: 0};
  const waits = Array.from({length: 30}, () =>
    promiseRoom(state, room, claim, 0.5, 0),
  ) as number[];
  const inTime = waits.slice(0, 6);
  const distances = inTime.map((wait, at) => wait - (inTime[at - 1] ?? 0));
  t.deepEqual(
    distances,
    [...distances].sort((a, b) => a - b),
  );
  t.true(Math.max(...waits) <= 6000 / 3);
});

const BOUNDS: ReadonlyArray<{
  what: string;
  leftMs: number;
  objectiveMs: number;
  maxMs: number | null;
}> = [
  {what: 'a third of the time', leftMs: 300, objectiveMs: 0, maxMs: 100},
  {what: 'time for the run', leftMs: 230, objectiveMs: 0, maxMs: 30},
  {what: 'the objective', leftMs: 3000, objectiveMs: 350, maxMs: 50},
  {what: 'no time for a run', leftMs: 200, objectiveMs: 0, maxMs: null},
];

for (const {what, leftMs, objectiveMs, maxMs} of BOUNDS) {
  test(`the wait is bounded by ${what}`, t => {
    const state = fullServer();
    const servers = [{member: OWNER, slots: 10, own: 1}];
    const room = expectRoom(state, OWNER, servers, 0);
    const claim = {leftMs, objectiveMs};
    const wait = promiseRoom(state, room, claim, 0.99, 0);
    if (maxMs === null) t.is(wait, null);
    else t.true(wait !== null && wait <= maxMs, `${wait}`);
  });
}

// A burst that is over must not delay callers seconds later.
test('servers and promises are forgotten within seconds', t => {
  const state = fullServer();
  state.promisedUntil.set(OWNER, 2000);
  forgetOld(state, 6000);
  t.deepEqual([state.servers.size, state.promisedUntil.size], [0, 0]);
});
