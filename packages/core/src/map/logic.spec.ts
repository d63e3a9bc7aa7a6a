/** @fileoverview Tests of placement, promotion of standbys and moves. */

import test from 'ava';

import type {MemberId, Slice, Version} from '../ids/types.js';
import type {Change} from '../log/types.js';
import {serializeMap, parseMap} from '../snapshots/logic.js';
import {applyEntry, memberAt} from './logic.js';
import {createMap} from './state.js';
import type {ClusterMap} from './types.js';

const [A, B, C] = ['a#1', 'b#1', 'c#1'] as unknown as MemberId[];
const SERVICE = 'finder' as never;
const FIRST = 0 as Slice;

function configured(number = 1, slices = 2): Change {
  const division = {kind: 'keyed', slices};
  const services = [{name: 'finder', division}];
  const document = JSON.stringify({services});
  return {kind: 'configured', number, document};
}

function joined(member: MemberId): Change {
  const zone = 'z' as never;
  const address = '' as never;
  return {
    kind: 'joined',
    member,
    zone,
    address,
    operators: null,
    replaces: null,
  };
}

function placed(owner: MemberId, standby: MemberId | null): Change {
  const range = {first: FIRST, count: 2, owner, standby};
  return {kind: 'placed', service: SERVICE, slices: 2, runs: [range]};
}

function moving(to: MemberId): Change {
  const move = {first: FIRST, count: 1, to};
  return {kind: 'moving', service: SERVICE, moves: [move]};
}

function ended(...members: MemberId[]): Change {
  return {kind: 'ended', members};
}

const RELEASED: Change = {
  kind: 'released',
  service: SERVICE,
  slices: [FIRST],
  handovers: [],
};

function mapAfter(changes: readonly Change[]): ClusterMap {
  const map = createMap();
  const first = [joined(A), joined(B), joined(C)];
  if (changes[0]?.kind !== 'configured') first.push(configured());
  for (const change of [...first, ...changes]) {
    const version = (map.version + 1) as Version;
    const entry = {version, writeId: '' as never, by: '', at: 0, change};
    applyEntry(map, {entry, revision: version}, 0);
  }
  return map;
}

function firstSlice(map: ClusterMap): Array<MemberId | number | null> {
  const service = map.services.get(SERVICE);
  if (service === undefined) return [];
  return [
    memberAt(map, service.owner[FIRST])?.id ?? null,
    memberAt(map, service.standby[FIRST])?.id ?? null,
    service.generation[FIRST],
  ];
}

/** The map as it is read from its snapshot. */
function reloaded(map: ClusterMap): ClusterMap {
  const loaded = parseMap(serializeMap(map), 0);
  if (loaded === null) throw new Error('the snapshot is not readable');
  return loaded;
}

/** Owner, standby and generation of the first slice. */
const CASES: ReadonlyArray<{
  name: string;
  changes: readonly Change[];
  expected: ReadonlyArray<MemberId | number | null>;
}> = [
  {
    name: 'placed',
    changes: [placed(A, B)],
    expected: [A, B, 1],
  },
  {
    name: 'a new standby leaves the owner unchanged',
    changes: [placed(A, B), placed(A, C)],
    expected: [A, C, 1],
  },
  {
    name: 'the standby replaces a removed owner',
    changes: [placed(A, B), ended(A)],
    expected: [B, null, 2],
  },
  {
    name: 'a removed standby leaves the owner unchanged',
    changes: [placed(A, B), ended(B)],
    expected: [A, null, 1],
  },
  {
    name: 'owner and standby are removed in one entry',
    changes: [placed(A, B), ended(A, B)],
    expected: [null, null, 2],
  },
  {
    name: 'the owner is unchanged while a slice moves',
    changes: [placed(A, B), moving(C)],
    expected: [A, B, 1],
  },
  {
    name: 'a release makes the move target the owner',
    changes: [placed(A, B), moving(C), RELEASED],
    expected: [C, B, 2],
  },
  {
    name: 'the owner is removed during a move',
    changes: [placed(A, B), moving(C), ended(A)],
    expected: [C, B, 2],
  },
  {
    name: 'a move that ends with its target ends the generation, too',
    changes: [placed(A, B), moving(C), ended(C), RELEASED],
    expected: [A, B, 2],
  },
  {
    name: 'the owner and the target are removed during a move',
    changes: [placed(A, B), moving(C), ended(A, C)],
    expected: [B, null, 2],
  },
  {
    name: 'the standby is the move target',
    changes: [placed(A, B), moving(B), RELEASED],
    expected: [B, null, 2],
  },
  {
    name: 'a slice is placed again after its owner was removed',
    changes: [placed(A, null), ended(A), placed(B, C)],
    expected: [B, C, 3],
  },
];

for (const {name, changes, expected} of CASES) {
  test(`map: ${name}`, t => {
    const map = mapAfter(changes);
    t.deepEqual(firstSlice(map), [...expected]);
    t.deepEqual(firstSlice(reloaded(map)), [...expected]);
  });
}

/** Slices in the configuration of this daemon, and in the log's first entry. */
const SLICE_COUNTS: ReadonlyArray<readonly [number, number]> = [
  [2, 4],
  [4, 2],
];

for (const [own, agreed] of SLICE_COUNTS) {
  test(`the log's ${agreed} slices replace ${own} of the configuration`, t => {
    const range = {first: FIRST, count: agreed, owner: A, standby: B};
    const first: Change = {
      kind: 'placed',
      service: SERVICE,
      slices: agreed,
      runs: [range],
    };
    const before = mapAfter([configured(1, own), first]);
    const after = mapAfter([first, configured(2, own)]);
    for (const map of [before, after]) {
      t.is(map.services.get(SERVICE)?.slices, agreed);
      const [service] = map.configuration?.workspace.services ?? [];
      t.like(service.division, {kind: 'keyed', slices: agreed});
      t.deepEqual(firstSlice(map), [A, B, 1]);
    }
  });
}

/** Offers of the server on host `a`, and its departure that is known then. */
const OFFERS: ReadonlyArray<{
  name: string;
  offers: ReadonlyArray<readonly [instance: string, leaving: boolean]>;
  departure: string | undefined;
}> = [
  {name: 'never left', offers: [['i@1', false]], departure: undefined},
  {
    name: 'leaves',
    offers: [
      ['i@1', false],
      ['i@1', true],
    ],
    departure: 'i@1',
  },
  {
    name: 'was replaced after it left',
    offers: [
      ['i@1', true],
      ['i@2', false],
    ],
    departure: 'i@1',
  },
];

// A daemon started again took a late heartbeat for that of a running server.
for (const {name, offers, departure} of OFFERS) {
  test(`departure of a server that ${name} outlives its member`, t => {
    const changes = offers.map(([instance, leaving]) => ({
      kind: 'offered' as const,
      member: A,
      service: SERVICE,
      instance: instance as never,
      slots: 1,
      leaving,
    }));
    const map = mapAfter([...changes, ended(A)]);
    const host = 'a' as never;
    t.is(map.departures.get(host), departure as never);
    t.is(reloaded(map).departures.get(host), departure as never);
  });
}
