/** @fileoverview Tests of the shares of slices. */

import test from 'ava';

import type {Slice} from '../ids/types.js';
import {exceedsShare} from './slice_shares.js';

const HOT = 0 as Slice;
const COLD = 1 as Slice;
const SLOTS = 10;

const CASES: ReadonlyArray<{
  what: string;
  hot: number;
  cold: number;
  coldWaits?: boolean;
  coldUrgency?: number;
  beyond: boolean;
}> = [
  {what: 'a hot slice while a cold one waits', hot: 8, cold: 2, beyond: true},
  {what: 'nobody waits', hot: 8, cold: 2, coldWaits: false, beyond: false},
  {
    what: 'only less urgent ones wait',
    hot: 8,
    cold: 2,
    coldUrgency: 2,
    beyond: false,
  },
  {what: 'slices of equal load', hot: 7, cold: 7, beyond: false},
  {what: 'below the share', hot: 4, cold: 1, beyond: false},
];

// A hot key filled the queue, and its neighbours were refused with it.
for (const {what, hot, cold, coldWaits, coldUrgency, beyond} of CASES) {
  test(`${what}: ${beyond ? 'refused' : 'admitted'}`, t => {
    const running = {slice: HOT, urgency: 1, isQueued: false};
    const waiting = {
      slice: COLD,
      urgency: coldUrgency ?? 1,
      isQueued: coldWaits ?? true,
    };
    const jobs = [
      ...Array.from({length: hot}, () => running),
      ...Array.from({length: cold}, () => waiting),
    ];
    t.is(exceedsShare({slice: HOT, urgency: 1}, jobs, SLOTS), beyond);
    t.false(exceedsShare({slice: COLD, urgency: 1}, jobs, SLOTS));
  });
}
