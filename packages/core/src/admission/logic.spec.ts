/** @fileoverview Tables of admission: ramp, relapse, shedding, queues. */

import test from 'ava';
import fc from 'fast-check';

import type {AttemptId, InstanceId} from '../ids/types.js';
import type {Announcement} from '../loop/types.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import type {Priority} from '../workspace/types.js';
import {
  applyAnnouncement,
  recordStart,
  recordCompletion,
  createAdmission,
  offer,
  recordShed,
  dequeueExpired,
  dequeueNext,
} from './logic.js';
import type {Admission} from './types.js';

const POLICY = DEFAULT_TUNING.admission;
const SLOTS = 8;

function announcement(instance: string, changes: Partial<Announcement> = {}) {
  return {
    instance: instance as InstanceId,
    service: 's' as never,
    address: '' as never,
    slots: SLOTS,
    connections: 100,
    checksGrants: false,
    coldStart: null,
    leaving: false,
    ...changes,
  };
}

function openGate(): Admission {
  const gate = createAdmission(POLICY);
  applyAnnouncement(gate, announcement('i1'), 0);
  return gate;
}

let clock = 0;

/** Keeps the gate full with runs of one latency. */
function work(gate: Admission, rounds: number, latencyMs: number): void {
  for (let round = 0; round < rounds; round++) {
    const startedAt = clock;
    const runs = Math.max(0, gate.limit - gate.running);
    for (let i = 0; i < runs; i++) recordStart(gate, 'interactive', clock);
    clock += latencyMs;
    for (let i = 0; i < runs; i++) {
      const run = {priority: 'interactive', label: 'r', startedAt} as const;
      recordCompletion(gate, run, clock);
    }
  }
}

function warmGate(): Admission {
  const gate = openGate();
  work(gate, 1000, 6);
  return gate;
}

function ask(
  gate: Admission,
  id: string,
  priority: Priority,
  now: number,
  deadline: number,
) {
  const attempt = id as AttemptId;
  return offer(
    gate,
    {attempt, priority, deadline, shared: false, urgency: 0, objectiveMs: 0},
    now,
  );
}

test('a closed gate admits nothing', t => {
  const gate = createAdmission(POLICY);
  t.is(ask(gate, 'a', 'interactive', 0, 100), 'refuse');
});

test('a server that has just started gets one run at a time', t => {
  const gate = openGate();
  t.is(gate.limit, 1);
  t.is(ask(gate, 'a', 'interactive', 0, 100), 'start');
  recordStart(gate, 'interactive', clock);
  t.is(ask(gate, 'b', 'interactive', 0, 100), 'wait');
});

test('the limit grows by completed work up to the slots', t => {
  const gate = openGate();
  work(gate, POLICY.growthCompletions + 6, 6);
  t.is(gate.limit, 2);
  work(gate, 1000, 6);
  t.is(gate.limit, SLOTS);
  t.false(gate.ramping);
});

test('a few long runs among short ones do not hold the limit down', t => {
  const gate = openGate();
  let now = 0;
  for (let round = 0; round < 1500; round++) {
    const startedAt = now;
    const runs = gate.limit;
    for (let i = 0; i < runs; i++) recordStart(gate, 'interactive', clock);
    now += 6;
    for (let i = 0; i < runs; i++) {
      const isLong = (round * 7 + i) % 7 === 0;
      const run = {priority: 'interactive', label: 'r', startedAt} as const;
      recordCompletion(gate, run, isLong ? startedAt + 120 : now);
    }
  }
  t.is(gate.limit, SLOTS);
});

const RELAPSES: ReadonlyArray<{
  name: string;
  cause: (gate: Admission) => void;
  limit: number;
}> = [
  {
    name: 'a new instance',
    cause: gate => applyAnnouncement(gate, announcement('i2'), clock),
    limit: 1,
  },
  {
    name: 'the same instance again',
    cause: gate => applyAnnouncement(gate, announcement('i1'), clock),
    limit: SLOTS,
  },
  {
    name: 'a run that the server sheds',
    cause: gate => {
      const startedAt = clock;
      recordStart(gate, 'interactive', clock);
      recordShed(
        gate,
        {priority: 'interactive', label: 'r', startedAt},
        clock + 1,
      );
    },
    limit: 1,
  },
  {
    name: 'a run shed that began before the last relapse',
    cause: gate => {
      recordStart(gate, 'interactive', clock);
      gate.limitResetAt = clock;
      const startedAt = clock - 1;
      recordShed(gate, {priority: 'interactive', label: 'r', startedAt}, clock);
    },
    limit: SLOTS,
  },
  {
    name: 'a latency twenty times as long',
    cause: gate => work(gate, 2, 120),
    limit: 1,
  },
  {
    name: 'a latency twice and a half as long',
    cause: gate => work(gate, 2, 15),
    limit: Math.floor(SLOTS * POLICY.decrease),
  },
  {
    name: 'fewer slots',
    cause: gate =>
      applyAnnouncement(gate, announcement('i1', {slots: 3}), clock),
    limit: 3,
  },
  {
    name: 'fewer connections than slots',
    cause: gate =>
      applyAnnouncement(gate, announcement('i1', {connections: 2}), clock),
    limit: 2,
  },
  {
    name: 'a report of more slots',
    cause: gate =>
      applyAnnouncement(gate, announcement('i1', {slots: 50}), clock),
    limit: SLOTS,
  },
];

