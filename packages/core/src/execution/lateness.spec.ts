/** @fileoverview Tests of the lateness of the process. */

import test from 'ava';

import {DEFAULTS} from '../settings/defaults.js';
import {isLate, noteTick} from './lateness.js';
import type {Turn} from './state.js';
import {createExecution} from './state.js';

const TICK_MS = DEFAULTS.loop.tickMs;

const CASES: ReadonlyArray<{
  name: string;
  /** Times between ticks, in milliseconds. */
  gaps: readonly number[];
  /** Time from the last tick to the question, in milliseconds. */
  sinceMs: number;
  late: boolean;
}> = [
  {name: 'no tick yet', gaps: [], sinceMs: 0, late: false},
  {name: 'ticks in time', gaps: [TICK_MS, TICK_MS], sinceMs: 10, late: false},
  {name: 'a tick just late', gaps: [TICK_MS, 200], sinceMs: 10, late: true},
  {name: 'a tick that is due', gaps: [TICK_MS], sinceMs: 90, late: true},
  {
    name: 'a late tick long ago',
    gaps: [200, ...new Array<number>(12).fill(TICK_MS)],
    sinceMs: 10,
    late: false,
  },
];

for (const {name, gaps, sinceMs, late} of CASES) {
  test(`${name}: ${late ? 'late' : 'in time'}`, t => {
    const state = createExecution(DEFAULTS);
    let now = 1000;
    noteTick({state, now} as Turn);
    for (const gap of gaps) {
      now += gap;
      noteTick({state, now} as Turn);
    }
    t.is(isLate({state, now: now + sinceMs} as Turn), late);
  });
}
