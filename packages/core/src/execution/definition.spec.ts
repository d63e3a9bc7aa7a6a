/** @fileoverview Tests of execution: dispatches, failures, inquiries. */

import test from 'ava';

import type {DispatchPermission} from '../ownership/types.js';
import type {AttemptId, InstanceId, MemberId} from '../ids/types.js';
import type {Effect, Event} from '../loop/types.js';
import type {Dispatch, RequestMessage} from '../messages/types.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import {STUB_DRAIN_MS, stubOwnership, stubView} from '../testing/ownership.js';
import {EXECUTION} from './definition.js';
import {createExecutionState, workViewOf} from './state.js';

const SELF = 'h2#1' as MemberId;
const ORIGIN = 'h1#1' as MemberId;
const RUN_MS = 6;

/** The execution subsystem of one daemon, with a stub of ownership. */
class Daemon {
  readonly state;
  readonly ownership = stubOwnership(SELF, SELF);
  now = 1000;
  wallAheadMs = 0;

  constructor(checksGrants = false, abortsSilentRuns = true) {
    const execution = {...DEFAULT_TUNING.execution, abortsSilentRuns};
    this.state = createExecutionState({...DEFAULT_TUNING, execution});
    this.announce({checksGrants});
  }

  feed(event: Event): Effect[] {
    const at = {monotonic: this.now, wall: this.now + this.wallAheadMs};
    const input = {at, random: 0.5, event};
    const ownership = stubView(this.ownership);
    return EXECUTION.reduce(this.state, input, {ownership});
  }

  announce(changes: {checksGrants?: boolean; leaving?: boolean} = {}) {
    const announcement = {
      instance: 'i1' as InstanceId,
      service: 's' as never,
      address: '127.0.0.1:1' as never,
      slots: 2,
      connections: 10,
      checksGrants: changes.checksGrants ?? false,
      coldStart: null,
      leaving: changes.leaving ?? false,
    };
    return this.feed({kind: 'announcementReceived', announcement});
  }

  receive(message: RequestMessage, from: MemberId = ORIGIN): Effect[] {
    return this.feed({kind: 'messageReceived', from, message});
  }

  dispatch(sequence: number, changes: Partial<Dispatch> = {}): Effect[] {
    return this.receive(makeDispatch(sequence, changes));
  }

  inquire(sequence: number, to: MemberId = SELF): Effect[] {
    return this.receive({kind: 'inquire', attempt: idOf(sequence), to});
  }

  write(sequence: number): Effect[] {
    return this.feed({kind: 'runWriteStarting', attempt: idOf(sequence)});
  }

  head(sequence: number, refused = false): Effect[] {
    const attempt = idOf(sequence);
    return this.feed({kind: 'runHeadReceived', attempt, status: 200, refused});
  }

  ended(sequence: number): Effect[] {
    return this.feed({kind: 'runEnded', attempt: idOf(sequence)});
  }

  failed(sequence: number, run: 'not-run' | 'unknown'): Effect[] {
    const attempt = idOf(sequence);
    return this.feed({kind: 'runFailed', attempt, run, detail: 'reset'});
  }

  run(sequence: number, changes: Partial<Dispatch> = {}): Effect[] {
    this.dispatch(sequence, changes);
    this.write(sequence);
    this.now += RUN_MS;
    return [...this.head(sequence), ...this.ended(sequence)];
  }

  wait(ms: number): Effect[] {
    const effects: Effect[] = [];
    const until = this.now + ms;
    while (this.now < until) {
      this.now = Math.min(until, this.now + DEFAULT_TUNING.loop.tickMs);
      effects.push(...this.feed({kind: 'ticked'}));
    }
    return effects;
  }
}

function idOf(sequence: number): AttemptId {
  return `${ORIGIN}/${sequence}` as AttemptId;
}

function makeDispatch(sequence: number, changes: Partial<Dispatch>): Dispatch {
  return {
    kind: 'dispatch',
    attempt: idOf(sequence),
    to: SELF,
    request: `r${sequence}` as never,
    service: 's' as never,
    slice: 3 as never,
    method: 'POST',
    path: '/s/k',
    headers: [],
    idempotent: false,
    priority: 'interactive',
    idempotencyKey: null,
    budgetMs: 5000,
    urgency: 0,
    objectiveMs: 0,
    version: 1 as never,
    body: new Uint8Array(),
    bodyEnds: true,
    ...changes,
  };
}

