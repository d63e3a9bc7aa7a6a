/**
 * @fileoverview A daemon that another member has joined to the workspace may
 * learn of it from a snapshot, if the log was trimmed meanwhile.
 */

import test from 'ava';

import type {MemberId, Version} from '../ids/types.js';
import type {Change} from '../log/types.js';
import type {Event} from '../loop/types.js';
import {applyEntry} from '../map/logic.js';
import {createMap} from '../map/state.js';
import {mergeTuning} from '../settings/logic.js';
import {serializeMap} from '../snapshots/logic.js';
import type {StoreCall, StoreReply} from '../store/types.js';
import {
  CONFIGURED,
  FINDER,
  LEASE_MS,
  MARGIN_MS,
  SELF,
  TICK_MS,
  joined,
  offered,
} from '../testing/harness.js';
import {OWNERSHIP} from './definition.js';
import {createOwnershipState} from './state.js';

const PREDECESSOR = 'a#1' as MemberId;
const OTHER = 'b#1' as MemberId;
const START_MS = 1000;
const MAX_WAIT_MS = 2 * LEASE_MS;

/** The predecessor's slices move away when its successor joins. */
const HISTORY: readonly Change[] = [
  joined(PREDECESSOR, null),
  CONFIGURED,
  offered(PREDECESSOR),
  {
    kind: 'placed',
    service: FINDER,
    slices: 2,
    runs: [{first: 0 as never, count: 2, owner: PREDECESSOR, standby: OTHER}],
  },
  joined(OTHER, null),
  offered(OTHER),
  joined(SELF, PREDECESSOR),
  {
    kind: 'moving',
    service: FINDER,
    moves: [{first: 0 as never, count: 2, to: OTHER}],
  },
];

function snapshotOf(changes: readonly Change[]): string {
  const map = createMap();
  changes.forEach((change, index) => {
    const version = (index + 1) as Version;
    const entry = {version, writeId: '' as never, by: '', at: 0, change};
    applyEntry(map, {entry, revision: version}, 0);
  });
  return serializeMap(map);
}

/** Replies of a store whose log was trimmed up to a snapshot. */
function replyOf(request: StoreCall, changes: readonly Change[]): StoreReply {
  const version = changes.length as Version;
  const pointer = {version, object: 'snapshot', trimmedTo: version};
  switch (request.kind) {
    case 'commit':
      return {kind: 'committed', revision: 100};
    case 'getObject':
      return {kind: 'object', body: snapshotOf(changes)};
    case 'putObject':
      return {kind: 'stored'};
    case 'read': {
      const {query} = request;
      if (query.kind !== 'row' || !query.key.endsWith('/snapshot')) {
        return {kind: 'rows', rows: []};
      }
      const value = JSON.stringify(pointer);
      return {kind: 'rows', rows: [{key: query.key, revision: 50, value}]};
    }
  }
}

/**
 * Lets a daemon start from a snapshot, and returns the first effect that
 * matches, with the time since its start; or null.
 */
function waitForEffect(
  changes: readonly Change[],
  matches: (text: string) => boolean,
): {text: string; afterMs: number} | null {
  const state = createOwnershipState({
    workspace: 'w' as never,
    host: 'a' as never,
    zone: 'z' as never,
    address: '127.0.0.1:1' as never,
    incarnation: '2',
    tuning: mergeTuning({
      membership: {soleProcess: true},
      leases: {leaseMs: LEASE_MS, marginMs: MARGIN_MS},
    }),
  });
  state.logReader.needsSnapshot = true;
  const work = {
    inFlight: () => 0,
    inFlightTotal: () => 0,
    takeBusyMs: () => new Map(),
    meanRunMs: () => 0,
  };
  for (let now = START_MS; now < START_MS + MAX_WAIT_MS; now += TICK_MS) {
    const events: Event[] = [{kind: 'ticked'}];
    for (let event = events.shift(); event; event = events.shift()) {
      const at = {monotonic: now, wall: now};
      const input = {at, random: 0.5, event};
      const effects = OWNERSHIP.reduce(state, input, {work});
      const text = effects.map(each => JSON.stringify(each)).find(matches);
      if (text !== undefined) return {text, afterMs: now - START_MS};
      for (const effect of effects) {
        if (effect.kind !== 'callStore') continue;
        const reply = replyOf(effect.request, changes);
        events.push({kind: 'storeReplied', call: effect.call, reply});
      }
    }
  }
  return null;
}

/** Matches effects that commit a change, or ask another member to. */
function commits(kind: Change['kind']): (text: string) => boolean {
  return text => text.includes(`"kind\\":\\"${kind}\\"`);
}

// Such a daemon released the slices at once: their next owner granted them
// while the server held them under grants of the predecessor.
test('a successor that joins by a snapshot waits for the grants of its predecessor', t => {
  const released = waitForEffect(HISTORY, commits('released'));
  const releasedAt = released?.afterMs ?? null;
  t.true((releasedAt ?? 0) >= LEASE_MS + MARGIN_MS, `${releasedAt} ms`);
  t.true((releasedAt ?? Infinity) <= LEASE_MS + MARGIN_MS + 2 * TICK_MS);
});

// It joined again under the id: no grantor gives a lease to a removed member,
// and those that it granted leases were evicted while these were valid.
test('a daemon that was joined and removed does not join under the same id again', t => {
  const changes: Change[] = [...HISTORY, {kind: 'ended', members: [SELF]}];
  const joins = waitForEffect(changes, commits('joined'));
  t.true(joins?.text.includes(`member\\":\\"${SELF}.2\\"`), joins?.text);
});
