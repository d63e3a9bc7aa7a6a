/** @fileoverview Tests of header forwarding and conversion. */

import test from 'ava';

import {
  areValidHeaders,
  endToEndHeaders,
  isFinalStatus,
  isValidPath,
  toHeaderRecord,
} from './headers.js';

const CASES: ReadonlyArray<{
  name: string;
  headers: Record<string, string | string[]>;
  expected: ReadonlyArray<[string, string]>;
}> = [
  {name: 'ordinary', headers: {accept: '*/*'}, expected: [['accept', '*/*']]},
  {
    name: 'hop-by-hop',
    headers: {'transfer-encoding': 'chunked', host: 'a', te: 'x', a: '1'},
    expected: [['a', '1']],
  },
  {
    name: 'named by the connection header',
    headers: {connection: 'close, X-Hop', 'x-hop': '1', b: '2'},
    expected: [['b', '2']],
  },
  {
    name: 'with the reserved prefix',
    headers: {'x-jackdawfall-generation': '99', c: '3'},
    expected: [['c', '3']],
  },
  {
    name: 'repeated',
    headers: {'set-cookie': ['a=1', 'b=2']},
    expected: [
      ['set-cookie', 'a=1'],
      ['set-cookie', 'b=2'],
    ],
  },
];

for (const {name, headers, expected} of CASES) {
  test(`end-to-end headers: ${name}`, t => {
    const found = endToEndHeaders(headers);
    t.deepEqual(
      found.map(header => [header.name, header.value]),
      expected.map(pair => [...pair]),
    );
  });
}

test('repeated headers become an array', t => {
  const record = toHeaderRecord([
    {name: 'a', value: '1'},
    {name: 'b', value: '2'},
    {name: 'a', value: '3'},
  ]);
  t.deepEqual(record, {a: ['1', '3'], b: '2'});
});

const PATHS: ReadonlyArray<{path: string; valid: boolean}> = [
  {path: '/a/b?c=%20&d=~', valid: true},
  {path: '/caf\u00e9', valid: true},
  {path: '/a\tb', valid: false},
  {path: '/a\fb', valid: false},
  {path: '/a b', valid: false},
];

for (const {path, valid} of PATHS) {
  test(`path ${JSON.stringify(path)}: valid=${valid}`, t => {
    t.is(isValidPath(path), valid);
  });
}

const STATUSES: ReadonlyArray<[number, boolean]> = [
  [0, false],
  [20, false],
  [100, false],
  [199, false],
  [200, true],
  [599, true],
  [600, false],
  [999, false],
];

for (const [status, final] of STATUSES) {
  test(`status ${status}: final=${final}`, t => {
    t.is(isFinalStatus(status), final);
  });
}

const HEADERS: ReadonlyArray<{name: string; value: string; valid: boolean}> = [
  {name: 'x-a', value: 'b\tc', valid: true},
  {name: 'x-a', value: '\u00e9', valid: true},
  {name: 'x-a ', value: 'b', valid: false},
  {name: 'x-a', value: 'b\r\nc: d', valid: false},
];

for (const {name, value, valid} of HEADERS) {
  test(`header ${JSON.stringify([name, value])}: valid=${valid}`, t => {
    t.is(areValidHeaders([{name, value}]), valid);
  });
}
