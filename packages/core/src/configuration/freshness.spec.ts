/** @fileoverview Tests of revocation at daemons that can't learn of it. */

import test from 'ava';

import type {Instant} from '../clock/types.js';
import {
  isFreshEnough,
  createFreshness,
  recordAnswer,
  recordEvent,
  recordPeerConfirmation,
} from './freshness.js';
import type {ConfigurationFreshness} from './freshness.js';

const REVOKE_MS = 5000;
const TRANSIT_MS = 1500;
const WALL_MS = 1_000_000;

type Step =
  /** Events each 100 ms, as of a running process. */
  | {readonly kind: 'run'; readonly ms: number}
  /** The process is suspended; only the wall clock goes on. */
  | {readonly kind: 'suspend'; readonly ms: number}
  /** The process is slow; both clocks go on. */
  | {readonly kind: 'stall'; readonly ms: number}
  | {readonly kind: 'answer'; readonly ageMs: number}
  | {readonly kind: 'confirmation'; readonly ageMs: number};

const run = (ms: number): Step => ({kind: 'run', ms});
const suspend = (ms: number): Step => ({kind: 'suspend', ms});
const stall = (ms: number): Step => ({kind: 'stall', ms});
const answer = (ageMs: number): Step => ({kind: 'answer', ageMs});
const confirmation = (ageMs: number): Step => ({kind: 'confirmation', ageMs});

const CASES: ReadonlyArray<{
  name: string;
  steps: readonly Step[];
  revokeMs?: number;
  accepts: boolean;
}> = [
  {name: 'nothing is known', steps: [run(100)], accepts: false},
  {name: 'no time is set', steps: [], revokeMs: 0, accepts: true},
  {name: 'the source answered', steps: [answer(100)], accepts: true},
  {
    name: 'the answer is nearly too old',
    steps: [answer(100), run(4500)],
    accepts: true,
  },
  {
    name: 'the answer is too old',
    steps: [answer(100), run(4700)],
    accepts: false,
  },
  {
    name: 'a peer confirmed',
    steps: [confirmation(2000), run(1000)],
    accepts: true,
  },
  {
    name: 'the confirmation may have been under way for long',
    steps: [confirmation(2000), run(1300)],
    accepts: false,
  },
  {
    name: 'an older confirmation follows an answer',
    steps: [answer(0), confirmation(3000), run(4000)],
    accepts: true,
  },
  {
    name: 'the process was suspended',
    steps: [answer(0), suspend(6000)],
    accepts: false,
  },
  {
    name: 'a confirmation waited while the process was suspended',
    steps: [answer(0), suspend(6000), confirmation(0)],
    accepts: false,
  },
  {
    name: 'a confirmation waited while the process was slow',
    steps: [stall(6000), confirmation(0)],
    accepts: false,
  },
  {
    name: 'a confirmation follows some time after a suspension',
    steps: [suspend(6000), run(1100), confirmation(0)],
    accepts: true,
  },
];

for (const {name, steps, revokeMs = REVOKE_MS, accepts} of CASES) {
  test(`keys are ${accepts ? 'accepted' : 'refused'}: ${name}`, t => {
    const freshness = createFreshness();
    let at: Instant = {monotonic: 0, wall: WALL_MS};
    recordEvent(freshness, at);
    for (const step of steps) at = applyStep(freshness, at, step);
    t.is(isFreshEnough(freshness, {revokeMs}, at), accepts);
  });
}

/** Returns the instant after a step. */
function applyStep(
  freshness: ConfigurationFreshness,
  at: Instant,
  step: Step,
): Instant {
  switch (step.kind) {
    case 'run': {
      let now = at;
      for (let passed = 0; passed < step.ms; passed += 100) {
        now = {monotonic: now.monotonic + 100, wall: now.wall + 100};
        recordEvent(freshness, now);
      }
      return now;
    }
    case 'suspend': {
      const later = {...at, wall: at.wall + step.ms};
      recordEvent(freshness, later);
      return later;
    }
    case 'stall': {
      const monotonic = at.monotonic + step.ms;
      const later = {monotonic, wall: at.wall + step.ms};
      recordEvent(freshness, later);
      return later;
    }
    case 'answer':
      recordAnswer(freshness, at, step.ageMs);
      return at;
    case 'confirmation':
      recordPeerConfirmation(freshness, at, step.ageMs, TRANSIT_MS);
      return at;
  }
}
