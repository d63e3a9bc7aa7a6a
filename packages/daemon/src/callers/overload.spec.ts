/** @fileoverview Tests of overload detection by event loop lag. */

import test from 'ava';

import {OverloadDetector} from './overload.js';

const INTERVAL_MS = 50;

const CASES: ReadonlyArray<{
  name: string;
  /** Delay of each timer event, in milliseconds. */
  late: readonly number[];
  pending: number;
  rejects: boolean;
}> = [
  {name: 'timers on time', late: [0, 0, 0], pending: 5000, rejects: false},
  {
    name: 'one late timer event',
    late: [0, 200, 0],
    pending: 5000,
    rejects: false,
  },
  {
    name: 'several late timer events',
    late: [200, 200, 200, 200],
    pending: 5000,
    rejects: true,
  },
  {
    name: 'late timer events, few pending requests',
    late: [200, 200, 200, 200],
    pending: 3,
    rejects: false,
  },
  {
    name: 'timers on time again',
    late: [200, 200, 200, 200, 0, 0, 0, 0],
    pending: 5000,
    rejects: false,
  },
];

for (const {name, late, pending, rejects} of CASES) {
  test(`${name}: ${rejects ? 'rejects' : 'accepts'} requests`, t => {
    const detector = new OverloadDetector(INTERVAL_MS);
    let now = 0;
    detector.recordTick(now);
    for (const each of late) {
      now += INTERVAL_MS + each;
      detector.recordTick(now);
    }
    t.is(detector.shouldReject(pending), rejects);
  });
}
