/** @fileoverview Tests of reading log rows, which may have other writers. */

import test from 'ava';

import type {Row} from '../store/types.js';
import {createStoreKeys, parseLogRow, serializeEntry} from './logic.js';
import type {Entry} from './types.js';

const KEYS = createStoreKeys('w');

const ENTRY = {
  version: 7,
  writeId: 'x',
  by: 'a#1',
  at: 1,
  change: {
    kind: 'joined',
    member: 'a#1',
    zone: 'z',
    address: '10.0.0.1:7600',
    operators: null,
    replaces: null,
  },
};

function rowOf(value: string, key = KEYS.log(7)): Row {
  return {key, value, revision: 3};
}

test('an entry is read as it was written', t => {
  const entry = ENTRY as unknown as Entry;
  const committed = parseLogRow(rowOf(serializeEntry(entry)));
  t.deepEqual(committed, {entry, revision: 3});
});

test('fields of a later release are kept', t => {
  const later = {...ENTRY, change: {...ENTRY.change, rack: 'r1'}};
  const committed = parseLogRow(rowOf(JSON.stringify(later)));
  t.deepEqual(committed?.entry, later as unknown as Entry);
});

// Each of these rows ended every daemon that read the log, again and again.
const UNREADABLE: ReadonlyArray<{name: string; value: string}> = [
  {name: 'no JSON', value: '\u0000{'},
  {name: 'deep nesting', value: '['.repeat(10_000) + ']'.repeat(10_000)},
  {name: 'another version', value: JSON.stringify({...ENTRY, version: 8})},
  {name: 'no change', value: JSON.stringify({...ENTRY, change: null})},
  {
    name: 'an unknown kind',
    value: JSON.stringify({...ENTRY, change: {kind: 'renamed'}}),
  },
  {
    name: 'a port out of range',
    value: JSON.stringify({
      ...ENTRY,
      change: {...ENTRY.change, address: '10.0.0.1:99999'},
    }),
  },
  {
    name: 'a count that is too large',
    value: JSON.stringify({
      ...ENTRY,
      change: {
        kind: 'moving',
        service: 's',
        moves: [{first: 0, count: 1e12, to: 'a#1'}],
      },
    }),
  },
  {
    name: 'a configuration that is none',
    value: JSON.stringify({
      ...ENTRY,
      change: {kind: 'configured', number: 1, document: '{}'},
    }),
  },
];

for (const {name, value} of UNREADABLE) {
  test(`a log row with ${name} changes nothing`, t => {
    const committed = parseLogRow(rowOf(value));
    t.is(Number(committed?.entry.version), 7);
    t.deepEqual(committed?.entry.change, {kind: 'unreadable'});
  });
}

test('a row without a version in its key is no entry', t => {
  t.is(parseLogRow(rowOf(JSON.stringify(ENTRY), 'w/log/odd')), null);
});
