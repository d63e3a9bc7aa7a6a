/**
 * @fileoverview Tests of requests whose attempts are rejected: daemons neither
 * multiply their own load nor keep trying a server that takes no work.
 */

import test from 'ava';

import type {MemberId} from '../ids/types.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import {
  NO_WORK,
  OTHER,
  OWNER,
  Origin,
  idOf,
  summarize,
} from '../testing/origin.js';

// A server that rejects at once looked idle, and was tried first by each request.
for (const error of ['stopping', 'no-server'] as const) {
  test(`requests don't follow one that was answered ${error}`, t => {
    const origin = new Origin();
    origin.ownership.servers = [OWNER];
    origin.accept({slice: null});
    origin.ownership.servers = [OWNER, OTHER];
    const rejection = {error, run: 'not-run'} as const;
    t.deepEqual(summarize(origin.failed(1, rejection)), [
      `sendDispatch ${OTHER}`,
    ]);
    for (let request = 0; request < 10; request++) {
      origin.now += 20;
      origin.head(origin.state.sequence, OTHER);
      const attempt = idOf(origin.state.sequence);
      origin.receive({kind: 'end', attempt, outstanding: 4, ...NO_WORK}, OTHER);
      origin.now += 25;
      const name = `n${request}` as never;
      t.deepEqual(summarize(origin.accept({slice: null, request: name})), [
        `sendDispatch ${OTHER}`,
      ]);
    }
  });
}

/** Attempts beyond the first of each request, as a share of the requests. */
const MAX_EXTRA_SHARE = 0.2;

// Attempts at servers without room took down the daemons that sent them.
for (const error of ['overloaded', 'no-server'] as const) {
  test(`attempts stay near the requests while all servers answer ${error}`, t => {
    const origin = new Origin();
    const servers = Array.from(
      {length: 20},
      (_, index) => `s${index}#1` as MemberId,
    );
    origin.ownership.servers = servers;
    const rejection = {error, run: 'not-run'} as const;
    const count = 1000;
    for (let request = 0; request < count; request++) {
      origin.accept({slice: null, request: `r${request}` as never});
      for (let at = 0; at < servers.length; at++) {
        const [open] = origin.state.attempts.values();
        if (open === undefined) break;
        origin.failed(origin.state.sequence, rejection, open.to);
      }
      origin.now += 10;
    }
    t.is(origin.state.requests.size, 0);
    const {redirectBurst} = DEFAULT_TUNING.routing;
    const extra = origin.state.sequence - count;
    t.true(extra <= MAX_EXTRA_SHARE * count + redirectBurst, `${extra} more`);
  });
}
