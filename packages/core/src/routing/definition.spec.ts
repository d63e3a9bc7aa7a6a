/** @fileoverview The origin's side: tables of faults and what callers get. */

import test from 'ava';

import type {AttemptId, MemberId} from '../ids/types.js';
import type {Effect, Event, AcceptedRequest} from '../loop/types.js';
import type {RequestMessage} from '../messages/types.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import {stubOwnership, stubView} from '../testing/ownership.js';
import {ROUTING} from './definition.js';
import {createRoutingState} from './state.js';

const SELF = 'h1#1' as MemberId;
const OWNER = 'h2#1' as MemberId;
const OTHER = 'h3#1' as MemberId;
const REQUEST = 'r1' as never;
const TIMEOUT_MS = 1000;

class Origin {
  readonly state = createRoutingState(DEFAULT_TUNING);
  readonly ownership = stubOwnership(SELF, OWNER);
  now = 1000;

  feed(event: Event): Effect[] {
    const at = {monotonic: this.now, wall: this.now};
    const input = {at, random: 0.1, event};
    const ownership = stubView(this.ownership);
    return ROUTING.reduce(this.state, input, {ownership});
  }

  take(changes: Partial<AcceptedRequest> = {}): Effect[] {
    const taken: AcceptedRequest = {
      request: REQUEST,
      service: 's' as never,
      slice: 3 as never,
      idempotent: false,
      priority: 'interactive',
      timeoutMs: TIMEOUT_MS,
      maxAttempts: null,
      idempotencyKey: null,
      ...changes,
    };
    return this.feed({kind: 'taken', accepted: taken});
  }

  hear(message: RequestMessage, from: MemberId = OWNER): Effect[] {
    return this.feed({kind: 'received', from, message});
  }

  head(sequence: number, from: MemberId = OWNER): Effect[] {
    const attempt = idOf(sequence);
    return this.hear({kind: 'head', attempt, status: 200, headers: []}, from);
  }

  end(sequence: number, from: MemberId = OWNER): Effect[] {
    const attempt = idOf(sequence);
    return this.hear({kind: 'end', attempt, outstanding: 0}, from);
  }

  failed(
    sequence: number,
    changes: Partial<Extract<RequestMessage, {kind: 'failed'}>> = {},
    from: MemberId = OWNER,
  ): Effect[] {
    const failed = {
      kind: 'failed',
      attempt: idOf(sequence),
      error: 'server-lost',
      run: 'unknown',
      detail: '',
      owner: null,
      version: 1 as never,
      outstanding: 0,
      ...changes,
    } as const;
    return this.hear(failed, from);
  }

  fate(state: 'never' | 'running' | 'kept' | 'forgotten'): Effect[] {
    return this.hear({kind: 'fate', attempt: idOf(1), state});
  }

  lose(): Effect[] {
    return this.feed({kind: 'linkLost', peer: OWNER});
  }

  wait(ms: number): Effect[] {
    const effects: Effect[] = [];
    const until = this.now + ms;
    while (this.now < until) {
      this.now = Math.min(until, this.now + DEFAULT_TUNING.loop.tickMs);
      effects.push(...this.feed({kind: 'ticked'}));
      effects.push(...this.feed({kind: 'woken'}));
    }
    return effects;
  }
}

function idOf(sequence: number): AttemptId {
  return `${SELF}/${sequence}` as AttemptId;
}

function gist(effects: readonly Effect[]): string[] {
  return effects.flatMap(effect => {
    if (effect.kind === 'forward') return [`forward ${effect.to}`];
    if (effect.kind === 'send') return [effect.message.kind];
    if (effect.kind === 'relay' || effect.kind === 'violate') {
      return [effect.kind];
    }
    if (effect.kind !== 'fail') return [];
    return [`${effect.failure.kind} ${effect.failure.run}`];
  });
}

const AGAIN = [`forward ${OWNER}`];

