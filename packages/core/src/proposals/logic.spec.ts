/** @fileoverview Tests of committing changes for other members. */

import test from 'ava';

import type {MemberId, Slice} from '../ids/types.js';
import type {Change, Entry} from '../log/types.js';
import type {Effect} from '../loop/types.js';
import {
  CONFIGURED,
  FINDER,
  OwnershipHarness,
  SELF,
  TICK_MS,
  joined,
  offered,
} from '../testing/harness.js';

const ENDED = 'c#1' as MemberId;
const SENDER = 'c#2' as MemberId;
const OTHER = 'd#1' as MemberId;
const HISTORY: readonly Change[] = [CONFIGURED, joined(SELF, null)];
/** More than one entry takes. */
const MANY = 100;

interface Request {
  readonly from: MemberId;
  readonly text: string;
}

function requestOf(from: MemberId, change: Change): Request {
  return {from, text: JSON.stringify(change)};
}

/** Sends requests and returns the combined changes that are committed. */
function commitFor(
  requests: readonly Request[],
  history: readonly Change[] = HISTORY,
): Change[][] {
  const harness = new OwnershipHarness(history, true);
  const effects: Effect[] = [];
  for (const {from, text: change} of requests) {
    const message = {kind: 'propose', change} as const;
    effects.push(...harness.handle({kind: 'messageReceived', from, message}));
  }
  for (let tick = 0; tick < 3; tick++) {
    harness.now += TICK_MS;
    effects.push(...harness.tick());
  }
  return effects.flatMap(combinedChangesOf);
}

function combinedChangesOf(effect: Effect): Change[][] {
  if (effect.kind !== 'callStore' || effect.request.kind !== 'commit') {
    return [];
  }
  const {puts} = effect.request.transaction;
  const entry = puts.find(({key}) => key.includes('/log/'));
  if (entry?.value === undefined || entry.value === null) return [];
  const {change} = JSON.parse(entry.value) as Entry;
  return change.kind === 'combined'
    ? [change.changes.map(withoutGrantors)]
    : [];
}

/** Grantors are named by the writer; see `membership/joining.spec.ts`. */
function withoutGrantors(change: Change): Change {
  if (change.kind !== 'joined') return change;
  const {kind, member, zone, address, operators, replaces} = change;
  return {kind, member, zone, address, operators, replaces};
}

const CASES: ReadonlyArray<{
  title: string;
  requests: readonly Request[];
  history?: readonly Change[];
  committed: readonly Change[][];
}> = [
  {
    title: 'changes of several members are committed in one entry',
    requests: [
      requestOf(SENDER, joined(SENDER, null)),
      requestOf(OTHER, joined(OTHER, null)),
    ],
    committed: [[joined(SENDER, null), joined(OTHER, null)]],
  },
  {
    title: 'the newest request of a member replaces the one before',
    history: [...HISTORY, joined(SENDER, null)],
    requests: [
      requestOf(SENDER, {...offered(SENDER), leaving: true} as Change),
      requestOf(SENDER, offered(SENDER)),
    ],
    committed: [[offered(SENDER)]],
  },
  {
    title: 'a predecessor that ended meanwhile is not replaced',
    requests: [requestOf(SENDER, joined(SENDER, ENDED))],
    committed: [[joined(SENDER, null)]],
  },
  {
    title: 'a predecessor that is a member is replaced',
    history: [...HISTORY, joined(ENDED, null)],
    requests: [requestOf(SENDER, joined(SENDER, ENDED))],
    committed: [[joined(SENDER, ENDED)]],
  },
  {
    title: 'a change that is in effect is not committed again',
    history: [...HISTORY, joined(SENDER, null)],
    requests: [requestOf(SENDER, joined(SENDER, null))],
    committed: [],
  },
  {
    title: 'a change of another member is ignored',
    requests: [requestOf(SENDER, joined(OTHER, null))],
    committed: [],
  },
  {
    title: 'a change that its owner has to commit is ignored',
    requests: [requestOf(SENDER, {kind: 'ended', members: [OTHER]})],
    committed: [],
  },
  {
    title: 'text that is no change is ignored',
    requests: [{from: SENDER, text: '{"kind":"joined"'}],
    committed: [],
  },
];

for (const {title, requests, history, committed} of CASES) {
  test(title, t => {
    t.deepEqual(commitFor(requests, history), committed);
  });
}

