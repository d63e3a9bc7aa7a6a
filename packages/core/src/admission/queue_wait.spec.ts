/** @fileoverview Tests of the time that work waits in the queue of a server. */

import test from 'ava';

import type {AttemptId} from '../ids/types.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import {makeAnnouncement} from '../testing/announcements.js';
import {
  admitOrQueue,
  applyAnnouncement,
  createAdmission,
  recordCompletion,
  recordStart,
} from './logic.js';
import type {Admission} from './types.js';

const SLOTS = 20;
const RUN_MS = 22;
/** Time at which the burst arrives, in milliseconds. */
const BURST_AT = 10_000;

function makeUnused(): Admission {
  const admission = createAdmission(DEFAULT_TUNING.admission);
  applyAnnouncement(admission, makeAnnouncement('i1', {slots: SLOTS}), 0);
  return admission;
}

/** Completes one run; returns the time of its end. */
function runOnce(admission: Admission, startedAt: number, runMs: number) {
  recordStart(admission, 'interactive', startedAt);
  const run = {
    priority: 'interactive',
    latencyClass: 'r',
    startedAt,
  } as const;
  recordCompletion(admission, run, startedAt + runMs);
  return startedAt + runMs;
}

/** A server with little work so far: its limit is 3 of 20 slots. */
function makeLightlyUsed(): Admission {
  const admission = makeUnused();
  let startedAt = 0;
  while (admission.limit < 3) {
    startedAt = runOnce(admission, startedAt, RUN_MS);
  }
  return admission;
}

function fillSlots(admission: Admission, now: number): void {
  while (admission.running < admission.limit) {
    recordStart(admission, 'interactive', now);
  }
}

/** Requests that arrive at the same time. */
interface Burst {
  readonly requests: number;
  readonly shared: boolean;
  readonly now: number;
  /** Time left until their deadlines, in milliseconds. */
  readonly leftMs?: number;
}

/** Returns how many of a number of requests are rejected. */
function countRefused(
  admission: Admission,
  {requests, shared, now, leftMs = 10_000}: Burst,
): number {
  let refused = 0;
  for (let i = 0; i < requests; i++) {
    const request = {
      attempt: `${now}/${i}` as AttemptId,
      priority: 'interactive',
      deadline: now + leftMs,
      shared,
      urgency: 0,
      objectiveMs: 0,
    } as const;
    if (admitOrQueue(admission, request, now) === 'refuse') refused += 1;
  }
  return refused;
}

const BURSTS = [
  {title: 'a burst of keyed work waits', shared: false, refused: 0},
  // 125 ms at 3 runs of 22 ms each: 17 waits are shorter, and one is as long.
  {title: 'a burst of shared work goes elsewhere', shared: true, refused: 22},
];

for (const {title, shared, refused} of BURSTS) {
  test(`${title} while the limit grows`, t => {
    const admission = makeLightlyUsed();
    fillSlots(admission, BURST_AT);
    const burst = {requests: 40, shared, now: BURST_AT};
    t.is(countRefused(admission, burst), refused);
  });
}

test('keyed work behind a standing queue waits no longer than before', t => {
  const admission = makeLightlyUsed();
  const {burstQueueMs, rampQueueMs} = DEFAULT_TUNING.admission;
  fillSlots(admission, BURST_AT);
  const burst = {requests: 40, shared: false, now: BURST_AT};
  countRefused(admission, burst);
  const now = BURST_AT + burstQueueMs + 1;
  t.is(countRefused(admission, {...burst, now}), 40);
  admission.queues.interactive.length = 1;
  t.is(countRefused(admission, {...burst, requests: 1, now}), 0);
  t.is(admission.queues.interactive.at(-1)?.expiresAt, now + rampQueueMs);
});

/** Bursts of keyed work at a limit of one, after runs of the times given. */
const FIRST_RUNS = [
  {
    title: 'all that can end by their deadlines wait',
    runs: [100],
    requests: 25,
    // One waits for each 100 ms before the last run must start.
    refused: 5,
    leftMs: 2000,
  },
  {
    title: 'one slow first run does not stand for all',
    runs: [250, 20, 20, 20, 20],
    requests: 30,
    refused: 0,
    leftMs: 2000,
  },
  {
    title: 'what would expire in the queue is rejected at once',
    runs: [100],
    requests: 15,
    refused: 9,
    leftMs: 500,
  },
];

for (const {title, runs, requests, refused, leftMs} of FIRST_RUNS) {
  test(`first runs of ${runs.join(', ')} ms: ${title}`, t => {
    const admission = makeUnused();
    let startedAt = 0;
    for (const runMs of runs) startedAt = runOnce(admission, startedAt, runMs);
    fillSlots(admission, BURST_AT);
    const burst = {requests, shared: false, now: BURST_AT, leftMs};
    t.is(countRefused(admission, burst), refused);
  });
}