/** A fault at the origin: what follows for either kind of request. */
const FAULTS: ReadonlyArray<{
  name: string;
  fault: (origin: Origin) => Effect[];
  booking: string[];
  lookup: string[];
}> = [
  {
    name: 'nothing reached a link',
    fault: origin => origin.feed({kind: 'unsent', attempt: idOf(1)}),
    booking: AGAIN,
    lookup: AGAIN,
  },
  {
    name: 'the owner did not run it',
    fault: origin => origin.failed(1, {run: 'not-run'}),
    booking: AGAIN,
    lookup: AGAIN,
  },
  {
    name: 'the owner does not know whether it ran',
    fault: origin => origin.failed(1),
    booking: ['server-lost unknown'],
    lookup: AGAIN,
  },
  {
    name: 'the link was lost',
    fault: origin => origin.lose(),
    booking: ['inquire'],
    lookup: ['inquire'],
  },
  {
    name: 'the link was lost, never started',
    fault: origin => {
      origin.lose();
      return origin.fate('never');
    },
    booking: AGAIN,
    lookup: AGAIN,
  },
  {
    name: 'the link was lost, still running',
    fault: origin => {
      origin.lose();
      return [...origin.fate('running'), ...origin.head(1)];
    },
    booking: ['relay'],
    lookup: ['relay'],
  },
  {
    name: 'the link was lost, forgotten',
    fault: origin => {
      origin.lose();
      return origin.fate('forgotten');
    },
    booking: ['link-lost unknown'],
    lookup: AGAIN,
  },
  {
    name: 'the link was lost, the owner has ended',
    fault: origin => {
      origin.lose();
      origin.ownership.ended = [OWNER];
      return origin.feed({kind: 'ticked'});
    },
    booking: ['link-lost unknown'],
    lookup: AGAIN,
  },
  {
    name: 'cut after the head was relayed',
    fault: origin => {
      origin.head(1);
      return origin.failed(1);
    },
    booking: ['server-lost unknown'],
    lookup: ['server-lost unknown'],
  },
  {
    name: 'the link was lost after the head, and the answer comes again',
    fault: origin => {
      origin.head(1);
      origin.lose();
      return [...origin.fate('kept'), ...origin.head(1), ...origin.end(1)];
    },
    booking: [],
    lookup: [],
  },
  {
    name: 'a failure comes from another member than the one asked',
    fault: origin => origin.failed(1, {}, OTHER),
    booking: [],
    lookup: [],
  },
];

for (const {name, fault, booking, lookup} of FAULTS) {
  for (const idempotent of [false, true]) {
    test(`${idempotent ? 'lookup' : 'booking'}: ${name}`, t => {
      const origin = new Origin();
      t.deepEqual(gist(origin.take({idempotent})), [`forward ${OWNER}`]);
      const effects = fault(origin);
      effects.push(...origin.wait(100));
      t.deepEqual(gist(effects), idempotent ? lookup : booking);
    });
  }
}

/** A refusal that names a way on. */
const REDIRECTS: ReadonlyArray<{
  name: string;
  version: number;
  owner: MemberId | null;
  expected: string[];
}> = [
  {
    name: 'a newer map is followed at once',
    version: 2,
    owner: OTHER,
    expected: [`forward ${OTHER}`],
  },
  {
    name: 'an older map is not followed',
    version: 1,
    owner: OTHER,
    expected: [],
  },
];

for (const {name, version, owner, expected} of REDIRECTS) {
  test(`redirect: ${name}`, t => {
    const origin = new Origin();
    origin.take();
    const refusal = {
      error: 'no-owner',
      run: 'not-run',
      owner,
      version: version as never,
    } as const;
    t.deepEqual(gist(origin.failed(1, refusal)), expected);
  });
}

/** What a caller is told when its time is over. */
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
    name: 'a slice that moves all the time',
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
    name: 'an attempt without any word',
    prepare: () => undefined,
    graceMs: DEFAULT_TUNING.routing.graceMs,
    expected: ['cancel', 'cancel', 'deadline-exceeded unknown'],
  },
  {
    name: 'an attempt that says in the grace period that it did not run',
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
    origin.take(changes);
    t.deepEqual(gist(origin.wait(TIMEOUT_MS - 50)), []);
    const effects = origin.wait(50);
    effects.push(...(during?.(origin) ?? []), ...origin.wait(graceMs));
    t.deepEqual(gist(effects), expected);
    t.is(origin.state.requests.size, 0);
    t.is(origin.state.attempts.size, 0);
  });
}