for (const {name, cause, limit} of RELAPSES) {
  test(`after ${name} the limit is ${limit}`, t => {
    const gate = warmGate();
    cause(gate);
    t.is(gate.limit, limit);
  });
}

test('each shed run makes the next ramp slower', t => {
  const gate = openGate();
  recordStart(gate, 'interactive', clock);
  recordShed(gate, {priority: 'interactive', label: 'r', startedAt: 1}, 2);
  work(gate, POLICY.growthCompletions + 16, 6);
  t.is(gate.limit, 1);
});

test('the queue refuses what has waited too long, oldest first', t => {
  const gate = warmGate();
  for (let i = 0; i < SLOTS; i++) recordStart(gate, 'interactive', clock);
  ask(gate, 'a', 'interactive', 0, 1000);
  ask(gate, 'b', 'interactive', 5, 1000);
  ask(gate, 'c', 'interactive', 5, 7);
  t.deepEqual(dequeueExpired(gate, POLICY.queueMs - 1), ['c']);
  t.deepEqual(dequeueExpired(gate, POLICY.queueMs), ['a']);
});

/** Mean time of a run, how long the queue lasts, shared, and the wait. */
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
    const gate = warmGate();
    gate.meanRunMs = meanMs;
    for (let i = 0; i < SLOTS; i++) recordStart(gate, 'interactive', clock);
    const asking = {
      priority: 'interactive',
      deadline: 1e9,
      shared,
      urgency: 0,
      objectiveMs: 0,
    } as const;
    offer(gate, {...asking, attempt: 'a' as AttemptId}, clock);
    const now = clock + lastsMs;
    gate.meanRunMs = lastsMs > 0 ? 0.01 : meanMs;
    offer(gate, {...asking, attempt: 'b' as AttemptId}, now);
    t.is(gate.queues.interactive[lastsMs > 0 ? 1 : 0].until, now + waitMs);
  });
}

test('what would wait in vain is refused at once', t => {
  const gate = warmGate();
  for (let i = 0; i < SLOTS; i++) recordStart(gate, 'interactive', clock);
  let waiting = 0;
  while (ask(gate, 'a', 'interactive', 0, 1000) === 'wait') {
    waiting += 1;
  }
  const servedInTime = (POLICY.queueMs / 6) * SLOTS;
  t.true(waiting >= Math.floor(servedInTime));
  t.true(waiting <= Math.ceil(servedInTime) + 1);
});

test('the queue has room for a bounded number, however fast runs end', t => {
  const gate = warmGate();
  gate.meanRunMs = 0.01;
  for (let i = 0; i < SLOTS; i++) recordStart(gate, 'interactive', clock);
  const room = SLOTS * POLICY.queueFactor;
  for (let i = 0; i < room; i++) {
    t.is(ask(gate, `${i}`, 'interactive', 0, 1000), 'wait');
  }
  t.is(ask(gate, 'z', 'interactive', 0, 1000), 'refuse');
});

test('interactive work goes first; deferrable work gets a share', t => {
  const gate = warmGate();
  const share = SLOTS * POLICY.deferrableShare;
  for (let i = 0; i < SLOTS; i++) recordStart(gate, 'interactive', clock);
  for (let i = 0; i < 5; i++) {
    ask(gate, `d${i}`, 'deferrable', 0, 1000);
  }
  ask(gate, 'i', 'interactive', 0, 1000);
  gate.running = 0;
  const started: string[] = [];
  for (
    let next = dequeueNext(gate, clock);
    next !== null;
    next = dequeueNext(gate, clock)
  ) {
    recordStart(gate, next.priority, clock);
    started.push(next.waiting.attempt);
  }
  t.deepEqual(started, ['i', 'd0', 'd1'].slice(0, 1 + share));
});

