/**
 * @fileoverview Tests of slice grants, and of releases while they are
 * unconfirmed.
 */

import test from 'ava';

import type {MemberId} from '../ids/types.js';
import type {Change} from '../log/types.js';
import type {Effect, Event} from '../loop/types.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
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
/** By how much longer a grant lasts at a server whose clock is slow. */
const SLOW_CLOCK_FACTOR = 1.02;
const GRANT_CALL_MS = DEFAULT_TUNING.leases.grantCallMs;

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

type Grant = Extract<Effect, {kind: 'grantSlices'}>;
type Release = Extract<Effect, {kind: 'releaseSlices'}>;

function grantsIn(effects: readonly Effect[]): Grant[] {
  return effects.filter(effect => effect.kind === 'grantSlices');
}

function releasesIn(effects: readonly Effect[]): Release[] {
  return effects.filter(effect => effect.kind === 'releaseSlices');
}

function requestsRelease(effects: readonly Effect[]): boolean {
  return releasesIn(effects).length > 0;
}

function confirmationOf(effect: Grant): Event {
  const {service, round, grants} = effect;
  return {kind: 'slicesGranted', service, round, grant: grants[0]};
}

function answerTo({service, round, grants}: Release): Event {
  const [grant] = grants;
  return {kind: 'slicesReleased', service, round, grant, handover: null};
}

/** A daemon that owns both slices and has just granted them. */
function createGrantingDaemon(): {harness: OwnershipHarness; sent: Grant} {
  const harness = new OwnershipHarness(HISTORY, true);
  const [sent] = grantsIn(harness.initialEffects);
  return {harness, sent};
}

const CASES: ReadonlyArray<{
  name: string;
  /** Whether the grant was confirmed before the move. */
  confirmed: boolean;
  /** Whether the release is requested immediately. */
  requestsImmediately: boolean;
}> = [
  {name: 'a confirmed grant', confirmed: true, requestsImmediately: true},
  {name: 'an unconfirmed grant', confirmed: false, requestsImmediately: false},
];

for (const {name, confirmed, requestsImmediately} of CASES) {
  test(`a release request does not overtake ${name}`, t => {
    const {harness, sent} = createGrantingDaemon();
    if (confirmed) harness.handle(confirmationOf(sent));
    t.is(
      requestsRelease(harness.receiveEntries([MOVING])),
      requestsImmediately,
    );
    if (confirmed) return;
    harness.now += TICK_MS;
    t.true(
      requestsRelease(
        harness.handle(confirmationOf(sent)).concat(harness.tick()),
      ),
    );
  });
}

test('an unconfirmed grant delays the release until it expires', t => {
  const {harness} = createGrantingDaemon();
  const begun = harness.now;
  harness.receiveEntries([MOVING]);
  harness.now += 1000;
  const [asked] = releasesIn(harness.tick());
  harness.handle(answerTo(asked));
  t.is(harness.waitForChange('released', LEASE_MS / 4), null);
  harness.waitForChange('released', 2 * LEASE_MS);
  const waited = harness.now - begun;
  t.true(waited <= LEASE_MS + MARGIN_MS + 2 * TICK_MS, `${waited} ms`);
});

test('grants of other slices do not delay a move', t => {
  const {harness, sent} = createGrantingDaemon();
  harness.handle(confirmationOf(sent));
  harness.receiveEntries([MOVING]);
  const begun = harness.now;
  for (let step = 0; step < 5; step++) {
    harness.now += LEASE_MS / 4;
    harness.renewLease();
    grantsIn(harness.tick()).forEach(each =>
      harness.handle(confirmationOf(each)),
    );
  }
  const waited = (harness.firstWrittenAt.get('released') ?? Infinity) - begun;
  t.true(waited <= LEASE_MS + MARGIN_MS + LEASE_MS / 4, `${waited} ms`);
});

test('a server whose process has ended holds no slices', t => {
  const {harness, sent} = createGrantingDaemon();
  harness.handle(confirmationOf(sent));
  harness.receiveEntries([MOVING]);
  const {instance} = harness.announcementOf(SELF);
  t.is(harness.waitForChange('released', 0), null);
  harness.handle({kind: 'announcementExpired', instance, processEnded: true});
  t.not(harness.waitForChange('released', 2 * TICK_MS), null);
});

const DELAYS_MS = [0, 100, 200, GRANT_CALL_MS];

