/** @fileoverview Tests of admission: growth and reset of the limit, queues. */

import test from 'ava';
import fc from 'fast-check';

import type {AttemptId} from '../ids/types.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import {SLOTS, makeAnnouncement} from '../testing/announcements.js';
import type {Priority} from '../workspace/types.js';
import {
  applyAnnouncement,
  createAdmission,
  dequeueExpired,
  dequeueNext,
  admitOrQueue,
  recordCompletion,
  recordRefused,
  recordStart,
} from './logic.js';
import type {Admission} from './types.js';

const POLICY = DEFAULT_TUNING.admission;

function openAdmission(): Admission {
  const admission = createAdmission(POLICY);
  applyAnnouncement(admission, makeAnnouncement('i1'), 0);
  return admission;
}

let clock = 0;

/** Fills every slot with runs of one latency, for a number of rounds. */
function runAll(admission: Admission, rounds: number, latencyMs: number): void {
  for (let round = 0; round < rounds; round++) {
    const startedAt = clock;
    const runs = Math.max(0, admission.limit - admission.running);
    for (let i = 0; i < runs; i++) recordStart(admission, 'interactive', clock);
    clock += latencyMs;
    for (let i = 0; i < runs; i++) {
      const run = {
        priority: 'interactive',
        latencyClass: 'r',
        startedAt,
      } as const;
      recordCompletion(admission, run, clock);
    }
  }
}

function warmAdmission(): Admission {
  const admission = openAdmission();
  runAll(admission, 1000, 6);
  return admission;
}

function submit(
  admission: Admission,
  id: string,
  priority: Priority,
  now: number,
  deadline: number,
) {
  const attempt = id as AttemptId;
  return admitOrQueue(
    admission,
    {attempt, priority, deadline, shared: false, urgency: 0, objectiveMs: 0},
    now,
  );
}

test('nothing is admitted before a server announces itself', t => {
  const admission = createAdmission(POLICY);
  t.is(submit(admission, 'a', 'interactive', 0, 100), 'refuse');
});

test('a new server gets one run at a time', t => {
  const admission = openAdmission();
  t.is(admission.limit, 1);
  t.is(submit(admission, 'a', 'interactive', 0, 100), 'start');
  recordStart(admission, 'interactive', clock);
  t.is(submit(admission, 'b', 'interactive', 0, 100), 'wait');
});

test('the limit grows with completed runs up to the slots', t => {
  const admission = openAdmission();
  runAll(admission, POLICY.growthCompletions + 6, 6);
  t.is(admission.limit, 2);
  runAll(admission, 1000, 6);
  t.is(admission.limit, SLOTS);
  t.false(admission.inSlowStart);
});

test('a few long runs among short ones do not keep the limit low', t => {
  const admission = openAdmission();
  let now = 0;
  for (let round = 0; round < 1500; round++) {
    const startedAt = now;
    const runs = admission.limit;
    for (let i = 0; i < runs; i++) recordStart(admission, 'interactive', clock);
    now += 6;
    for (let i = 0; i < runs; i++) {
      const isLong = (round * 7 + i) % 7 === 0;
      const run = {
        priority: 'interactive',
        latencyClass: 'r',
        startedAt,
      } as const;
      recordCompletion(admission, run, isLong ? startedAt + 120 : now);
    }
  }
  t.is(admission.limit, SLOTS);
});

const LIMIT_CHANGES: ReadonlyArray<{
  name: string;
  cause: (admission: Admission) => void;
  limit: number;
}> = [
  {
    name: 'a new instance',
    cause: admission =>
      applyAnnouncement(admission, makeAnnouncement('i2'), clock),
    limit: 1,
  },
  {
    name: 'a repeated announcement of the same instance',
    cause: admission =>
      applyAnnouncement(admission, makeAnnouncement('i1'), clock),
    limit: SLOTS,
  },
  {
    name: 'a run that the server sheds',
    cause: admission => {
      const startedAt = clock;
      recordStart(admission, 'interactive', clock);
      recordRefused(
        admission,
        {priority: 'interactive', latencyClass: 'r', startedAt},
        clock + 1,
      );
    },
    limit: 1,
  },
  {
    name: 'a refused run that started before the last reset',
    cause: admission => {
      recordStart(admission, 'interactive', clock);
      admission.limitResetAt = clock;
      const startedAt = clock - 1;
      recordRefused(
        admission,
        {priority: 'interactive', latencyClass: 'r', startedAt},
        clock,
      );
    },
    limit: SLOTS,
  },
  {
    name: 'a latency twenty times as high',
    cause: admission => runAll(admission, 2, 120),
    limit: 1,
  },
  {
    name: 'a latency two and a half times as high',
    cause: admission => runAll(admission, 2, 15),
    limit: Math.floor(SLOTS * POLICY.decrease),
  },
  {
    name: 'fewer slots',
    cause: admission =>
      applyAnnouncement(admission, makeAnnouncement('i1', {slots: 3}), clock),
    limit: 3,
  },
  {
    name: 'fewer connections than slots',
    cause: admission =>
      applyAnnouncement(
        admission,
        makeAnnouncement('i1', {connections: 2}),
        clock,
      ),
    limit: 2,
  },
  {
    name: 'an announcement of more slots',
    cause: admission =>
      applyAnnouncement(admission, makeAnnouncement('i1', {slots: 50}), clock),
    limit: SLOTS,
  },
  {
    name: 'no slots for a while',
    cause: admission => {
      applyAnnouncement(admission, makeAnnouncement('i1', {slots: 0}), clock);
      applyAnnouncement(admission, makeAnnouncement('i1'), clock);
    },
    limit: 1,
  },
];

