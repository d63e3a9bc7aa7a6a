/** @fileoverview Tests of what an answer to a release proves about holds. */

import test from 'ava';

import type {MemberId, Slice} from '../ids/types.js';
import type {Change} from '../log/types.js';
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
import {endOfHold} from './holds.js';
import type {UnconfirmedGrant} from './types.js';

const OTHER = 'b#1' as MemberId;
const THIRD = 'c#1' as MemberId;
const SLICE = 0 as Slice;

const HISTORY: readonly Change[] = [
  joined(SELF, null),
  CONFIGURED,
  offered(SELF),
  {
    kind: 'placed',
    service: FINDER,
    slices: 2,
    runs: [{first: SLICE, count: 2, owner: SELF, standby: OTHER}],
  },
  joined(OTHER, null),
  offered(OTHER),
  joined(THIRD, null),
  offered(THIRD),
];

type Grant = Extract<Effect, {kind: 'grantSlices'}>;
type Release = Extract<Effect, {kind: 'releaseSlices'}>;

function moving(to: MemberId): Change {
  const moves = [{first: SLICE, count: 1, to}];
  return {kind: 'moving', service: FINDER, moves};
}

function released(): Change {
  return {kind: 'released', service: FINDER, slices: [SLICE], handovers: []};
}

function releaseIn(effects: readonly Effect[]): Release {
  const found = effects.find(effect => effect.kind === 'releaseSlices');
  if (found === undefined) throw new Error('no release was requested');
  return found;
}

function answerTo({service, round, grants}: Release, handover: string): Event {
  const [grant] = grants;
  return {kind: 'slicesReleased', service, round, grant, handover};
}

/** Confirms all grants among the effects. */
function confirmAll(
  harness: OwnershipHarness,
  effects: readonly Effect[],
): void {
  const sent = effects.filter(
    (effect): effect is Grant => effect.kind === 'grantSlices',
  );
  for (const {service, round, grants} of sent) {
    for (const grant of grants) {
      harness.handle({kind: 'slicesGranted', service, round, grant});
    }
  }
}

/**
 * A daemon that asked for a release and has granted the slice again since, under
 * the next generation.
 */
function createAfterNewerGrant(between: readonly Change[]): {
  harness: OwnershipHarness;
  older: Release;
} {
  const harness = new OwnershipHarness(HISTORY, true);
  confirmAll(harness, harness.initialEffects);
  const asked = harness.receiveEntries([moving(OTHER)]);
  const older = releaseIn([...asked, ...harness.tick()]);
  harness.now += TICK_MS;
  harness.renewLease();
  confirmAll(harness, [...harness.receiveEntries(between), ...harness.tick()]);
  return {harness, older};
}

const CASES: ReadonlyArray<{
  name: string;
  /** What happens between the release and its answer. */
  between: readonly Change[];
}> = [
  {
    name: 'a move that was cancelled',
    between: [{kind: 'ended', members: [OTHER]}],
  },
  {
    name: 'a move after which the slice returned',
    between: [released(), moving(SELF), released()],
  },
];

for (const {name, between} of CASES) {
  // The next move was committed at once, while the server held the slice.
  test(`the answer to a release ends no newer grant: ${name}`, t => {
    const {harness, older} = createAfterNewerGrant(between);
    harness.handle(answerTo(older, '11aa'));
    harness.receiveEntries([moving(THIRD)]);
    t.is(harness.waitForChange('released', LEASE_MS / 4), null);
  });

  test(`the answer to its own release ends the hold: ${name}`, t => {
    const {harness, older} = createAfterNewerGrant(between);
    const effects = harness.receiveEntries([moving(THIRD)]);
    const newer = releaseIn([...effects, ...harness.tick()]);
    harness.handle(answerTo(older, '11aa'));
    t.is(harness.waitForChange('released', LEASE_MS / 4), null);
    harness.handle(answerTo(newer, '22bb'));
    t.not(harness.waitForChange('released', TICK_MS), null);
    const text = harness.firstWrittenText.get('released');
    t.regex(text ?? '', /22bb/);
    t.notRegex(text ?? '', /11aa/);
  });
}

/** First slices of the releases among the effects. */
function askedIn(effects: readonly Effect[]): number[] {
  return effects.flatMap(effect =>
    effect.kind === 'releaseSlices'
      ? effect.grants.map(grant => grant.first)
      : [],
  );
}

/**
 * A daemon that moved a slice away whose grant had no response, and what it asked
 * its server to release since the move was committed.
 */
function createAfterUnansweredGrant(): {
  harness: OwnershipHarness;
  asked: number[];
} {
  const harness = new OwnershipHarness(HISTORY, true);
  harness.receiveEntries([moving(OTHER)]);
  for (let waited = 0; waited < 2 * LEASE_MS; waited += TICK_MS) {
    harness.now += TICK_MS;
    const asked = askedIn(harness.tick());
    if (harness.firstWrittenAt.has('released')) return {harness, asked};
  }
  throw new Error('the move was not committed');
}

/** Ticks for some time; returns the first slices of all releases asked for. */
function askedWithin(harness: OwnershipHarness, ms: number): number[] {
  const asked: number[] = [];
  for (let waited = 0; waited < ms; waited += TICK_MS) {
    harness.now += TICK_MS;
    asked.push(...askedIn(harness.tick()));
  }
  return asked;
}

// A server that stood still carried the grant out as it continued, and held the
// slice beside its next owner until the grant expired.
test('an unanswered grant of a slice that moved away is released', t => {
  const {harness, asked} = createAfterUnansweredGrant();
  t.deepEqual([...asked, ...askedWithin(harness, LEASE_MS / 2)], [SLICE]);
});

test('an unanswered release is repeated until the server responds', t => {
  const {harness, asked} = createAfterUnansweredGrant();
  const since = askedWithin(harness, 2 * LEASE_MS);
  t.deepEqual([...asked, ...since], [SLICE, SLICE, SLICE]);
});

test('a server that was lost is asked for releases once it is back', t => {
  const {harness} = createAfterUnansweredGrant();
  const announcement = harness.announcementOf(SELF);
  const {instance} = announcement;
  harness.handle({kind: 'announcementExpired', instance, processEnded: false});
  t.deepEqual(askedWithin(harness, LEASE_MS), []);
  const effects = harness.handle({kind: 'announcementReceived', announcement});
  const release = releaseIn(effects);
  t.deepEqual(askedIn(effects), [SLICE]);
  harness.handle(answerTo(release, ''));
  t.deepEqual(askedWithin(harness, 2 * LEASE_MS), []);
});

// A slice that still belonged to the member as its grant expired was forgotten.
test('an unanswered grant is released if its slice moves away later', t => {
  const harness = new OwnershipHarness(HISTORY, true);
  t.deepEqual(askedWithin(harness, 2 * LEASE_MS), []);
  const effects = harness.receiveEntries([moving(OTHER), released()]);
  t.deepEqual([...askedIn(effects), ...askedIn(harness.tick())], [SLICE]);
});

test('a member that was removed releases what has no response', t => {
  const harness = new OwnershipHarness(HISTORY, true);
  harness.receiveEntries([{kind: 'ended', members: [SELF]}]);
  harness.handle({
    kind: 'announcementReceived',
    announcement: harness.announcementOf(SELF),
  });
  t.true(askedWithin(harness, LEASE_MS).includes(SLICE));
});

test('a hold counts from the response, by a clock that is 2% slow', t => {
  t.is(endOfHold({ttlMs: 1000} as UnconfirmedGrant, 500), 1520);
});
