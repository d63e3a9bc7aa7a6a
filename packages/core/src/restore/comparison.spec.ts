/** @fileoverview Tests of comparing entries with the log of a restored store. */

import test from 'ava';

import type {MemberId, Version, WriteId} from '../ids/types.js';
import {createStoreKeys, textOf} from '../log/logic.js';
import type {CommittedEntry} from '../log/types.js';
import type {Row} from '../store/types.js';
import {buildRestoringWrite, compareLog, endsMember} from './comparison.js';

const KEYS = createStoreKeys('w');

function committed(version: number, writeId = `a/${version}`): CommittedEntry {
  const entry = {
    version: version as Version,
    writeId: writeId as WriteId,
    by: 'a',
    at: 0,
    change: {kind: 'ended' as const, members: [`m${version}` as MemberId]},
  };
  return {entry, revision: 100 + version};
}

function row(each: CommittedEntry, revision = each.revision): Row {
  return {key: KEYS.log(each.entry.version), revision, value: textOf(each)};
}

const OWN = [committed(4), committed(5), committed(6)];

/** Each case guards against going on from entries that the log doesn't have. */
const CASES = [
  {name: 'all', rows: OWN.map(each => row(each)), kind: 'same'},
  {name: 'all, put back', rows: OWN.map(each => row(each, 9)), kind: 'same'},
  {name: 'the first two', rows: [row(OWN[0]), row(OWN[1])], kind: 'lacks'},
  {
    name: 'another last one',
    rows: [row(OWN[0]), row(OWN[1]), row(committed(6, 'b/6'))],
    kind: 'contradicts',
  },
  {
    name: 'none in common',
    rows: [row(committed(3))],
    kind: 'contradicts',
  },
  {
    name: 'a gap',
    rows: [row(OWN[0]), row(OWN[2])],
    kind: 'same',
  },
  {
    name: 'only later ones',
    rows: [row(committed(9))],
    kind: 'contradicts',
  },
] as const;

for (const {name, rows, kind} of CASES) {
  test(`a log that has ${name}: ${kind}`, t => {
    t.is(compareLog(OWN, rows).kind, kind);
  });
}

test('lost entries are written in order, byte for byte, if still absent', t => {
  const text = `${textOf(OWN[1])} `;
  const own = [OWN[0], {...OWN[1], text}, OWN[2]];
  const lost = {after: 4 as Version, revision: 7};
  const {checks, puts} = buildRestoringWrite(KEYS, 'w' as WriteId, own, lost);
  t.deepEqual(checks, [
    {key: KEYS.log(4), revision: 7},
    {key: KEYS.log(5), revision: 0},
    {key: KEYS.log(6), revision: 0},
  ]);
  const logPuts = puts.filter(put => put.key.startsWith('w/log/'));
  t.deepEqual(
    logPuts.map(put => put.value),
    [text, textOf(OWN[2])],
  );
  t.is(puts.length, 4);
});

test('a member learns that an entry after its own ends it', t => {
  const rows = [...OWN, committed(7)].map(each => row(each));
  t.true(endsMember(rows, 6 as Version, 'm7'));
  t.false(endsMember(rows, 6 as Version, 'm6'));
});
