/** @fileoverview Tests of the lateness of the loop. */

import test from 'ava';

import {OverloadDetector} from './overload.js';

const EVERY_MS = 50;

const CASES: ReadonlyArray<{
  name: string;
  /** Lateness of each firing of the timer, in milliseconds. */
  late: readonly number[];
  pending: number;
  refuses: boolean;
}> = [
  {name: 'a timer in time', late: [0, 0, 0], pending: 5000, refuses: false},
  {name: 'one late timer', late: [0, 200, 0], pending: 5000, refuses: false},
  {
    name: 'timers late for a while',
    late: [200, 200, 200, 200],
    pending: 5000,
    refuses: true,
  },
  {
    name: 'timers late, few requests open',
    late: [200, 200, 200, 200],
    pending: 3,
    refuses: false,
  },
  {
    name: 'timers in time again',
    late: [200, 200, 200, 200, 0, 0, 0, 0],
    pending: 5000,
    refuses: false,
  },
];

for (const {name, late, pending, refuses} of CASES) {
  test(`${name}: ${refuses ? 'refuses' : 'takes'} requests`, t => {
    const pressure = new OverloadDetector(EVERY_MS);
    let now = 0;
    pressure.recordTick(now);
    for (const each of late) {
      now += EVERY_MS + each;
      pressure.recordTick(now);
    }
    t.is(pressure.shouldReject(pending), refuses);
  });
}