/** Short names of the messages to origins and of the effects on runs. */
function kinds(effects: readonly Effect[]): string[] {
  const shown = ['run', 'cancelRun', 'panic'];
  return effects.flatMap(effect => {
    if (effect.kind === 'send') return kindOf(effect.message as RequestMessage);
    if (effect.kind === 'replayResponse') return [`replay ${effect.original}`];
    return shown.includes(effect.kind) ? [effect.kind] : [];
  });
}

function kindOf(message: RequestMessage): string {
  if (message.kind === 'failed') return `${message.error} ${message.run}`;
  if (message.kind === 'fate') return `fate ${message.state}`;
  return message.kind;
}

/** Brings attempt 1 to a stage and then lets it fail. */
const FAILURES: ReadonlyArray<{
  name: string;
  setUp: (daemon: Daemon) => void;
  fault: (daemon: Daemon) => Effect[];
  expected: string[];
}> = [
  {
    name: 'connection refused before a byte',
    setUp: daemon => daemon.dispatch(1),
    fault: daemon => daemon.failed(1, 'not-run'),
    expected: ['server-lost not-run'],
  },
  {
    name: 'connection reset, the runtime does not know whether it wrote',
    setUp: daemon => daemon.dispatch(1),
    fault: daemon => daemon.failed(1, 'unknown'),
    expected: ['server-lost unknown'],
  },
  {
    name: 'connection reset after a byte was written',
    setUp: daemon => void (daemon.dispatch(1), daemon.write(1)),
    fault: daemon => daemon.failed(1, 'not-run'),
    expected: ['server-lost unknown'],
  },
  {
    name: 'response cut short',
    setUp: daemon => void (daemon.dispatch(1), daemon.write(1), daemon.head(1)),
    fault: daemon => daemon.failed(1, 'unknown'),
    expected: ['server-lost unknown'],
  },
  {
    name: 'refused by the server',
    setUp: daemon => void (daemon.dispatch(1), daemon.write(1)),
    fault: daemon => daemon.head(1, true),
    expected: ['server-refused not-run'],
  },
  {
    name: 'cancelled in the queue',
    setUp: daemon => void (daemon.dispatch(2), daemon.dispatch(1)),
    fault: daemon => daemon.receive({kind: 'cancel', attempt: idOf(1)}),
    expected: ['cancelled not-run'],
  },
  {
    name: 'cancelled before a byte',
    setUp: daemon => daemon.dispatch(1),
    fault: daemon => daemon.receive({kind: 'cancel', attempt: idOf(1)}),
    expected: ['cancelRun', 'cancelled not-run'],
  },
  {
    name: 'cancelled while it runs',
    setUp: daemon => void (daemon.dispatch(1), daemon.write(1)),
    fault: daemon => daemon.receive({kind: 'cancel', attempt: idOf(1)}),
    expected: ['cancelRun', 'cancelled unknown'],
  },
  {
    name: 'no slot before the queue timeout',
    setUp: daemon => void (daemon.dispatch(2), daemon.dispatch(1)),
    fault: daemon => daemon.wait(DEFAULT_TUNING.admission.rampQueueMs),
    expected: ['overloaded not-run'],
  },
  {
    name: 'lease lost before the first byte',
    setUp: daemon => daemon.dispatch(1),
    fault: daemon => {
      daemon.ownership.denied = 'no-lease';
      return daemon.write(1);
    },
    expected: ['cancelRun', 'lease-lost not-run'],
  },
  {
    name: 'the backend server never responds',
    setUp: daemon => {
      for (let i = 10; i < 20; i++) daemon.run(i);
      daemon.dispatch(1);
      daemon.write(1);
      daemon.dispatch(2);
      daemon.dispatch(3);
    },
    fault: daemon => daemon.wait(1100),
    expected: [
      'overloaded not-run',
      'overloaded not-run',
      'cancelRun',
      'server-lost unknown',
    ],
  },
];

for (const {name, setUp, fault, expected} of FAILURES) {
  test(`failure at the executing daemon: ${name}`, t => {
    const daemon = new Daemon();
    setUp(daemon);
    t.deepEqual(kinds(fault(daemon)), expected);
  });
}

const DENIALS: ReadonlyArray<
  readonly [Extract<DispatchPermission, {kind: 'denied'}>['reason'], string]
> = [
  ['not-owner', 'no-owner not-run'],
  ['moving', 'no-owner not-run'],
  ['no-lease', 'lease-lost not-run'],
];

