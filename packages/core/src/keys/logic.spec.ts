/** @fileoverview Tests of the mapping from keys to slices. */

import test from 'ava';

import {hashKey, sliceByHash} from './logic.js';

const CASES: ReadonlyArray<{key: string; slices: number}> = [
  {key: '', slices: 1},
  {key: 'dancer-1', slices: 64},
  {key: 'ñandú', slices: 131072},
];

for (const {key, slices} of CASES) {
  test(`key "${key}" maps to one of ${slices} slices`, t => {
    const slice = sliceByHash(key, slices);
    t.true(Number.isInteger(slice));
    t.true(slice >= 0 && slice < slices);
    t.is(slice, sliceByHash(key, slices));
  });
}

test('keys are distributed evenly over the slices', t => {
  const counts = new Array<number>(16).fill(0);
  for (let i = 0; i < 16000; i++) counts[sliceByHash(`key-${i}`, 16)]++;
  t.true(Math.min(...counts) > 800);
  t.true(Math.max(...counts) < 1200);
  t.not(hashKey('a'), hashKey('b'));
});
