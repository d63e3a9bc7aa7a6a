/**
 * @fileoverview Tests that a daemon with many ranges of slices neither floods
 * its backend server with calls nor spends its time on their state.
 */

import test from 'ava';

import type {MemberId, Slice} from '../ids/types.js';
import type {Change, SliceMove, SliceRange} from '../log/types.js';
import type {Effect, Event} from '../loop/types.js';
import {
  CONFIGURED,
  FINDER,
  LEASE_MS,
  OwnershipHarness,
  SELF,
  TICK_MS,
  joined,
  offered,
} from '../testing/harness.js';

const OTHER = 'b#1' as MemberId;
const SLICES = 4096;
/** Calls to one backend server that may be under way at a time. */
const MAX_UNDER_WAY = 8;
const MOST_TICKS = 400;
/** Processor share of the smallest machines in use. */
const SMALLEST_MACHINE_CORES = 0.27;

type Call = Extract<Effect, {kind: 'grantSlices' | 'releaseSlices'}>;

/** A daemon that owns every second slice. */
function createFragmentedDaemon(): {
  harness: OwnershipHarness;
  effects: readonly Effect[];
} {
  const runs = Array.from({length: SLICES}, (_, slice): SliceRange => ({
    first: slice as Slice,
    count: 1,
    owner: slice % 2 === 0 ? SELF : OTHER,
    standby: null,
  }));
  const history: Change[] = [
    joined(SELF, null),
    CONFIGURED,
    offered(SELF),
    joined(OTHER, null),
    offered(OTHER),
    {kind: 'placed', service: FINDER, slices: SLICES, runs},
  ];
  const harness = new OwnershipHarness(history, true);
  return {harness, effects: harness.initialEffects};
}

function callsIn(effects: readonly Effect[]): Call[] {
  return effects.filter(
    effect => effect.kind === 'grantSlices' || effect.kind === 'releaseSlices',
  );
}

/** The event with which one call of an effect ends. */
function endsOf(call: Call, succeeds: boolean): Event[] {
  return call.grants.map((grant): Event => {
    const {round} = call;
    if (call.kind === 'releaseSlices') {
      return {
        kind: 'slicesReleased',
        service: FINDER,
        grant,
        round,
        handover: null,
      };
    }
    return succeeds
      ? {kind: 'slicesGranted', service: FINDER, grant, round}
      : {kind: 'sliceGrantFailed', grant, written: true, round};
  });
}

/** Plays calls and their ends, one at a time; returns the most under way. */
function playCalls(
  harness: OwnershipHarness,
  effects: readonly Effect[],
  succeeds: boolean,
): number {
  let most = 0;
  const open = callsIn(effects).flatMap(call => endsOf(call, succeeds));
  for (;;) {
    most = Math.max(most, open.length);
    const end = open.shift();
    if (end === undefined) return most;
    const following = callsIn(harness.handle(end));
    open.push(...following.flatMap(call => endsOf(call, succeeds)));
  }
}

// A daemon granted thousands of single slices at once and took no connections.
test('few grants of many ranges are under way, and all are confirmed', t => {
  const {harness, effects} = createFragmentedDaemon();
  t.true(playCalls(harness, effects, true) <= MAX_UNDER_WAY);
  for (let slice = 0; slice < SLICES; slice += 2) {
    t.is(harness.permission(slice).kind, 'granted');
  }
});

// Each tick compared every owned slice with every unconfirmed grant.
test('ticks with a lease of failed grants leave time on a small machine', t => {
  const {harness, effects} = createFragmentedDaemon();
  playCalls(harness, effects, false);
  t.is(harness.grantFigures().unconfirmed, SLICES / 2);
  const ticks = LEASE_MS / TICK_MS;
  let elapsedMs = 0;
  for (let tick = 0; tick < ticks; tick++) {
    harness.now += TICK_MS;
    harness.renewLease();
    const startedAt = performance.now();
    const following = harness.tick();
    elapsedMs += performance.now() - startedAt;
    playCalls(harness, following, false);
  }
  const cores = elapsedMs / (ticks * TICK_MS);
  t.true(cores < SMALLEST_MACHINE_CORES, `${cores.toFixed(3)} cores`);
});

test('what expires is renewed before other slices are granted', t => {
  const {harness, effects} = createFragmentedDaemon();
  const [first] = callsIn(effects);
  for (const end of endsOf(first, true)) harness.handle(end);
  harness.now += LEASE_MS * 0.75;
  harness.renewLease();
  const [next] = callsIn(harness.tick());
  t.deepEqual(
    next?.grants.map(grant => grant.first),
    first.grants.map(grant => grant.first),
  );
});

test('few releases of many ranges are under way, and all slices move', t => {
  const {harness, effects} = createFragmentedDaemon();
  playCalls(harness, effects, true);
  const moves = Array.from({length: SLICES / 2}, (_, index): SliceMove => {
    return {first: (2 * index) as Slice, count: 1, to: OTHER};
  });
  const moving: Change = {kind: 'moving', service: FINDER, moves};
  let following = harness.receiveEntries([moving]);
  let most = 0;
  for (let tick = 0; tick < MOST_TICKS; tick++) {
    most = Math.max(most, playCalls(harness, following, true));
    if (harness.heldSlices() === 0) break;
    harness.now += TICK_MS;
    harness.renewLease();
    following = harness.tick();
  }
  t.is(harness.heldSlices(), 0);
  t.true(most > 0 && most <= MAX_UNDER_WAY, `${most} under way`);
});

// A grant that waited out its interval left a restarted server without work.
test('a grant of which nothing was written is sent again soon, not at once', t => {
  const harness = new OwnershipHarness(
    [
      joined(SELF, null),
      CONFIGURED,
      offered(SELF),
      {
        kind: 'placed',
        service: FINDER,
        slices: 2,
        runs: [{first: 0 as Slice, count: 2, owner: SELF, standby: null}],
      },
    ],
    true,
  );
  const [{round, grants}] = callsIn(harness.initialEffects);
  const failed = {kind: 'sliceGrantFailed', written: false} as const;
  harness.handle({...failed, grant: grants[0], round});
  const sent: number[] = [];
  for (let waited = 0; waited <= 4 * TICK_MS; waited += TICK_MS) {
    if (callsIn(harness.tick()).length > 0) sent.push(waited);
    harness.now += TICK_MS;
  }
  t.deepEqual(sent, [3 * TICK_MS]);
});