for (const [reason, expected] of DENIALS) {
  test(`a dispatch is rejected without permission: ${reason}`, t => {
    const daemon = new Daemon();
    daemon.ownership.denied = reason;
    t.deepEqual(kinds(daemon.dispatch(1)), [expected]);
  });

  test(`a queued attempt is rejected once permission is lost: ${reason}`, t => {
    const daemon = new Daemon();
    daemon.dispatch(1);
    daemon.dispatch(2);
    daemon.ownership.denied = reason;
    t.true(kinds(daemon.feed({kind: 'ticked'})).includes(expected));
    t.is(workViewOf(daemon.state).inFlight('s' as never, 2 as never), 0);
  });
}

/** Denial, whether the server checks grants, its length, whether it aborts. */
const DENIALS_WHILE_RUNNING: ReadonlyArray<
  readonly ['not-owner' | 'no-lease' | 'moving', boolean, number, boolean]
> = [
  ['no-lease', false, 50, true],
  ['no-lease', true, 500, false],
  ['not-owner', false, 50, true],
  ['not-owner', true, 50, true],
  ['moving', false, STUB_DRAIN_MS - 50, false],
  ['moving', false, STUB_DRAIN_MS + 100, true],
];

for (const [reason, checksGrants, ms, cut] of DENIALS_WHILE_RUNNING) {
  const server = checksGrants ? 'checking' : 'plain';
  test(`a run on a ${server} server after ${reason} for ${ms} ms`, t => {
    const daemon = new Daemon(checksGrants);
    daemon.dispatch(1);
    daemon.write(1);
    t.is(workViewOf(daemon.state).inFlight('s' as never, 3 as never), 1);
    daemon.ownership.denied = reason;
    const expected = cut ? ['cancelRun', 'lease-lost unknown'] : [];
    t.deepEqual(kinds(daemon.wait(ms)), expected);
    t.is(
      workViewOf(daemon.state).inFlight('s' as never, 3 as never),
      cut ? 0 : 1,
    );
  });
}

/** What an inquiry about attempt 1 reports, and what a late dispatch causes. */
const INQUIRIES: ReadonlyArray<{
  name: string;
  before: (daemon: Daemon) => void;
  found: string[];
  late: string[];
}> = [
  {
    name: 'an attempt that never arrived',
    before: () => undefined,
    found: ['fate never'],
    late: [],
  },
  {
    name: 'an attempt that never arrived, after its tombstone was dropped',
    before: daemon => {
      daemon.inquire(1);
      daemon.wait(DEFAULT_TUNING.execution.outcomeMs + 100);
    },
    found: ['fate forgotten'],
    late: ['link-lost unknown'],
  },
  {
    name: 'an unknown attempt below the watermark',
    before: daemon => {
      daemon.run(5);
      daemon.wait(DEFAULT_TUNING.execution.outcomeMs + 100);
    },
    found: ['fate forgotten'],
    late: ['link-lost unknown'],
  },
  {
    name: 'a running attempt',
    before: daemon => daemon.dispatch(1),
    found: ['fate running', `replay ${idOf(1)}`],
    late: [],
  },
  {
    name: 'a finished non-idempotent attempt',
    before: daemon => daemon.run(1),
    found: ['fate kept', `replay ${idOf(1)}`],
    late: [],
  },
  {
    name: 'a finished idempotent attempt, whose response is not kept',
    before: daemon => daemon.run(1, {idempotent: true}),
    found: ['fate forgotten'],
    late: [],
  },
  {
    name: 'a failed attempt',
    before: daemon => {
      daemon.dispatch(1);
      daemon.failed(1, 'not-run');
    },
    found: ['server-lost not-run'],
    late: [],
  },
];

for (const {name, before, found, late} of INQUIRIES) {
  test(`an inquiry about ${name}`, t => {
    const daemon = new Daemon();
    before(daemon);
    t.deepEqual(kinds(daemon.inquire(1)), found);
    t.deepEqual(kinds(daemon.dispatch(1)), late);
  });
}

test('attempts sent to an earlier incarnation are rejected, their fate unknown', t => {
  const daemon = new Daemon();
  const earlier = 'h2#0' as MemberId;
  t.deepEqual(kinds(daemon.inquire(1, earlier)), ['fate forgotten']);
  t.deepEqual(kinds(daemon.dispatch(2, {to: earlier})), ['no-owner not-run']);
});

