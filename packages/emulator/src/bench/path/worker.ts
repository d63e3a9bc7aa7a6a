/**
 * @fileoverview A caller that sends bookings at a fixed rate. Latency counts
 * from the time a request was due, so that a stall shows in all it delayed.
 */

import {Agent, request} from 'node:http';
import {build} from 'hdr-histogram-js';
import {serve} from '../workers.js';
import type {PathOrder, PathResult} from './types.js';

const MAX_SOCKETS = 100;
/** Requests waiting or running at which further ones are given up. */
const MAX_OPEN = 1000;
const BODY = Buffer.alloc(200, 'x');
const OK = 200;
const HISTOGRAM = {
  lowestDiscernibleValue: 1,
  highestTrackableValue: 60_000_000,
  numberOfSignificantValueDigits: 3,
} as const;

serve({drive: (order: PathOrder) => drive(order)});

async function drive(order: PathOrder): Promise<PathResult> {
  const agent = new Agent({keepAlive: true, maxSockets: MAX_SOCKETS});
  const latencies = build(HISTOGRAM);
  const totals = {done: 0, failed: 0, failure: ''};
  const startMs = performance.now();
  const open: Promise<void>[] = [];
  const total = Math.floor((order.perSecond * order.durationMs) / 1000);
  while (open.length < total) {
    const dueCount = ((performance.now() - startMs) * order.perSecond) / 1000;
    while (open.length < Math.min(total, dueCount)) {
      const dueMs = startMs + (open.length * 1000) / order.perSecond;
      open.push(send(open.length, dueMs));
    }
    await new Promise(resolve => setTimeout(resolve, 1));
  }
  await Promise.all(open);
  agent.destroy();
  return {
    ...totals,
    p50Us: latencies.getValueAtPercentile(50),
    p99Us: latencies.getValueAtPercentile(99),
  };

  function send(at: number, dueMs: number): Promise<void> {
    if (at - totals.done - totals.failed < MAX_OPEN) {
      return book(order, at, agent, totals, () => record(dueMs));
    }
    totals.failed += 1;
    totals.failure ||= 'given up: too many open';
    return Promise.resolve();
  }

  function record(dueMs: number): void {
    const us = Math.max(1, Math.round((performance.now() - dueMs) * 1000));
    latencies.recordValue(us);
  }
}

function book(
  order: PathOrder,
  at: number,
  agent: Agent,
  totals: {done: number; failed: number; failure: string},
  done: () => void,
): Promise<void> {
  const path = order.paths[at % order.paths.length] ?? '/';
  const headers = {
    'content-type': 'application/json',
    'content-length': BODY.length,
    'x-caller-request': `p${process.pid}-${at}`,
  };
  return new Promise(resolve => {
    const fail = (reason: string) => {
      totals.failed += 1;
      totals.failure = reason;
      resolve();
    };
    const outgoing = request(
      `http://${order.target}${path}`,
      {method: 'POST', agent, headers},
      response => {
        const parts: Buffer[] = [];
        response.on('data', (part: Buffer) => parts.push(part));
        response.on('error', error => fail(error.message));
        response.on('end', () => {
          if (response.statusCode !== OK) {
            fail(`${response.statusCode} ${Buffer.concat(parts).toString()}`);
            return;
          }
          totals.done += 1;
          done();
          resolve();
        });
      },
    );
    outgoing.on('error', error => fail(error.message));
    outgoing.end(BODY);
  });
}