for (const {name, cause, limit} of LIMIT_CHANGES) {
  test(`after ${name} the limit is ${limit}`, t => {
    const admission = warmAdmission();
    cause(admission);
    t.is(admission.limit, limit);
  });
}

test('a refused run makes the next growth of the limit slower', t => {
  const admission = openAdmission();
  recordStart(admission, 'interactive', clock);
  recordRefused(
    admission,
    {priority: 'interactive', latencyClass: 'r', startedAt: 1},
    2,
  );
  runAll(admission, POLICY.growthCompletions + 16, 6);
  t.is(admission.limit, 1);
});

test('attempts expire by the longest queue time or their deadline', t => {
  const admission = warmAdmission();
  for (let i = 0; i < SLOTS; i++) recordStart(admission, 'interactive', clock);
  submit(admission, 'a', 'interactive', 0, 1000);
  submit(admission, 'b', 'interactive', 5, 1000);
  submit(admission, 'c', 'interactive', 5, 7);
  t.deepEqual(dequeueExpired(admission, POLICY.queueMs - 1), ['c']);
  t.deepEqual(dequeueExpired(admission, POLICY.queueMs), ['a']);
});

/** Mean run time, age of the queue, whether shared, and the longest wait. */
const WAITS: ReadonlyArray<readonly [number, number, boolean, number]> = [
  [6, 0, false, POLICY.queueMs],
  [6, 500, false, POLICY.queueMs],
  [6, 500, true, POLICY.queueMs / 2],
  [100, 0, false, 100],
  [100, 0, true, 50],
  [100, 500, false, POLICY.queueMs],
];

for (const [meanMs, lastsMs, shared, waitMs] of WAITS) {
  const kind = shared ? 'shared' : 'keyed';
  test(`${kind} runs of ${meanMs} ms, queue for ${lastsMs} ms: ${waitMs}`, t => {
    const admission = warmAdmission();
    admission.meanRunMs = meanMs;
    for (let i = 0; i < SLOTS; i++) {
      recordStart(admission, 'interactive', clock);
    }
    const request = {
      priority: 'interactive',
      deadline: 1e9,
      shared,
      urgency: 0,
      objectiveMs: 0,
    } as const;
    admitOrQueue(admission, {...request, attempt: 'a' as AttemptId}, clock);
    const now = clock + lastsMs;
    admission.meanRunMs = lastsMs > 0 ? 0.01 : meanMs;
    admitOrQueue(admission, {...request, attempt: 'b' as AttemptId}, now);
    t.is(
      admission.queues.interactive[lastsMs > 0 ? 1 : 0].expiresAt,
      now + waitMs,
    );
  });
}

test('an attempt that would expire in the queue is rejected immediately', t => {
  const admission = warmAdmission();
  for (let i = 0; i < SLOTS; i++) recordStart(admission, 'interactive', clock);
  let waiting = 0;
  while (submit(admission, 'a', 'interactive', 0, 1000) === 'wait') {
    waiting += 1;
  }
  const servedInTime = (POLICY.queueMs / 6) * SLOTS;
  t.true(waiting >= Math.floor(servedInTime));
  t.true(waiting <= Math.ceil(servedInTime) + 1);
});

test('the length of the queue is bounded, however short the runs', t => {
  const admission = warmAdmission();
  admission.meanRunMs = 0.01;
  for (let i = 0; i < SLOTS; i++) recordStart(admission, 'interactive', clock);
  const room = SLOTS * POLICY.queueFactor;
  for (let i = 0; i < room; i++) {
    t.is(submit(admission, `${i}`, 'interactive', 0, 1000), 'wait');
  }
  t.is(submit(admission, 'z', 'interactive', 0, 1000), 'refuse');
});

test('interactive work goes first; deferrable work is limited to a share', t => {
  const admission = warmAdmission();
  const share = SLOTS * POLICY.deferrableShare;
  for (let i = 0; i < SLOTS; i++) recordStart(admission, 'interactive', clock);
  for (let i = 0; i < 5; i++) {
    submit(admission, `d${i}`, 'deferrable', 0, 1000);
  }
  submit(admission, 'i', 'interactive', 0, 1000);
  admission.running = 0;
  const started: string[] = [];
  for (
    let next = dequeueNext(admission, clock);
    next !== null;
    next = dequeueNext(admission, clock)
  ) {
    recordStart(admission, next.priority, clock);
    started.push(next.waiting.attempt);
  }
  t.deepEqual(started, ['i', 'd0', 'd1'].slice(0, 1 + share));
});

