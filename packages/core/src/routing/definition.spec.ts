/**
 * @fileoverview Tests of routing: which failure of an attempt leads to which
 * next step, and what the caller gets in the end.
 */

import test from 'ava';

import type {MemberId} from '../ids/types.js';
import type {Effect, AcceptedRequest} from '../loop/types.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import {
  OTHER,
  OWNER,
  Origin,
  REQUEST,
  TIMEOUT_MS,
  idOf,
  summarize,
} from '../testing/origin.js';

const RETRIED = [`sendDispatch ${OWNER}`];

/** A failure of the first attempt and the effects for both kinds of request. */
const FAILURES: ReadonlyArray<{
  name: string;
  fault: (origin: Origin) => Effect[];
  booking: string[];
  lookup: string[];
}> = [
  {
    name: 'no byte reached a link',
    fault: origin => origin.feed({kind: 'dispatchNotSent', attempt: idOf(1)}),
    booking: RETRIED,
    lookup: RETRIED,
  },
  {
    name: 'the owner did not run it',
    fault: origin => origin.failed(1, {run: 'not-run'}),
    booking: RETRIED,
    lookup: RETRIED,
  },
  {
    name: 'the owner does not know whether it ran',
    fault: origin => origin.failed(1),
    booking: ['server-lost unknown'],
    lookup: RETRIED,
  },
  {
    name: 'the link was lost',
    fault: origin => origin.loseLink(),
    booking: ['inquire'],
    lookup: ['inquire'],
  },
  {
    name: 'the link was lost, the attempt was never started',
    fault: origin => {
      origin.loseLink();
      return origin.fate('never');
    },
    booking: RETRIED,
    lookup: RETRIED,
  },
  {
    name: 'the link was lost, the attempt still runs',
    fault: origin => {
      origin.loseLink();
      return [...origin.fate('running'), ...origin.head(1)];
    },
    booking: ['relayResponse'],
    lookup: ['relayResponse'],
  },
  {
    name: 'the link was lost, the owner no longer knows the attempt',
    fault: origin => {
      origin.loseLink();
      return origin.fate('forgotten');
    },
    booking: ['link-lost unknown'],
    lookup: RETRIED,
  },
  {
    name: 'the link was lost, the owner was removed from the workspace',
    fault: origin => {
      origin.loseLink();
      origin.ownership.ended = [OWNER];
      return origin.feed({kind: 'ticked'});
    },
    booking: ['link-lost unknown'],
    lookup: RETRIED,
  },
  {
    name: 'the attempt fails after the response head was relayed',
    fault: origin => {
      origin.head(1);
      return origin.failed(1);
    },
    booking: ['server-lost unknown'],
    lookup: ['server-lost unknown'],
  },
  {
    name: 'the link was lost after the head, and the response is sent again',
    fault: origin => {
      origin.head(1);
      origin.loseLink();
      return [...origin.fate('kept'), ...origin.head(1), ...origin.end(1)];
    },
    booking: [],
    lookup: [],
  },
  {
    name: 'a failure comes from a member that the attempt was not sent to',
    fault: origin => origin.failed(1, {}, OTHER),
    booking: [],
    lookup: [],
  },
];

for (const {name, fault, booking, lookup} of FAILURES) {
  for (const idempotent of [false, true]) {
    test(`${idempotent ? 'lookup' : 'booking'}: ${name}`, t => {
      const origin = new Origin();
      t.deepEqual(summarize(origin.accept({idempotent})), [
        `sendDispatch ${OWNER}`,
      ]);
      const effects = fault(origin);
      effects.push(...origin.wait(100));
      t.deepEqual(summarize(effects), idempotent ? lookup : booking);
    });
  }
}

/** A rejected attempt whose daemon names the owner it knows. */
const REDIRECTS: ReadonlyArray<{
  name: string;
  version: number;
  owner: MemberId | null;
  expected: string[];
}> = [
  {
    name: 'an owner from a newer map gets the next attempt immediately',
    version: 2,
    owner: OTHER,
    expected: [`sendDispatch ${OTHER}`],
  },
  {
    name: 'an owner from a map that is not newer is ignored',
    version: 1,
    owner: OTHER,
    expected: [],
  },
];

for (const {name, version, owner, expected} of REDIRECTS) {
  test(`redirect: ${name}`, t => {
    const origin = new Origin();
    origin.accept();
    const refusal = {
      error: 'no-owner',
      run: 'not-run',
      owner,
      version: version as never,
    } as const;
    t.deepEqual(summarize(origin.failed(1, refusal)), expected);
  });
}

/** What the caller is told when the deadline has passed. */
const DEADLINES: ReadonlyArray<{
  name: string;
  prepare: (origin: Origin) => void;
  changes?: Partial<AcceptedRequest>;
  graceMs: number;
  during?: (origin: Origin) => Effect[];
  expected: string[];
}> = [
  {
    name: 'no owner',
    prepare: origin => (origin.ownership.owner = null),
    graceMs: 0,
    expected: ['no-owner not-run'],
  },
  {
    name: 'a slice that keeps moving',
    prepare: origin => (origin.ownership.moving = true),
    graceMs: 0,
    expected: ['no-owner not-run'],
  },
  {
    name: 'no server of a shared service',
    prepare: origin => (origin.ownership.servers = []),
    changes: {slice: null},
    graceMs: 0,
    expected: ['no-server not-run'],
  },
  {
    name: 'an attempt without any message',
    prepare: () => undefined,
    graceMs: DEFAULT_TUNING.routing.graceMs,
    expected: ['cancel', 'cancel', 'deadline-exceeded unknown'],
  },
  {
    name: 'an attempt reported as not run within the grace period',
    prepare: () => undefined,
    graceMs: 50,
    during: origin => origin.failed(1, {error: 'cancelled', run: 'not-run'}),
    expected: ['cancel', 'deadline-exceeded not-run'],
  },
];

