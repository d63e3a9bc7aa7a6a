/** @fileoverview Tests of grants and of releases beside them. */

import test from 'ava';

import type {Instant} from '../clock/types.js';
import type {MemberId} from '../ids/types.js';
import type {Change} from '../log/types.js';
import type {Effect, Event} from '../loop/types.js';
import {
  CONFIGURED,
  FINDER,
  OwnershipHarness,
  LEASE_MS,
  MARGIN_MS,
  SELF,
  TICK_MS,
  joined,
  offered,
} from '../testing/harness.js';

const OTHER = 'b#1' as MemberId;

const PLACED: Change = {
  kind: 'placed',
  service: FINDER,
  slices: 2,
  runs: [{first: 0 as never, count: 2, owner: SELF, standby: OTHER}],
};

const MOVING: Change = {
  kind: 'moving',
  service: FINDER,
  moves: [{first: 0 as never, count: 1, to: OTHER}],
};

const HISTORY: readonly Change[] = [
  joined(SELF, null),
  CONFIGURED,
  offered(SELF),
  PLACED,
  joined(OTHER, null),
  offered(OTHER),
];

type Grant = Extract<Effect, {kind: 'grant'}>;

function grantsIn(effects: readonly Effect[]): Grant[] {
  return effects.filter(effect => effect.kind === 'grant');
}

function asksRelease(effects: readonly Effect[]): boolean {
  return effects.some(effect => effect.kind === 'releaseKeys');
}

function answerOf(effect: Grant): Event {
  const {service, round, grants} = effect;
  return {kind: 'keysGranted', service, round, grant: grants[0]};
}

/** A daemon that owns both slices and has just granted them. */
function granting(): {bench: OwnershipHarness; sent: Grant} {
  const bench = new OwnershipHarness(HISTORY, true);
  const [sent] = grantsIn(bench.initialEffects);
  return {bench, sent};
}

const WAYS: ReadonlyArray<{
  name: string;
  /** Whether the grant was answered before the move. */
  answered: boolean;
  /** Whether the release is asked for at once. */
  asksAtOnce: boolean;
}> = [
  {name: 'a confirmed grant', answered: true, asksAtOnce: true},
  {name: 'an open grant', answered: false, asksAtOnce: false},
];

for (const {name, answered, asksAtOnce} of WAYS) {
  test(`the release after ${name} never overtakes it`, t => {
    const {bench, sent} = granting();
    if (answered) bench.handle(answerOf(sent));
    t.is(asksRelease(bench.receiveEntries([MOVING])), asksAtOnce);
    if (answered) return;
    bench.now += TICK_MS;
    t.true(asksRelease(bench.handle(answerOf(sent)).concat(bench.tick())));
  });
}

test('a grant without an answer keeps its slice until it has lapsed', t => {
  const {bench, sent} = granting();
  const begun = bench.now;
  bench.receiveEntries([MOVING]);
  const [service, grant] = [FINDER, {...sent.grants[0], count: 1}];
  bench.now += 1000;
  bench.tick();
  bench.handle({kind: 'keysReleased', service, grant, handover: null});
  t.is(bench.waitForChange('released', LEASE_MS / 4), null);
  bench.waitForChange('released', 2 * LEASE_MS);
  const waited = bench.now - begun;
  t.true(waited <= LEASE_MS + MARGIN_MS + 2 * TICK_MS, `${waited} ms`);
});

test('the grants of other slices do not delay a move', t => {
  const {bench, sent} = granting();
  bench.handle(answerOf(sent));
  bench.receiveEntries([MOVING]);
  const begun = bench.now;
  for (let step = 0; step < 5; step++) {
    bench.now += LEASE_MS / 4;
    bench.renewLease();
    grantsIn(bench.tick()).forEach(each => bench.handle(answerOf(each)));
  }
  const waited = (bench.firstWrittenAt.get('released') ?? Infinity) - begun;
  t.true(waited <= LEASE_MS + MARGIN_MS + LEASE_MS / 4, `${waited} ms`);
});

test('a server that has ended holds nothing', t => {
  const {bench, sent} = granting();
  bench.handle(answerOf(sent));
  bench.receiveEntries([MOVING]);
  const {instance} = bench.announcementOf(SELF);
  t.is(bench.waitForChange('released', 0), null);
  bench.handle({kind: 'announcementLapsed', instance, ended: true});
  t.not(bench.waitForChange('released', 2 * TICK_MS), null);
});

test('a grant ends with the lease', t => {
  const {bench, sent} = granting();
  const until: Instant = {
    monotonic: bench.now + LEASE_MS,
    wall: bench.now + LEASE_MS,
  };
  t.deepEqual(sent.until, until);
});

test('a member that ends itself waits until its server holds nothing', t => {
  const {bench, sent} = granting();
  bench.handle(answerOf(sent));
  bench.startEnding();
  t.is(bench.waitForChange('ended', LEASE_MS), null);
  t.not(bench.waitForChange('ended', MARGIN_MS + 2 * TICK_MS), null);
});
