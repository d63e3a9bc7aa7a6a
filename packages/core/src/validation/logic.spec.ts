/** @fileoverview Tests of documents that are nested too deeply. */

import test from 'ava';
import {z} from 'zod';

import {parseDocument} from './logic.js';

const DEEP = 10_000;

// A deeply nested row could be parsed, and ended the daemon that passed it on.
const CASES: ReadonlyArray<{name: string; text: string; valid: boolean}> = [
  {name: 'arrays', text: '['.repeat(DEEP) + ']'.repeat(DEEP), valid: false},
  {
    name: 'objects',
    text: '{"a":'.repeat(DEEP) + '1' + '}'.repeat(DEEP),
    valid: false,
  },
  {name: 'brackets in a string', text: `"${'['.repeat(DEEP)}"`, valid: true},
  {name: 'escaped quotes', text: `"\\"${'['.repeat(DEEP)}"`, valid: true},
  {name: 'many siblings', text: `[${'[],'.repeat(DEEP)}[]]`, valid: true},
];

for (const {name, text, valid} of CASES) {
  test(`nesting of ${name}: valid=${valid}`, t => {
    t.is(parseDocument(text, z.unknown()).kind, valid ? 'ok' : 'invalid');
  });
}