for (const delayMs of DELAYS_MS) {
  // A call that was delayed by over 110 ms outlasted what evictions wait for.
  test(`a grant ${delayMs} ms late ends with the lease and its margin`, t => {
    const {harness, sent} = createGrantingDaemon();
    const leaseEnd = harness.now + LEASE_MS;
    const ttlMs = sent.until.monotonic - harness.now;
    t.is(sent.until.wall, sent.until.monotonic);
    t.is(sent.timeoutMs, GRANT_CALL_MS);
    const end = harness.now + delayMs + ttlMs * SLOW_CLOCK_FACTOR;
    t.true(end <= leaseEnd + MARGIN_MS, `${end - leaseEnd} ms`);
    const clockErrorMs = LEASE_MS * (SLOW_CLOCK_FACTOR - 1);
    const reserveMs = GRANT_CALL_MS + clockErrorMs - MARGIN_MS;
    t.is(Math.round(ttlMs), LEASE_MS - Math.round(reserveMs));
  });

  // A move that waited for the expiry ended before that of a delayed grant.
  test(`a grant answered ${delayMs} ms late is waited for`, t => {
    const {harness, sent} = createGrantingDaemon();
    const ttlMs = sent.until.monotonic - harness.now;
    harness.now += delayMs;
    const arrivedAt = harness.now;
    harness.handle(confirmationOf(sent));
    harness.receiveEntries([MOVING]);
    harness.waitForChange('released', 2 * LEASE_MS);
    const releasedAt = harness.firstWrittenAt.get('released') ?? 0;
    t.true(releasedAt >= arrivedAt + ttlMs * SLOW_CLOCK_FACTOR);
  });
}

test('a member is removed only once its server holds no slices', t => {
  const {harness, sent} = createGrantingDaemon();
  harness.handle(confirmationOf(sent));
  harness.startEnding();
  t.is(harness.waitForChange('ended', LEASE_MS), null);
  t.not(harness.waitForChange('ended', MARGIN_MS + 2 * TICK_MS), null);
});

test('a server that lost its grants gets no work until it has them again', t => {
  const {harness, sent} = createGrantingDaemon();
  t.is(harness.permission(0).kind, 'denied');
  harness.handle(confirmationOf(sent));
  t.is(harness.permission(0).kind, 'granted');
  harness.now += LEASE_MS - TICK_MS;
  harness.renewLease();
  const renewed = grantsIn(harness.tick());
  harness.now += TICK_MS;
  t.is(harness.permission(0).kind, 'denied');
  harness.handle(confirmationOf(renewed[0]));
  t.is(harness.permission(0).kind, 'granted');
});

test('a grant under a short lease is renewed before it expires', t => {
  const {harness, sent} = createGrantingDaemon();
  harness.handle(confirmationOf(sent));
  const shortMs = 4 * TICK_MS;
  harness.now += LEASE_MS - shortMs;
  const [short] = grantsIn(harness.tick());
  harness.handle(confirmationOf(short));
  harness.renewLease();
  harness.now += shortMs / 2;
  t.is(grantsIn(harness.tick()).length, 1);
});

test('slices are granted again as soon as the lease is extended', t => {
  const {harness, sent} = createGrantingDaemon();
  const ttlMs = sent.until.monotonic - harness.now;
  harness.handle(confirmationOf(sent));
  const {renewMs} = DEFAULT_TUNING.leases;
  harness.now += renewMs;
  t.is(grantsIn(harness.tick()).length, 0);
  harness.renewLease();
  const [renewed] = grantsIn(harness.tick());
  t.is(renewed?.until.monotonic, harness.now + ttlMs);
  t.is(grantsIn(harness.tick()).length, 0);
});

test('a slice that returns is granted without renewing the others', t => {
  const {harness, sent} = createGrantingDaemon();
  harness.handle(confirmationOf(sent));
  const [service, slices] = [FINDER, [0 as never]];
  const released: Change = {kind: 'released', service, slices, handovers: []};
  const back: Change = {
    kind: 'moving',
    service: FINDER,
    moves: [{first: 0 as never, count: 1, to: SELF}],
  };
  const effects = harness.receiveEntries([MOVING, released, back, released]);
  const grants = [...grantsIn(effects), ...grantsIn(harness.tick())];
  t.deepEqual(
    grants.flatMap(each => each.grants.map(({first, count}) => [first, count])),
    [[0, 1]],
  );
});
