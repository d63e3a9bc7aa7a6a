/** @fileoverview The owner's side: tables of dispatches, faults and inquiries. */

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
const USUAL_MS = 6;

class Owner {
  readonly state;
  readonly ownership = stubOwnership(SELF, SELF);
  now = 1000;
  wallAhead = 0;

  constructor(checksGrants = false, abortsSilentRuns = true) {
    const execution = {...DEFAULT_TUNING.execution, abortsSilentRuns};
    this.state = createExecutionState({...DEFAULT_TUNING, execution});
    this.announce({checksGrants});
  }

  feed(event: Event): Effect[] {
    const at = {monotonic: this.now, wall: this.now + this.wallAhead};
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
    return this.feed({kind: 'announced', announcement});
  }

  hear(message: RequestMessage, from: MemberId = ORIGIN): Effect[] {
    return this.feed({kind: 'received', from, message});
  }

  dispatch(sequence: number, changes: Partial<Dispatch> = {}): Effect[] {
    return this.hear(dispatchOf(sequence, changes));
  }

  inquire(sequence: number, to: MemberId = SELF): Effect[] {
    return this.hear({kind: 'inquire', attempt: idOf(sequence), to});
  }

  written(sequence: number): Effect[] {
    return this.feed({kind: 'runWritten', attempt: idOf(sequence)});
  }