test('history is bounded in number', t => {
  const daemon = new Daemon();
  const {maxOutcomes} = DEFAULT_TUNING.execution;
  for (let i = 2; i < maxOutcomes + 100; i++) daemon.inquire(i);
  t.is(daemon.state.history.unkeyed.size, maxOutcomes);
  t.deepEqual(kinds(daemon.inquire(1)), ['fate forgotten']);
});

const KEYED = {idempotencyKey: 'k1'};

const KEY_REUSE: ReadonlyArray<{
  name: string;
  before: (daemon: Daemon) => void;
  changes?: Partial<Dispatch>;
  expected: string[];
}> = [
  {
    name: 'while the first runs',
    before: daemon => daemon.dispatch(1, KEYED),
    expected: [`replay ${idOf(1)}`],
  },
  {
    name: 'after the first ended',
    before: daemon => daemon.run(1, KEYED),
    expected: [`replay ${idOf(1)}`],
  },
  {
    name: 'after the caller of the first disconnected',
    before: daemon => {
      daemon.dispatch(1, KEYED);
      daemon.write(1);
      daemon.receive({kind: 'cancel', attempt: idOf(1)});
    },
    expected: [`replay ${idOf(1)}`],
  },
  {
    name: 'after the first failed and may have run',
    before: daemon => {
      daemon.dispatch(1, KEYED);
      daemon.failed(1, 'unknown');
    },
    expected: ['server-lost unknown'],
  },
  {
    name: 'after the first did not run',
    before: daemon => {
      daemon.dispatch(1, KEYED);
      daemon.failed(1, 'not-run');
    },
    expected: ['run'],
  },
  {
    name: 'for another path',
    before: daemon => daemon.run(1, KEYED),
    changes: {path: '/s/other'},
    expected: ['idempotency-mismatch not-run'],
  },
  {
    name: 'after the first was dropped from the history',
    before: daemon => {
      daemon.run(1, KEYED);
      daemon.wait(DEFAULT_TUNING.execution.keyedOutcomeMs + 100);
    },
    expected: ['run'],
  },
];

for (const {name, before, changes, expected} of KEY_REUSE) {
  test(`the same idempotency key ${name}`, t => {
    const daemon = new Daemon();
    before(daemon);
    const effects = daemon.dispatch(2, {...KEYED, ...changes});
    t.deepEqual(kinds(effects), expected);
  });
}

test('a failed run is reported to every attempt coalesced with it', t => {
  const daemon = new Daemon();
  daemon.dispatch(1, KEYED);
  daemon.dispatch(2, KEYED);
  const failures = kinds(daemon.failed(1, 'unknown'));
  t.deepEqual(failures, ['server-lost unknown', 'server-lost unknown']);
});

test('a second dispatch of one non-idempotent request breaks an invariant', t => {
  const daemon = new Daemon();
  daemon.run(1);
  const again = {request: 'r1' as never};
  t.deepEqual(kinds(daemon.dispatch(2, again)), ['panic', 'internal not-run']);
});

test('a request that did not run may be dispatched again', t => {
  const daemon = new Daemon();
  daemon.dispatch(1);
  daemon.failed(1, 'not-run');
  t.deepEqual(kinds(daemon.dispatch(2, {request: 'r1' as never})), ['run']);
});

test('a stall reduces the time budgets of dispatches that follow it', t => {
  const daemon = new Daemon();
  daemon.feed({kind: 'ticked'});
  daemon.wallAheadMs += 6000;
  t.deepEqual(kinds(daemon.dispatch(1)), ['deadline-exceeded not-run']);
  daemon.wait(200);
  t.deepEqual(kinds(daemon.dispatch(2)), ['run']);
});

test('a leaving server gets no shared work, and keyed work for a while only', t => {
  const daemon = new Daemon();
  daemon.announce({leaving: true});
  t.deepEqual(kinds(daemon.dispatch(1, {slice: null})), ['stopping not-run']);
  t.deepEqual(kinds(daemon.dispatch(2)), ['run']);
  daemon.wait(2100);
  t.deepEqual(kinds(daemon.dispatch(3)), ['stopping not-run']);
});

for (const aborts of [true, false]) {
  test(`a silent run is aborted: ${aborts}`, t => {
    const daemon = new Daemon(false, aborts);
    for (let sequence = 1; sequence <= 4; sequence++) daemon.run(sequence);
    daemon.dispatch(5);
    daemon.write(5);
    const found = kinds(daemon.wait(1200));
    t.deepEqual(found, aborts ? ['cancelRun', 'server-lost unknown'] : []);
  });
}
