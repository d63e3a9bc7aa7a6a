/** @fileoverview Tests of overload control in routing, switched off and on. */

import test from 'ava';

import type {Effect} from '../loop/types.js';
import {OTHER, OWNER, Origin, idOf, summarize} from '../testing/origin.js';
import type {Scheduling} from '../workspace/types.js';

const REJECTION = {
  error: 'overloaded',
  run: 'not-run',
  outstanding: 9,
} as const;
const RUN_MS = 200;

/** An origin that has seen a run of each server, and then a refusal. */
function refusedOrigin(scheduling: Scheduling, slice: number | null): Origin {
  const origin = new Origin();
  origin.ownership.scheduling = scheduling;
  for (const server of [OWNER, OTHER]) {
    origin.ownership.servers = slice === null ? [server] : [OWNER, OTHER];
    origin.accept({slice: slice as never, request: `run${server}` as never});
    origin.now += RUN_MS;
    const to = slice === null ? server : OWNER;
    origin.head(origin.state.sequence, to);
    origin.end(origin.state.sequence, to);
  }
  origin.ownership.servers = [OWNER, OTHER];
  origin.accept({slice: slice as never});
  refuseOpen(origin);
  return origin;
}

/** Refuses the latest attempt, and returns the effects. */
function refuseOpen(origin: Origin): Effect[] {
  const {attempts, sequence} = origin.state;
  return origin.failed(sequence, REJECTION, attempts.get(idOf(sequence))?.to);
}

// Without the switch nothing may change, neither messages nor responses.
for (const [scheduling, sent] of [
  ['count', true],
  ['cost', false],
] as const) {
  test(`${scheduling}: a slice's owner without room is asked again: ${sent}`, t => {
    const origin = refusedOrigin(scheduling, 3);
    const effects = origin.accept({request: 'r2' as never});
    t.deepEqual(
      summarize(effects),
      sent ? [`sendDispatch ${OWNER}`] : ['overloaded not-run'],
    );
    const failed = sent ? refuseOpen(origin) : effects;
    const [told] = failed.filter(each => each.kind === 'failRequest');
    t.is(told?.failure.retryAfterMs === undefined, sent);
  });
}

test('cost: a shared service is rejected once all its servers are full', t => {
  const origin = refusedOrigin('cost', null);
  // The refused attempt was redirected to the other server, which may have room.
  t.deepEqual(summarize(refuseOpen(origin)), ['overloaded not-run']);
  const effects = origin.accept({slice: null, request: 'r2' as never});
  t.deepEqual(summarize(effects), ['overloaded not-run']);
});

test('cost: a request that may have run is sent to a full server', t => {
  const origin = refusedOrigin('cost', 3);
  origin.accept({urgency: -1, idempotent: true, request: 'r2' as never});
  origin.failed(origin.state.sequence, {error: 'server-lost', run: 'unknown'});
  const sequence = origin.state.sequence;
  origin.wait(30);
  t.is(origin.state.sequence, sequence + 1);
});
