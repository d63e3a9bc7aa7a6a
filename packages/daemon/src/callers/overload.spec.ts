/** @fileoverview Tests of overload detection by event loop lag. */

import test from 'ava';

import {OverloadDetector} from './overload.js';

const INTERVAL_MS = 50;

const CASES: ReadonlyArray<{
  name: string;
  /** Delay of each timer event, in milliseconds. */
  late: readonly number[];
  pending: number;
  refuses: boolean;
}> = [
  {name: 'timers on time', late: [0, 0, 0], pending: 5000, refuses: false},
  {
    name: 'one late timer event',
    late: [0, 200, 0],
    pending: 5000,
    refuses: false,
  },
  {
    name: 'several late timer events',
    late: [200, 200, 200, 200],
    pending: 5000,
    refuses: true,
  },
  {
    name: 'late timer events, few pending requests',
    late: [200, 200, 200, 200],
    pending: 3,
    refuses: false,
  },
  {
    name: 'timers on time again',
    late: [200, 200, 200, 200, 0, 0, 0, 0],
    pending: 5000,
    refuses: false,
  },
];

for (const {name, late, pending, refuses} of CASES) {
  test(`${name}: ${refuses ? 'rejects' : 'accepts'} requests`, t => {
    const pressure = new OverloadDetector(INTERVAL_MS);
    let now = 0;
    pressure.recordTick(now);
    for (const each of late) {
      now += INTERVAL_MS + each;
      pressure.recordTick(now);
    }
    t.is(pressure.shouldReject(pending), refuses);
  });
}