test('never more runs than slots or connections, whatever happens', t => {
  const step = fc.record({
    kind: fc.constantFrom('offer', 'offer', 'end', 'end', 'shed', 'say'),
    deferrable: fc.boolean(),
    slots: fc.integer({min: 1, max: 12}),
    latencyMs: fc.integer({min: 1, max: 200}),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 400}), steps => {
      const gate = openGate();
      let now = 0;
      const running: Array<'interactive' | 'deferrable'> = [];
      const start = (priority: 'interactive' | 'deferrable') => {
        recordStart(gate, priority, clock);
        running.push(priority);
        if (gate.running > gate.maxLimit) throw new Error('above the slots');
      };
      for (const {kind, deferrable, slots, latencyMs} of steps) {
        now += 1;
        const startedAt = now - latencyMs;
        if (kind === 'say') {
          applyAnnouncement(gate, announcement('i1', {slots}), now);
        }
        if (kind === 'offer') {
          const priority = deferrable ? 'deferrable' : 'interactive';
          const id = `${now}`;
          if (ask(gate, id, priority, now, now + 50) === 'start') {
            start(priority);
          }
        }
        const over = kind === 'end' || kind === 'shed' ? running.shift() : null;
        if (over) {
          const run = {priority: over, label: 'r', startedAt};
          if (kind === 'end') recordCompletion(gate, run, now);
          else recordShed(gate, run, now);
        }
        dequeueExpired(gate, now);
        for (
          let next = dequeueNext(gate, clock);
          next;
          next = dequeueNext(gate, clock)
        ) {
          start(next.priority);
        }
      }
    }),
    {seed: 11, numRuns: 300},
  );
  t.pass();
});

/** A server that tells its cold start. */
function reportingGate(remainingMs: number, perSecond: number): Admission {
  const gate = createAdmission(POLICY);
  const coldStart = {remainingMs, perSecond};
  applyAnnouncement(gate, announcement('i1', {coldStart}), 0);
  return gate;
}

test('a warm server that reports its cold start gets its slots at once', t => {
  t.is(reportingGate(0, 9).limit, SLOTS);
});

const PACES: ReadonlyArray<[remainingMs: number, started: number]> = [
  [0, SLOTS],
  [5000, 2],
  [500, SLOTS],
];

for (const [remainingMs, started] of PACES) {
  test(`cold for ${remainingMs} ms: ${started} starts 0.9 s later`, t => {
    const gate = reportingGate(remainingMs, 1);
    let count = 0;
    for (const now of [0, 900, 1001]) {
      for (let i = 0; i < SLOTS; i++) {
        const asking = {
          attempt: `${now}/${i}` as AttemptId,
          priority: 'interactive',
          deadline: 1e9,
          shared: false,
          urgency: 0,
          objectiveMs: 0,
        } as const;
        if (offer(gate, asking, now) !== 'start') continue;
        recordStart(gate, 'interactive', now);
        count += 1;
      }
      gate.queues.interactive.length = 0;
    }
    t.is(count, started);
  });
}

test('a slot is left for work that goes first, once it is frequent', t => {
  const gate = reportingGate(0, 9);
  const ask = (urgency: number, now: number): string => {
    const priority = 'interactive';
    const attempt = `${urgency}/${now}` as AttemptId;
    const claim = {attempt, priority, urgency, objectiveMs: 100} as const;
    return offer(gate, {...claim, deadline: 1e9, shared: false}, now);
  };
  for (let now = 0; now <= 1200; now += 100) ask(1, now);
  for (let i = 0; i < SLOTS - 1; i++) recordStart(gate, 'interactive', 1200);
  t.is(ask(2, 1201), 'wait');
  t.is(ask(1, 1202), 'wait');
  gate.queues.interactive.length = 0;
  t.is(ask(1, 1203), 'start');
});

test('the more urgent waits in front, of those alike the one due first', t => {
  const gate = reportingGate(0, 9);
  for (let i = 0; i < SLOTS; i++) recordStart(gate, 'interactive', 0);
  const asked = [
    {attempt: 'late', urgency: 2, objectiveMs: 900},
    {attempt: 'soon', urgency: 2, objectiveMs: 400},
    {attempt: 'urgent', urgency: 1, objectiveMs: 900},
  ];
  for (const {attempt, urgency, objectiveMs} of asked) {
    const priority = 'interactive';
    const common = {priority, deadline: 1e9, shared: false} as const;
    const id = attempt as AttemptId;
    offer(gate, {...common, attempt: id, urgency, objectiveMs}, 0);
  }
  t.deepEqual(
    gate.queues.interactive.map(({attempt}) => String(attempt)),
    ['urgent', 'soon', 'late'],
  );
});
