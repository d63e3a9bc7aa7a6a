/** @fileoverview Tests of a daemon that replaces its predecessor on a host. */

import test from 'ava';

import {memberOf} from '../ids/logic.js';
import type {MemberId, Version} from '../ids/types.js';
import {linkEntry} from '../log/logic.js';
import type {Change} from '../log/types.js';
import type {Effect, Event} from '../loop/types.js';
import type {Message} from '../messages/types.js';
import type {StoreReply} from '../store/types.js';
import {mergeTuning} from '../settings/logic.js';
import {OWNERSHIP} from './definition.js';
import {createOwnership} from './state.js';

const LEASE_MS = 2000;
const MARGIN_MS = 150;
const TTL_MS = 3000;
const TICK_MS = 100;
const FINDER = 'finder' as never;
const OLD = 'a#1' as MemberId;
const SELF = memberOf('a' as never, '2');
const OTHER = 'b#1' as MemberId;

const DOCUMENT = JSON.stringify({
  services: [{name: 'finder', division: {kind: 'keyed', slices: 2}}],
  limits: {drainMs: 1000, maxMovingSlices: 2},
});

function joined(member: MemberId, replaces: MemberId | null): Change {
  const zone = 'z' as never;
  const address = '127.0.0.1:1' as never;
  return {kind: 'joined', member, zone, address, operators: null, replaces};
}

function offered(member: MemberId): Change {
  const instance = `server of ${member}` as never;
  const common = {service: FINDER, instance, slots: 1, leaving: false};
  return {kind: 'offered', member, ...common};
}

const PLACED: Change = {
  kind: 'placed',
  service: FINDER,
  slices: 2,
  runs: [{first: 0 as never, count: 2, owner: OLD, standby: OTHER}],
};

const MOVING: Change = {
  kind: 'moving',
  service: FINDER,
  moves: [{first: 0 as never, count: 2, to: OTHER}],
};

const HISTORY: readonly Change[] = [
  joined(OLD, null),
  {kind: 'configured', number: 1, document: DOCUMENT},
  offered(OLD),
  PLACED,
  joined(OTHER, null),
  offered(OTHER),
  joined(SELF, OLD),
];

/** A daemon whose log holds some changes, and what it commits from then on. */
class Bench {
  private readonly state = createOwnership({
    workspace: 'w' as never,
    host: 'a' as never,
    zone: 'z' as never,
    address: '127.0.0.1:1' as never,
    incarnation: '2',
    tuning: mergeTuning({
      membership: {soleProcess: true},
      leases: {leaseMs: LEASE_MS, marginMs: MARGIN_MS},
      announcements: {ttlMs: TTL_MS},
    }),
  });
  private now = 1000;
  private revision = 100;

  constructor(changes: readonly Change[]) {
    const message = messageOf(changes);
    this.happen({kind: 'received', from: OTHER, message});
    this.happen({kind: 'ticked'});
    this.happen({kind: 'ticked'});
  }

  /** Returns how long it takes until a kind of change is first written. */
  waitsFor(kind: Change['kind'], mostMs: number): number | null {
    for (let waited = 0; waited <= mostMs; waited += TICK_MS) {
      const effects = this.happen({kind: 'ticked'});
      if (effects.some(effect => writes(effect, kind))) return waited;
      this.now += TICK_MS;
    }
    return null;
  }

  /** Lets an event happen; the store finds nothing and takes every write. */
  private happen(event: Event): Effect[] {
    const effects = this.feed(event);
    for (const {call, request} of effects.filter(isCall)) {
      this.revision += 1;
      const {revision} = this;
      const reply: StoreReply =
        request.kind === 'commit'
          ? {kind: 'committed', revision}
          : {kind: 'rows', rows: []};
      effects.push(...this.happen({kind: 'storeReplied', call, reply}));
    }
    return effects;
  }

  private feed(event: Event): Effect[] {
    const at = {monotonic: this.now, wall: this.now};
    const work = {
      inFlight: () => 0,
      inFlightTotal: () => 0,
      takeBusyMs: () => new Map(),
      meanRunMs: () => 0,
    };
    return OWNERSHIP.reduce(this.state, {at, random: 0.5, event}, {work});
  }
}

type Call = Extract<Effect, {kind: 'callStore'}>;

function isCall(effect: Effect): effect is Call {
  return effect.kind === 'callStore';
}

function messageOf(changes: readonly Change[]): Message {
  const entries = changes.map((change, index) => {
    const version = (index + 1) as Version;
    const entry = {version, writeId: '' as never, by: '', at: 0, change};
    return linkEntry({entry, revision: version});
  });
  const version = entries.length as Version;
  return {kind: 'entries', entries, version};
}

function writes(effect: Effect, kind: Change['kind']): boolean {
  if (!isCall(effect) || effect.request.kind !== 'commit') return false;
  const {puts} = effect.request.transaction;
  return puts.some(({value}) => value?.includes(`"kind":"${kind}"`));
}

test('a successor gives slices away only after the old grants', t => {
  const waited = new Bench([...HISTORY, MOVING]).waitsFor('released', 5000);
  t.true((waited ?? 0) >= LEASE_MS + MARGIN_MS, `${waited} ms`);
  t.true((waited ?? Infinity) <= LEASE_MS + MARGIN_MS + 2 * TICK_MS);
});

test('a successor without a server says so after the time of its beat', t => {
  const waited = new Bench(HISTORY).waitsFor('withdrawn', 5000);
  t.true((waited ?? 0) >= TTL_MS, `${waited} ms`);
});

test('slices of an awaited successor are left alone', t => {
  const bench = new Bench(HISTORY);
  t.is(bench.waitsFor('moving', TTL_MS - TICK_MS), null);
});