test('random events never lead to more runs than slots or connections', t => {
  const step = fc.record({
    kind: fc.constantFrom('offer', 'offer', 'end', 'end', 'shed', 'announce'),
    deferrable: fc.boolean(),
    slots: fc.integer({min: 1, max: 12}),
    latencyMs: fc.integer({min: 1, max: 200}),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 400}), steps => {
      const admission = openAdmission();
      let now = 0;
      const running: Array<'interactive' | 'deferrable'> = [];
      const start = (priority: 'interactive' | 'deferrable') => {
        recordStart(admission, priority, clock);
        running.push(priority);
        if (admission.running > admission.maxLimit) {
          throw new Error('above the slots');
        }
      };
      for (const {kind, deferrable, slots, latencyMs} of steps) {
        now += 1;
        const startedAt = now - latencyMs;
        if (kind === 'announce') {
          applyAnnouncement(admission, makeAnnouncement('i1', {slots}), now);
        }
        if (kind === 'offer') {
          const priority = deferrable ? 'deferrable' : 'interactive';
          const id = `${now}`;
          if (submit(admission, id, priority, now, now + 50) === 'start') {
            start(priority);
          }
        }
        const over = kind === 'end' || kind === 'shed' ? running.shift() : null;
        if (over) {
          const run = {priority: over, latencyClass: 'r', startedAt};
          if (kind === 'end') recordCompletion(admission, run, now);
          else recordRefused(admission, run, now);
        }
        dequeueExpired(admission, now);
        for (
          let next = dequeueNext(admission, clock);
          next;
          next = dequeueNext(admission, clock)
        ) {
          start(next.priority);
        }
      }
    }),
    {seed: 11, numRuns: 300},
  );
  t.pass();
});

/** Admission for a server that reports its cold start. */
function reportingAdmission(remainingMs: number, perSecond: number): Admission {
  const admission = createAdmission(POLICY);
  const coldStart = {remainingMs, perSecond};
  applyAnnouncement(admission, makeAnnouncement('i1', {coldStart}), 0);
  return admission;
}

test('a warm server that reports cold starts gets all slots immediately', t => {
  t.is(reportingAdmission(0, 9).limit, SLOTS);
});

const START_COUNTS: ReadonlyArray<[remainingMs: number, started: number]> = [
  [0, SLOTS],
  [5000, 2],
  [500, SLOTS],
];

for (const [remainingMs, started] of START_COUNTS) {
  test(`cold for ${remainingMs} ms: ${started} starts in the first 1.001 s`, t => {
    const admission = reportingAdmission(remainingMs, 1);
    let count = 0;
    for (const now of [0, 900, 1001]) {
      for (let i = 0; i < SLOTS; i++) {
        const request = {
          attempt: `${now}/${i}` as AttemptId,
          priority: 'interactive',
          deadline: 1e9,
          shared: false,
          urgency: 0,
          objectiveMs: 0,
        } as const;
        if (admitOrQueue(admission, request, now) !== 'start') continue;
        recordStart(admission, 'interactive', now);
        count += 1;
      }
      admission.queues.interactive.length = 0;
    }
    t.is(count, started);
  });
}

test('a slot is reserved for more urgent work once that is frequent', t => {
  const admission = reportingAdmission(0, 9);
  const submit = (urgency: number, now: number): string => {
    const priority = 'interactive';
    const attempt = `${urgency}/${now}` as AttemptId;
    const claim = {attempt, priority, urgency, objectiveMs: 100} as const;
    return admitOrQueue(
      admission,
      {...claim, deadline: 1e9, shared: false},
      now,
    );
  };
  for (let now = 0; now <= 1200; now += 100) submit(1, now);
  for (let i = 0; i < SLOTS - 1; i++) {
    recordStart(admission, 'interactive', 1200);
  }
  t.is(submit(2, 1201), 'wait');
  t.is(submit(1, 1202), 'wait');
  admission.queues.interactive.length = 0;
  t.is(submit(1, 1203), 'start');
});

test('the queue is ordered by urgency, then by the end of the objective', t => {
  const admission = reportingAdmission(0, 9);
  for (let i = 0; i < SLOTS; i++) recordStart(admission, 'interactive', 0);
  const asked = [
    {attempt: 'late', urgency: 2, objectiveMs: 900},
    {attempt: 'soon', urgency: 2, objectiveMs: 400},
    {attempt: 'urgent', urgency: 1, objectiveMs: 900},
  ];
  for (const {attempt, urgency, objectiveMs} of asked) {
    const priority = 'interactive';
    const common = {priority, deadline: 1e9, shared: false} as const;
    const id = attempt as AttemptId;
    admitOrQueue(admission, {...common, attempt: id, urgency, objectiveMs}, 0);
  }
  t.deepEqual(
    admission.queues.interactive.map(({attempt}) => String(attempt)),
    ['urgent', 'soon', 'late'],
  );
});