  head(sequence: number, shed = false): Effect[] {
    const attempt = idOf(sequence);
    return this.feed({kind: 'runHead', attempt, status: 200, shed});
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
    this.written(sequence);
    this.now += USUAL_MS;
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

function dispatchOf(sequence: number, changes: Partial<Dispatch>): Dispatch {
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

/** What goes to origins and to the runner, in short. */
function gist(effects: readonly Effect[]): string[] {
  const shown = ['run', 'cancelRun', 'violate'];
  return effects.flatMap(effect => {
    if (effect.kind === 'send') return gistOf(effect.message as RequestMessage);
    if (effect.kind === 'replay') return [`replay ${effect.original}`];
    return shown.includes(effect.kind) ? [effect.kind] : [];
  });
}

function gistOf(message: RequestMessage): string {
  if (message.kind === 'failed') return `${message.error} ${message.run}`;
  if (message.kind === 'fate') return `fate ${message.state}`;
  return message.kind;
}

/** Brings attempt 1 to a place, then lets a fault hit it. */
const FAULTS: ReadonlyArray<{
  name: string;
  reach: (owner: Owner) => void;
  fault: (owner: Owner) => Effect[];
  expected: string[];
}> = [
  {
    name: 'connection refused before a byte',
    reach: owner => owner.dispatch(1),
    fault: owner => owner.failed(1, 'not-run'),
    expected: ['server-lost not-run'],
  },
  {
    name: 'connection reset, the runner is not sure',
    reach: owner => owner.dispatch(1),
    fault: owner => owner.failed(1, 'unknown'),
    expected: ['server-lost unknown'],
  },
  {
    name: 'connection reset after a byte was written',
    reach: owner => void (owner.dispatch(1), owner.written(1)),
    fault: owner => owner.failed(1, 'not-run'),
    expected: ['server-lost unknown'],
  },
  {
    name: 'answer cut short',
    reach: owner => void (owner.dispatch(1), owner.written(1), owner.head(1)),
    fault: owner => owner.failed(1, 'unknown'),
    expected: ['server-lost unknown'],
  },
  {
    name: 'refused by the server',
    reach: owner => void (owner.dispatch(1), owner.written(1)),
    fault: owner => owner.head(1, true),
    expected: ['server-refused not-run'],
  },
  {
    name: 'cancelled in the queue',
    reach: owner => void (owner.dispatch(2), owner.dispatch(1)),
    fault: owner => owner.hear({kind: 'cancel', attempt: idOf(1)}),
    expected: ['cancelled not-run'],
  },
  {
    name: 'cancelled before a byte',
    reach: owner => owner.dispatch(1),
    fault: owner => owner.hear({kind: 'cancel', attempt: idOf(1)}),
    expected: ['cancelRun', 'cancelled not-run'],
  },
  {
    name: 'cancelled while it runs',
    reach: owner => void (owner.dispatch(1), owner.written(1)),
    fault: owner => owner.hear({kind: 'cancel', attempt: idOf(1)}),
    expected: ['cancelRun', 'cancelled unknown'],
  },
  {
    name: 'no slot in time',
    reach: owner => void (owner.dispatch(2), owner.dispatch(1)),
    fault: owner => owner.wait(DEFAULT_TUNING.admission.rampQueueMs),
    expected: ['overloaded not-run'],
  },
  {
    name: 'lease lost before the first byte',
    reach: owner => owner.dispatch(1),
    fault: owner => {
      owner.ownership.denied = 'no-lease';
      return owner.written(1);
    },
    expected: ['cancelRun', 'lease-lost not-run'],
  },
  {
    name: 'the backend server never answers',
    reach: owner => {
      for (let i = 10; i < 20; i++) owner.run(i);
      owner.dispatch(1);
      owner.written(1);
      owner.dispatch(2);
      owner.dispatch(3);
    },
    fault: owner => owner.wait(1100),
    expected: [
      'overloaded not-run',
      'overloaded not-run',
      'cancelRun',
      'server-lost unknown',
    ],
  },
];

for (const {name, reach, fault, expected} of FAULTS) {
  test(`fault at the owner: ${name}`, t => {
    const owner = new Owner();
    reach(owner);
    t.deepEqual(gist(fault(owner)), expected);
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
  test(`a dispatch is refused: ${reason}`, t => {
    const owner = new Owner();
    owner.ownership.denied = reason;
    t.deepEqual(gist(owner.dispatch(1)), [expected]);
  });

  test(`a waiting attempt is refused: ${reason}`, t => {
    const owner = new Owner();
    owner.dispatch(1);
    owner.dispatch(2);
    owner.ownership.denied = reason;
    t.true(gist(owner.feed({kind: 'ticked'})).includes(expected));
    t.is(workViewOf(owner.state).inFlight('s' as never, 2 as never), 0);
  });
}

/** Reason, whether the server checks grants, time, and whether it is cut. */
const LOSSES: ReadonlyArray<
  readonly ['not-owner' | 'no-lease' | 'moving', boolean, number, boolean]
> = [
  ['no-lease', false, 50, true],
  ['no-lease', true, 500, false],
  ['not-owner', false, 50, true],
  ['not-owner', true, 50, true],
  ['moving', false, STUB_DRAIN_MS - 50, false],
  ['moving', false, STUB_DRAIN_MS + 100, true],
];

for (const [reason, checksGrants, ms, cut] of LOSSES) {
  const server = checksGrants ? 'checking' : 'trusting';
  test(`a run on a ${server} server, ${reason} for ${ms} ms`, t => {
    const owner = new Owner(checksGrants);
    owner.dispatch(1);
    owner.written(1);
    t.is(workViewOf(owner.state).inFlight('s' as never, 3 as never), 1);
    owner.ownership.denied = reason;
    const expected = cut ? ['cancelRun', 'lease-lost unknown'] : [];
    t.deepEqual(gist(owner.wait(ms)), expected);
    t.is(
      workViewOf(owner.state).inFlight('s' as never, 3 as never),
      cut ? 0 : 1,
    );
  });
}

/** What an inquiry about attempt 1 finds, and what a late dispatch does. */
const INQUIRIES: ReadonlyArray<{
  name: string;
  before: (owner: Owner) => void;
  found: string[];
  late: string[];
}> = [
  {
    name: 'an attempt that never came',
    before: () => undefined,
    found: ['fate never'],
    late: [],
  },
  {
    name: 'an attempt that never came, after its tombstone was dropped',
    before: owner => {
      owner.inquire(1);
      owner.wait(DEFAULT_TUNING.execution.outcomeMs + 100);
    },
    found: ['fate forgotten'],
    late: ['link-lost unknown'],
  },
  {
    name: 'an attempt below one that was forgotten',
    before: owner => {
      owner.run(5);
      owner.wait(DEFAULT_TUNING.execution.outcomeMs + 100);
    },
    found: ['fate forgotten'],
    late: ['link-lost unknown'],
  },
  {
    name: 'a running attempt',
    before: owner => owner.dispatch(1),
    found: ['fate running', `replay ${idOf(1)}`],
    late: [],
  },
  {
    name: 'a finished booking',
    before: owner => owner.run(1),
    found: ['fate kept', `replay ${idOf(1)}`],
    late: [],
  },
  {
    name: 'a finished lookup, which is not kept',
    before: owner => owner.run(1, {idempotent: true}),
    found: ['fate forgotten'],
    late: [],
  },
  {
    name: 'a failed attempt',
    before: owner => {
      owner.dispatch(1);
      owner.failed(1, 'not-run');
    },
    found: ['server-lost not-run'],
    late: [],
  },
];

for (const {name, before, found, late} of INQUIRIES) {
  test(`an inquiry about ${name}`, t => {
    const owner = new Owner();
    before(owner);
    t.deepEqual(gist(owner.inquire(1)), found);
    t.deepEqual(gist(owner.dispatch(1)), late);
  });
}

test('another incarnation neither runs nor denies an attempt', t => {
  const owner = new Owner();
  const earlier = 'h2#0' as MemberId;
  t.deepEqual(gist(owner.inquire(1, earlier)), ['fate forgotten']);
  t.deepEqual(gist(owner.dispatch(2, {to: earlier})), ['no-owner not-run']);
});

test('memory is bounded in number', t => {
  const owner = new Owner();
  const {maxOutcomes} = DEFAULT_TUNING.execution;
  for (let i = 2; i < maxOutcomes + 100; i++) owner.inquire(i);
  t.is(owner.state.history.unkeyed.size, maxOutcomes);
  t.deepEqual(gist(owner.inquire(1)), ['fate forgotten']);
});

const KEYED = {idempotencyKey: 'k1'};

const REPEATS: ReadonlyArray<{
  name: string;
  before: (owner: Owner) => void;
  changes?: Partial<Dispatch>;
  expected: string[];
}> = [
  {
    name: 'while the first runs',
    before: owner => owner.dispatch(1, KEYED),
    expected: [`replay ${idOf(1)}`],
  },
  {
    name: 'after the first ended',
    before: owner => owner.run(1, KEYED),
    expected: [`replay ${idOf(1)}`],
  },
  {
    name: 'after the caller of the first hung up',
    before: owner => {
      owner.dispatch(1, KEYED);
      owner.written(1);
      owner.hear({kind: 'cancel', attempt: idOf(1)});
    },
    expected: [`replay ${idOf(1)}`],
  },
  {
    name: 'after the first was lost midway',
    before: owner => {
      owner.dispatch(1, KEYED);
      owner.failed(1, 'unknown');
    },
    expected: ['server-lost unknown'],
  },
  {
    name: 'after the first did not run',
    before: owner => {
      owner.dispatch(1, KEYED);
      owner.failed(1, 'not-run');
    },
    expected: ['run'],
  },
  {
    name: 'for another path',
    before: owner => owner.run(1, KEYED),
    changes: {path: '/s/other'},
    expected: ['idempotency-mismatch not-run'],
  },
  {
    name: 'when the first was forgotten',
    before: owner => {
      owner.run(1, KEYED);
      owner.wait(DEFAULT_TUNING.execution.keyedOutcomeMs + 100);
    },
    expected: ['run'],
  },
];

for (const {name, before, changes, expected} of REPEATS) {
  test(`the same idempotency key ${name}`, t => {
    const owner = new Owner();
    before(owner);
    const effects = owner.dispatch(2, {...KEYED, ...changes});
    t.deepEqual(gist(effects), expected);
  });
}

test('all that joined a run hear of its failure', t => {
  const owner = new Owner();
  owner.dispatch(1, KEYED);
  owner.dispatch(2, KEYED);
  const failures = gist(owner.failed(1, 'unknown'));
  t.deepEqual(failures, ['server-lost unknown', 'server-lost unknown']);
});

test('a second dispatch of one non-idempotent request is a violation', t => {
  const owner = new Owner();
  owner.run(1);
  const again = {request: 'r1' as never};
  t.deepEqual(gist(owner.dispatch(2, again)), ['violate', 'internal not-run']);
});

test('a request that did not run may come again', t => {
  const owner = new Owner();
  owner.dispatch(1);
  owner.failed(1, 'not-run');
  t.deepEqual(gist(owner.dispatch(2, {request: 'r1' as never})), ['run']);
});

test('after a stall, budgets are cut by the time it took', t => {
  const owner = new Owner();
  owner.feed({kind: 'ticked'});
  owner.wallAhead += 6000;
  t.deepEqual(gist(owner.dispatch(1)), ['deadline-exceeded not-run']);
  owner.wait(200);
  t.deepEqual(gist(owner.dispatch(2)), ['run']);
});

test('a server that leaves takes no new work after a short time', t => {
  const owner = new Owner();
  owner.announce({leaving: true});
  t.deepEqual(gist(owner.dispatch(1, {slice: null})), ['stopping not-run']);
  t.deepEqual(gist(owner.dispatch(2)), ['run']);
  owner.wait(2100);
  t.deepEqual(gist(owner.dispatch(3)), ['stopping not-run']);
});

for (const aborts of [true, false]) {
  test(`a run much longer than usual is aborted: ${aborts}`, t => {
    const owner = new Owner(false, aborts);
    for (let sequence = 1; sequence <= 4; sequence++) owner.run(sequence);
    owner.dispatch(5);
    owner.written(5);
    const found = gist(owner.wait(1200));
    t.deepEqual(found, aborts ? ['cancelRun', 'server-lost unknown'] : []);
  });
}
