/** @fileoverview Tests of header forwarding and conversion. */

import test from 'ava';

import {endToEndHeaders, toHeaderRecord} from './headers.js';

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