const TARGET = 'e#1' as MemberId;
const SLICES = [0, 1] as Slice[];
const FINDER_PLACED: Change = {
  kind: 'placed',
  service: FINDER,
  slices: 2,
  runs: [
    {first: SLICES[0], count: 1, owner: SENDER, standby: null},
    {first: SLICES[1], count: 1, owner: OTHER, standby: null},
  ],
};
const FINDER_MOVING: Change = {
  kind: 'moving',
  service: FINDER,
  moves: [{first: SLICES[0], count: 2, to: TARGET}],
};
/** Two owners whose slices move to a third member. */
const MOVES: readonly Change[] = [
  ...HISTORY,
  joined(SENDER, null),
  joined(OTHER, null),
  joined(TARGET, null),
  FINDER_PLACED,
  FINDER_MOVING,
];

function release(from: MemberId, slice: Slice, generation = 1): Request {
  const handovers = [{slice, token: `token of ${slice}`}];
  const text = JSON.stringify({
    kind: 'released',
    member: from,
    service: FINDER,
    slices: [slice],
    generations: [generation],
    handovers,
  });
  return {from, text};
}

function releasedSlices(...slices: readonly Slice[]): Change {
  const handovers = slices.map(slice => ({slice, token: `token of ${slice}`}));
  return {kind: 'released', service: FINDER, slices, handovers};
}

const RELEASES: ReadonlyArray<{
  title: string;
  requests: readonly Request[];
  history: readonly Change[];
  committed: readonly Change[][];
}> = [
  {
    title: 'slices of several owners are released in one entry',
    requests: [release(SENDER, SLICES[0]), release(OTHER, SLICES[1])],
    history: MOVES,
    committed: [[releasedSlices(...SLICES)]],
  },
  {
    title: 'a slice of another owner is not released',
    requests: [release(SENDER, SLICES[1])],
    history: MOVES,
    committed: [],
  },
  {
    title: 'a slice of another generation is not released',
    requests: [release(SENDER, SLICES[0], 2)],
    history: MOVES,
    committed: [],
  },
  {
    title: 'a late release is not taken for one of a later move',
    requests: [release(SENDER, SLICES[0])],
    history: [
      ...MOVES,
      {kind: 'ended', members: [TARGET]},
      joined(ENDED, null),
      {...FINDER_MOVING, moves: [{first: SLICES[0], count: 2, to: ENDED}]},
    ],
    committed: [],
  },
  {
    title: 'a slice that no longer moves is not released',
    requests: [release(SENDER, SLICES[0])],
    history: [...MOVES, {kind: 'ended', members: [TARGET]}],
    committed: [],
  },
];

for (const {title, requests, history, committed} of RELEASES) {
  test(title, t => {
    t.deepEqual(commitFor(requests, history), committed);
  });
}

test('more changes than one entry takes are committed in several', t => {
  const members = Array.from({length: MANY}, (_, i) => `m${i}#1` as MemberId);
  const requests = members.map(id => requestOf(id, joined(id, null)));
  const committed = commitFor(requests);
  t.true(committed.length > 1);
  t.is(committed.flat().length, MANY);
});

function askedMembers(effects: readonly Effect[]): MemberId[] {
  return effects.flatMap(effect =>
    effect.kind === 'send' && effect.message.kind === 'propose'
      ? [effect.to]
      : [],
  );
}

function writesOwnJoin(effect: Effect): boolean {
  if (effect.kind !== 'callStore' || effect.request.kind !== 'commit') {
    return false;
  }
  const {puts} = effect.request.transaction;
  return puts.some(({value}) => value?.includes('"kind":"joined"') === true);
}

test('a newcomer whose link is lost is given up at once', t => {
  const harness = new OwnershipHarness([
    CONFIGURED,
    joined(SENDER, null),
    joined(OTHER, null),
  ]);
  t.deepEqual(askedMembers(harness.initialEffects), [SENDER]);
  harness.now += 1;
  t.deepEqual(
    askedMembers(harness.handle({kind: 'linkLost', peer: OTHER})),
    [],
  );
  const effects = harness.handle({kind: 'linkLost', peer: SENDER});
  t.deepEqual(askedMembers(effects), []);
  t.true(effects.some(writesOwnJoin));
});
