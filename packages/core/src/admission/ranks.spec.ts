/** @fileoverview Tests of the slot that is reserved for more urgent work. */

import test from 'ava';

import {DEFAULT_TUNING} from '../settings/defaults.js';
import {createAdmission} from './logic.js';
import {recordArrival, reservedSlots} from './ranks.js';
import type {Admission} from './types.js';

const CASES: ReadonlyArray<{
  name: string;
  limit: number;
  meanRunMs: number;
  /** Latency objective of the more urgent work. */
  objectiveMs: number;
  reserved: number;
}> = [
  {
    name: 'a slot becomes free every 33 ms, objective 153 ms',
    limit: 6,
    meanRunMs: 200,
    objectiveMs: 153,
    reserved: 0,
  },
  {
    name: 'a slot becomes free every 120 ms, objective 208 ms',
    limit: 4,
    meanRunMs: 480,
    objectiveMs: 208,
    reserved: 1,
  },
  {
    name: 'run times are not known',
    limit: 6,
    meanRunMs: 0,
    objectiveMs: 153,
    reserved: 1,
  },
];

function createWarmAdmission(limit: number, meanRunMs: number): Admission {
  const admission = createAdmission(DEFAULT_TUNING.admission);
  admission.limit = limit;
  admission.maxLimit = limit;
  admission.meanRunMs = meanRunMs;
  admission.cold = {warmAt: 0, perSecond: 1};
  return admission;
}

// Requests were rejected while exactly one slot was free.
for (const {name, limit, meanRunMs, objectiveMs, reserved} of CASES) {
  test(`${name}: ${reserved} reserved`, t => {
    const admission = createWarmAdmission(limit, meanRunMs);
    const urgent = {priority: 'interactive', urgency: 0, objectiveMs} as const;
    for (let now = 0; now <= 1200; now += 100) {
      recordArrival(admission, urgent, now);
    }
    const other = {...urgent, urgency: 1, objectiveMs: 608};
    t.is(reservedSlots(admission, other, 1200), reserved);
    t.is(reservedSlots(admission, urgent, 1200), 0);
  });
}
