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

const STALLS: ReadonlyArray<{
  name: string;
  late: readonly number[];
  stalled: boolean;
}> = [
  {name: 'no delay', late: [0, 0, 0], stalled: false},
  {name: 'a single pause of a second', late: [1000, 0], stalled: false},
  {name: 'seconds of delays', late: [800, 800, 800, 800], stalled: true},
  {
    name: 'delays that have become shorter',
    late: [800, 800, 800, 800, 300],
    stalled: true,
  },
  {
    name: 'delays that have ended',
    late: [800, 800, 800, 800, 0, 0, 0, 0],
    stalled: false,
  },
];

for (const {name, late, stalled} of STALLS) {
  test(`after ${name}, the loop is ${stalled ? '' : 'not '}stalled`, t => {
    const detector = new OverloadDetector(INTERVAL_MS);
    let now = 0;
    t.is(detector.recordTick(now), null);
    for (const each of late) {
      now += INTERVAL_MS + each;
      t.is(detector.recordTick(now), each);
    }
    t.is(detector.isStalled, stalled);
  });
}