for (const {name, prepare, changes, graceMs, during, expected} of DEADLINES) {
  test(`deadline with ${name}`, t => {
    const origin = new Origin();
    prepare(origin);
    origin.accept(changes);
    t.deepEqual(summarize(origin.wait(TIMEOUT_MS - 50)), []);
    const effects = origin.wait(50);
    effects.push(...(during?.(origin) ?? []), ...origin.wait(graceMs));
    t.deepEqual(summarize(effects), expected);
    t.is(origin.state.requests.size, 0);
    t.is(origin.state.attempts.size, 0);
  });
}

test('a request waits for an owner and is sent when the map changes', t => {
  const origin = new Origin();
  origin.ownership.owner = null;
  t.deepEqual(summarize(origin.accept()), []);
  origin.ownership.owner = OTHER;
  origin.ownership.version = 2;
  t.deepEqual(summarize(origin.loseLink()), [`sendDispatch ${OTHER}`]);
});

/** Latency objective, and the time for which an owner is awaited. */
const WAITS_FOR_OWNER = [
  [0, 300],
  [400, 300],
  [900, 450],
] as const;

for (const [objectiveMs, waitMs] of WAITS_FOR_OWNER) {
  test(`with an objective of ${objectiveMs} ms an owner is awaited for ${waitMs}`, t => {
    const origin = new Origin({waitMs: 300, waitObjectiveShare: 0.5});
    origin.ownership.owner = null;
    origin.accept({objectiveMs});
    t.deepEqual(summarize(origin.wait(waitMs - 50)), []);
    t.is(summarize(origin.wait(100)).length, 1);
  });
}

test('attempts are cancelled when the caller closes its connection', t => {
  const origin = new Origin();
  origin.accept();
  t.deepEqual(
    summarize(origin.feed({kind: 'callerDisconnected', request: REQUEST})),
    ['cancel'],
  );
  t.deepEqual(summarize(origin.head(1)), []);
  t.is(origin.state.requests.size, 0);
});

test('a refused request of a shared service goes to another server', t => {
  const origin = new Origin();
  origin.ownership.servers = [OWNER];
  origin.accept({slice: null});
  origin.ownership.servers = [OWNER, OTHER];
  const refusal = {error: 'overloaded', run: 'not-run'} as const;
  t.deepEqual(summarize(origin.failed(1, refusal)), [`sendDispatch ${OTHER}`]);
});

test('retries stay within the retry budget', t => {
  const origin = new Origin();
  let dispatches = 0;
  const count = 2000;
  for (let i = 0; i < count; i++) {
    origin.accept({request: `r${i}` as never, idempotent: true});
    const failures = origin.failed(origin.state.sequence);
    dispatches += 1;
    for (const effect of [...failures, ...origin.wait(300)]) {
      if (effect.kind !== 'sendDispatch') continue;
      dispatches += 1;
      origin.feed({kind: 'callerDisconnected', request: effect.request});
    }
  }
  const {retryBurst} = DEFAULT_TUNING.routing;
  t.true(dispatches - count <= 0.1 * count + retryBurst);
});

test('a slow lookup is hedged after the usual latency, the slower attempt cancelled', t => {
  const origin = new Origin();
  origin.ownership.servers = [OWNER, OTHER];
  const lookup = {slice: null, idempotent: true};
  for (let i = 1; i <= 30; i++) {
    origin.accept({...lookup, request: `w${i}` as never});
    origin.now += 6;
    for (const from of [OWNER, OTHER]) {
      origin.head(i, from);
      origin.end(i, from);
    }
    origin.feed({kind: 'responseDelivered', request: `w${i}` as never});
  }
  const [first] = summarize(origin.accept(lookup));
  const [second] = summarize(origin.wait(20));
  t.deepEqual(
    [first, second].sort(),
    [`sendDispatch ${OWNER}`, `sendDispatch ${OTHER}`].sort(),
  );
  const winner = second === `sendDispatch ${OWNER}` ? OWNER : OTHER;
  t.deepEqual(summarize(origin.head(32, winner)), ['relayResponse', 'cancel']);
});

test('many events before a retry is due start one timer', t => {
  const origin = new Origin();
  const timersIn = (effects: Effect[]) =>
    effects.filter(({kind}) => kind === 'startTimer').length;
  for (const request of ['r1', 'r2']) {
    origin.accept({idempotent: true, request: request as never});
    origin.failed(origin.state.sequence);
    origin.now += 0.3;
  }
  origin.now = origin.state.runtimeTimerAt;
  let timers = timersIn(origin.feed({kind: 'timerFired'}));
  for (let i = 0; i < 20; i++) {
    timers += timersIn(origin.feed({kind: 'linkOpened', peer: OTHER}));
  }
  t.is(timers, 1);
});

test('requests beyond the limit are rejected as overloaded', t => {
  const origin = new Origin();
  const {maxRequests} = DEFAULT_TUNING.routing;
  for (let i = 0; i < maxRequests; i++) {
    origin.accept({request: `r${i}` as never});
  }
  const effects = origin.accept({request: 'x' as never});
  t.deepEqual(summarize(effects), ['overloaded not-run']);
});