test('a request waits for an owner and goes on when the map changes', t => {
  const origin = new Origin();
  origin.ownership.owner = null;
  t.deepEqual(gist(origin.take()), []);
  origin.ownership.owner = OTHER;
  origin.ownership.version = 2;
  t.deepEqual(gist(origin.lose()), [`forward ${OTHER}`]);
});

test('a caller that hangs up cancels its attempts', t => {
  const origin = new Origin();
  origin.take();
  t.deepEqual(gist(origin.feed({kind: 'hungUp', request: REQUEST})), [
    'cancel',
  ]);
  t.deepEqual(gist(origin.head(1)), []);
  t.is(origin.state.requests.size, 0);
});

test('a shared request that is refused goes to another server', t => {
  const origin = new Origin();
  origin.ownership.servers = [OWNER];
  origin.take({slice: null});
  origin.ownership.servers = [OWNER, OTHER];
  const refusal = {error: 'overloaded', run: 'not-run'} as const;
  t.deepEqual(gist(origin.failed(1, refusal)), [`forward ${OTHER}`]);
});

test('retries stay within their share of requests', t => {
  const origin = new Origin();
  let forwards = 0;
  const count = 2000;
  for (let i = 0; i < count; i++) {
    origin.take({request: `r${i}` as never, idempotent: true});
    const failures = origin.failed(origin.state.sequence);
    forwards += 1;
    for (const effect of [...failures, ...origin.wait(300)]) {
      if (effect.kind !== 'forward') continue;
      forwards += 1;
      origin.feed({kind: 'hungUp', request: effect.request});
    }
  }
  const {retryBurst} = DEFAULT_TUNING.routing;
  t.true(forwards - count <= 0.1 * count + retryBurst);
});

test('a slow lookup is hedged after the usual latency; the loser goes', t => {
  const origin = new Origin();
  origin.ownership.servers = [OWNER, OTHER];
  const lookup = {slice: null, idempotent: true};
  for (let i = 1; i <= 30; i++) {
    origin.take({...lookup, request: `w${i}` as never});
    origin.now += 6;
    for (const from of [OWNER, OTHER]) {
      origin.head(i, from);
      origin.end(i, from);
    }
    origin.feed({kind: 'answered', request: `w${i}` as never});
  }
  const [first] = gist(origin.take(lookup));
  const [second] = gist(origin.wait(20));
  t.deepEqual(
    [first, second].sort(),
    [`forward ${OWNER}`, `forward ${OTHER}`].sort(),
  );
  const winner = second === `forward ${OWNER}` ? OWNER : OTHER;
  t.deepEqual(gist(origin.head(32, winner)), ['relay', 'cancel']);
});

test('events while a retry is due soon ask for one wake, not one each', t => {
  const origin = new Origin();
  const wakesOf = (effects: Effect[]) =>
    effects.filter(({kind}) => kind === 'wake').length;
  for (const request of ['r1', 'r2']) {
    origin.take({idempotent: true, request: request as never});
    origin.failed(origin.state.sequence);
    origin.now += 0.3;
  }
  origin.now = origin.state.wakeAt;
  let wakes = wakesOf(origin.feed({kind: 'woken'}));
  for (let i = 0; i < 20; i++) {
    wakes += wakesOf(origin.feed({kind: 'linkOpened', peer: OTHER}));
  }
  t.is(wakes, 1);
});

test('the number of requests held is bounded', t => {
  const origin = new Origin();
  const {maxRequests} = DEFAULT_TUNING.routing;
  for (let i = 0; i < maxRequests; i++) {
    origin.take({request: `r${i}` as never});
  }
  const effects = origin.take({request: 'x' as never});
  t.deepEqual(gist(effects), ['overloaded not-run']);
});
