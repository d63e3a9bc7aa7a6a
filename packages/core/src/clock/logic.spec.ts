/** @fileoverview Tests of the time remaining by both clocks. */

import test from 'ava';

import {timeLeftMs} from './logic.js';

const UNTIL = {monotonic: 2000, wall: 102_000};

const CASES: ReadonlyArray<{
  name: string;
  at: {monotonic: number; wall: number};
  leftMs: number;
}> = [
  {
    name: 'both clocks agree',
    at: {monotonic: 500, wall: 100_500},
    leftMs: 1500,
  },
  {
    name: 'the monotonic clock stopped',
    at: {monotonic: 500, wall: 101_800},
    leftMs: 200,
  },
  {
    name: 'the wall clock jumped back',
    at: {monotonic: 1900, wall: 90_000},
    leftMs: 100,
  },
  {
    name: 'the wall clock has passed the instant',
    at: {monotonic: 500, wall: 102_300},
    leftMs: -300,
  },
];

for (const {name, at, leftMs} of CASES) {
  test(`${name}: ${leftMs} ms are left`, t => {
    t.is(timeLeftMs(UNTIL, at), leftMs);
  });
}
