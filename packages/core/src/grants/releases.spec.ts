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
