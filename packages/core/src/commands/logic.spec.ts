/** @fileoverview Tests of the results of operators' commands. */

import test from 'ava';

import type {Instant} from '../clock/types.js';
import type {Address, MemberId, ServiceName, Version} from '../ids/types.js';
import type {Change, Entry} from '../log/types.js';
import type {Effect} from '../loop/types.js';
import {applyEntry} from '../map/logic.js';
import {createOwnershipState} from '../ownership/state.js';
import type {OwnershipContext, OwnershipState} from '../ownership/state.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import type {Row} from '../store/types.js';
import {beginAudit, handleAuditReply} from './audit.js';
import type {AuditPage} from './types.js';
import {renderMap, renderStatus} from './view.js';

const NOW: Instant = {monotonic: 1000, wall: 1000};
const FINDER = 'finder' as ServiceName;
const [FIRST, SECOND] = ['h1#1', 'h2#1'] as MemberId[];
const PORT = '127.0.0.1:1' as Address;

const DOCUMENT = JSON.stringify({
  name: 'taipei',
  services: [
    {name: 'finder', division: {kind: 'keyed', slices: 8}, upstreams: 2},
  ],
});

const CHANGES = [
  {
    kind: 'joined',
    member: FIRST,
    zone: 'a',
    address: PORT,
    operators: PORT,
    replaces: null,
  },
  {
    kind: 'joined',
    member: SECOND,
    zone: 'b',
    address: PORT,
    operators: null,
    replaces: null,
  },
  {kind: 'configured', number: 1, document: DOCUMENT},
  {
    kind: 'placed',
    service: FINDER,
    slices: 8,
    runs: [{first: 0, count: 4, owner: FIRST, standby: SECOND}],
  },
  {
    kind: 'placed',
    service: FINDER,
    slices: 8,
    runs: [{first: 4, count: 2, owner: SECOND, standby: null}],
  },
  {
    kind: 'moving',
    service: FINDER,
    moves: [{first: 4, count: 1, to: FIRST}],
  },
  {kind: 'zone', zone: 'b', out: true},
] as unknown as readonly Change[];

function stateAfter(changes: readonly Change[]): OwnershipState {
  const state = createOwnershipState({
    workspace: 'taipei' as never,
    host: 'h1' as never,
    zone: 'a' as never,
    address: PORT,
    incarnation: '1',
    tuning: DEFAULT_TUNING,
  });
  changes.forEach((change, index) => {
    const entry = {version: (index + 1) as Version, change} as Entry;
    applyEntry(state.map, {entry, revision: index + 1}, 0);
  });
  return state;
}

test('the status counts slices by member and service', t => {
  const status = renderStatus(stateAfter(CHANGES), NOW);
  t.like(status, {
    member: FIRST,
    version: 7,
    configuration: 1,
    document: DOCUMENT,
    zonesOut: ['b'],
  });
  t.false(status.lease.held);
  t.like(status.members[0], {owned: 4, standby: 0, operators: PORT});
  t.like(status.members[1], {owned: 2, standby: 4, operators: null});
  t.deepEqual(status.services, [
    {service: 'finder', slices: 8, unowned: 2, withoutStandby: 4, moving: 1},
  ]);
});

test('the map merges slices with the same placement', t => {
  const view = renderMap(stateAfter(CHANGES).map, FINDER);
  const rows = view?.runs.map(run => [run.first, run.count, run.owner]);
  t.deepEqual(rows, [
    [0, 4, FIRST],
    [4, 1, SECOND],
    [5, 1, SECOND],
    [6, 2, null],
  ]);
  t.is(renderMap(stateAfter([]).map, FINDER), null);
});

const CASES: ReadonlyArray<{
  what: string;
  version: number;
  /** Log versions of the rows in the table. */
  rows: readonly number[];
  limit: number;
  found: readonly number[];
  searchedFrom: number;
  reads: number;
}> = [
  {
    what: 'nothing',
    version: 0,
    rows: [],
    limit: 5,
    found: [],
    searchedFrom: 1,
    reads: 0,
  },
  {
    what: 'the newest',
    version: 9,
    rows: [1, 4, 9],
    limit: 2,
    found: [9, 4],
    searchedFrom: 1,
    reads: 1,
  },
  {
    what: 'rows far apart',
    version: 2500,
    rows: [3, 1400, 2499],
    limit: 3,
    found: [2499, 1400, 3],
    searchedFrom: 1,
    reads: 3,
  },
  {
    what: 'only the versions of a bounded search',
    version: 90_000,
    rows: [3],
    limit: 1,
    found: [],
    searchedFrom: 70_001,
    reads: 20,
  },
];

for (const {what, version, rows, limit, ...expected} of CASES) {
  test(`the audit trail of ${version} versions shows ${what}`, t => {
    const state = stateAfter([]);
    state.map.version = version as Version;
    const effects: Effect[] = [];
    const context = {state, at: NOW, effects} as unknown as OwnershipContext;
    beginAudit(context, limit, 1);
    let reads = 0;
    while (effects.at(-1)?.kind === 'callStore') {
      reads += 1;
      replyToRead(context, rows);
    }
    const last = effects.at(-1);
    if (last?.kind !== 'reply' || last.result.kind !== 'ok') return t.fail();
    const page = JSON.parse(last.result.body) as AuditPage;
    const found = page.entries.map(({to}) => to);
    t.deepEqual({found, searchedFrom: page.searchedFrom, reads}, expected);
  });
}

test('an audit trail that cannot be read is unavailable', t => {
  const effects: Effect[] = [];
  const context = {state: stateAfter([]), at: NOW, effects};
  const search = {wanted: 1, from: 1, reads: 1, found: []};
  const reply = {kind: 'refused', detail: 'outage'} as const;
  handleAuditReply(context as unknown as OwnershipContext, 1, search, reply);
  t.like(effects[0], {kind: 'reply', result: {kind: 'unavailable'}});
});

function replyToRead(
  context: OwnershipContext,
  versions: readonly number[],
): void {
  const call = context.effects.at(-1);
  if (call?.kind !== 'callStore' || call.request.kind !== 'read') return;
  const {query} = call.request;
  const purpose = context.state.pendingCalls.get(call.call)?.purpose;
  if (query.kind !== 'range' || purpose?.kind !== 'audit') return;
  const rows = versions
    .map(version => rowOf(context.state, version))
    .filter(({key}) => key >= query.from && key < query.to);
  handleAuditReply(context, 1, purpose.search, {kind: 'rows', rows});
}

function rowOf(state: OwnershipState, version: number): Row {
  const what = {kind: 'zone', zone: 'a', out: true};
  const value = {by: 'ann', at: 0, from: version - 1, to: version, what};
  return {
    key: state.keys.audit(version),
    revision: 1,
    value: JSON.stringify(value),
  };
}
