/** @fileoverview Tests of execution: dispatches, failures, inquiries. */

import test from 'ava';

import type {DispatchPermission} from '../ownership/types.js';
import type {MemberId} from '../ids/types.js';
import type {Effect} from '../loop/types.js';
import type {Dispatch} from '../messages/types.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import {ExecutingDaemon, RUN_MS, idOf, kinds} from '../testing/execution.js';
import {STUB_DRAIN_MS} from '../testing/ownership.js';
import {DEFAULT_DRAIN_MS} from '../workspace/limits.js';
import {workViewOf} from './state.js';

type DenialReason = Extract<DispatchPermission, {kind: 'denied'}>['reason'];

/** Brings attempt 1 to a stage and then lets it fail. */
const FAILURES: ReadonlyArray<{
  name: string;
  setUp: (daemon: ExecutingDaemon) => void;
  fault: (daemon: ExecutingDaemon) => Effect[];
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
    fault: daemon => daemon.wait(DEFAULT_TUNING.admission.burstQueueMs),
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
      'cancelRun',
      'server-lost unknown',
      'overloaded not-run',
      'overloaded not-run',
    ],
  },
];

for (const {name, setUp, fault, expected} of FAILURES) {
  test(`failure at the executing daemon: ${name}`, t => {
    const daemon = new ExecutingDaemon();
    setUp(daemon);
    t.deepEqual(kinds(fault(daemon)), expected);
  });
}

const DENIALS: ReadonlyArray<readonly [DenialReason, string]> = [
  ['not-owner', 'no-owner not-run'],
  ['moving', 'no-owner not-run'],
  ['no-lease', 'lease-lost not-run'],
];

for (const [reason, expected] of DENIALS) {
  test(`a dispatch is rejected without permission: ${reason}`, t => {
    const daemon = new ExecutingDaemon();
    daemon.ownership.denied = reason;
    t.deepEqual(kinds(daemon.dispatch(1)), [expected]);
  });

  test(`a queued attempt is rejected once permission is lost: ${reason}`, t => {
    const daemon = new ExecutingDaemon();
    daemon.dispatch(1);
    daemon.dispatch(2);
    daemon.ownership.denied = reason;
    t.true(kinds(daemon.feed({kind: 'ticked'})).includes(expected));
    t.is(workViewOf(daemon.state).inFlight('s' as never, 2 as never), 0);
  });
}

/**
 * Denial, whether the server checks grants, its length, whether it aborts, and
 * whether a configuration is in force (by default one is).
 */
const DENIALS_WHILE_RUNNING: ReadonlyArray<
  readonly [DenialReason, boolean, number, boolean, boolean?]
> = [
  ['no-lease', false, 50, true],
  ['no-lease', true, 500, false],
  ['not-owner', false, 50, true],
  ['not-owner', true, 50, true],
  ['moving', false, STUB_DRAIN_MS - 50, false],
  ['moving', false, STUB_DRAIN_MS + 100, true],
  ['moving', false, DEFAULT_DRAIN_MS - 50, false, false],
  ['moving', false, DEFAULT_DRAIN_MS + 100, true, false],
];

for (const [reason, checksGrants, ms, cut, known] of DENIALS_WHILE_RUNNING) {
  const server = checksGrants ? 'checking' : 'plain';
  test(`a run on a ${server} server after ${reason} for ${ms} ms`, t => {
    const daemon = new ExecutingDaemon(checksGrants);
    daemon.ownership.configured = known ?? true;
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
  before: (daemon: ExecutingDaemon) => void;
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
    const daemon = new ExecutingDaemon();
    before(daemon);
    t.deepEqual(kinds(daemon.inquire(1)), found);
    t.deepEqual(kinds(daemon.dispatch(1)), late);
  });
}

test('attempts sent to an earlier incarnation are rejected, their fate unknown', t => {
  const daemon = new ExecutingDaemon();
  const earlier = 'h2#0' as MemberId;
  t.deepEqual(kinds(daemon.inquire(1, earlier)), ['fate forgotten']);
  t.deepEqual(kinds(daemon.dispatch(2, {to: earlier})), ['no-owner not-run']);
});

test('history is bounded in number', t => {
  const daemon = new ExecutingDaemon();
  const {maxOutcomes} = DEFAULT_TUNING.execution;
  for (let i = 2; i < maxOutcomes + 100; i++) daemon.inquire(i);
  t.is(daemon.state.history.unkeyed.size, maxOutcomes);
  t.deepEqual(kinds(daemon.inquire(1)), ['fate forgotten']);
});

const KEYED = {idempotencyKey: 'k1'};

const KEY_REUSE: ReadonlyArray<{
  name: string;
  before: (daemon: ExecutingDaemon) => void;
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
    const daemon = new ExecutingDaemon();
    before(daemon);
    const effects = daemon.dispatch(2, {...KEYED, ...changes});
    t.deepEqual(kinds(effects), expected);
  });
}

test('a failed run is reported to every attempt coalesced with it', t => {
  const daemon = new ExecutingDaemon();
  daemon.dispatch(1, KEYED);
  daemon.dispatch(2, KEYED);
  const failures = kinds(daemon.failed(1, 'unknown'));
  t.deepEqual(failures, ['server-lost unknown', 'server-lost unknown']);
});

test('a second dispatch of one non-idempotent request breaks an invariant', t => {
  const daemon = new ExecutingDaemon();
  daemon.run(1);
  const again = {request: 'r1' as never};
  t.deepEqual(kinds(daemon.dispatch(2, again)), ['panic', 'internal not-run']);
});

test('a request that did not run may be dispatched again', t => {
  const daemon = new ExecutingDaemon();
  daemon.dispatch(1);
  daemon.failed(1, 'not-run');
  t.deepEqual(kinds(daemon.dispatch(2, {request: 'r1' as never})), ['run']);
});

test('a stall reduces the time budgets of dispatches that follow it', t => {
  const daemon = new ExecutingDaemon();
  daemon.feed({kind: 'ticked'});
  daemon.wallAheadMs += 6000;
  t.deepEqual(kinds(daemon.dispatch(1)), ['deadline-exceeded not-run']);
  daemon.wait(200);
  t.deepEqual(kinds(daemon.dispatch(2)), ['run']);
});

test('a leaving server gets no shared work, and keyed work for a while only', t => {
  const daemon = new ExecutingDaemon();
  daemon.announce({leaving: true});
  t.deepEqual(kinds(daemon.dispatch(1, {slice: null})), ['stopping not-run']);
  t.deepEqual(kinds(daemon.dispatch(2)), ['run']);
  daemon.wait(2100);
  t.deepEqual(kinds(daemon.dispatch(3)), ['stopping not-run']);
});

// Runs that a stopping daemon had taken were cut when its process was killed.
test('a stopping daemon takes no shared work that may outlast the stop', t => {
  const daemon = new ExecutingDaemon();
  daemon.state.stopEndsAt = daemon.now + 5000;
  daemon.run(1, {slice: null});
  t.deepEqual(kinds(daemon.dispatch(2, {slice: null})), ['stopping not-run']);
  t.deepEqual(kinds(daemon.dispatch(3)), ['run']);
});

for (const aborts of [true, false]) {
  test(`a silent run is aborted: ${aborts}`, t => {
    const daemon = new ExecutingDaemon(false, aborts);
    for (let sequence = 1; sequence <= 4; sequence++) daemon.run(sequence);
    daemon.dispatch(5);
    daemon.write(5);
    const found = kinds(daemon.wait(1200));
    t.deepEqual(found, aborts ? ['cancelRun', 'server-lost unknown'] : []);
  });
}

test('the log names the status of a completed run', t => {
  const daemon = new ExecutingDaemon();
  const logged = daemon
    .run(1)
    .filter(effect => effect.kind === 'log' && effect.event === 'runEnded');
  const request = 'r1';
  const fields = {request, attempt: idOf(1), status: 200, runMs: RUN_MS};
  t.deepEqual(logged, [{kind: 'log', event: 'runEnded', fields}] as never);
});
