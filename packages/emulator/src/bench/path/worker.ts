/**
 * @fileoverview Worker process of a caller that sends bookings at a fixed rate.
 * Latency is measured from the time when a request was due, so a stall
 * counts for every request it delays (no coordinated omission).
 */

import {Agent, request} from 'node:http';
import {build} from 'hdr-histogram-js';
import {serve} from '../workers.js';
import type {LoadOptions, LoadResult} from './types.js';

const MAX_SOCKETS = 100;
/** With this many open requests, further ones are not sent but count as failed. */
const MAX_OPEN_REQUESTS = 1000;
const BODY = Buffer.alloc(200, 'x');
const STATUS_OK = 200;
const HISTOGRAM_OPTIONS = {
  lowestDiscernibleValue: 1,
  highestTrackableValue: 60_000_000,
  numberOfSignificantValueDigits: 3,
} as const;

serve({drive: (order: LoadOptions) => runLoad(order)});

async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const agent = new Agent({keepAlive: true, maxSockets: MAX_SOCKETS});
  const latencies = build(HISTOGRAM_OPTIONS);
  const totals = {done: 0, failed: 0, failure: ''};
  const startMs = performance.now();
  const open: Promise<void>[] = [];
  const total = Math.floor((options.perSecond * options.durationMs) / 1000);
  while (open.length < total) {
    const dueCount = ((performance.now() - startMs) * options.perSecond) / 1000;
    while (open.length < Math.min(total, dueCount)) {
      const dueMs = startMs + (open.length * 1000) / options.perSecond;
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

  function send(index: number, dueMs: number): Promise<void> {
    if (index - totals.done - totals.failed < MAX_OPEN_REQUESTS) {
      return sendBooking(options, index, agent, totals, () => record(dueMs));
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

function sendBooking(
  options: LoadOptions,
  index: number,
  agent: Agent,
  totals: {done: number; failed: number; failure: string},
  onDone: () => void,
): Promise<void> {
  const path = options.paths[index % options.paths.length] ?? '/';
  const headers = {
    'content-type': 'application/json',
    'content-length': BODY.length,
    'x-caller-request': `p${process.pid}-${index}`,
  };
  return new Promise(resolve => {
    const fail = (reason: string) => {
      totals.failed += 1;
      totals.failure = reason;
      resolve();
    };
    const outgoing = request(
      `http://${options.target}${path}`,
      {method: 'POST', agent, headers},
      response => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', error => fail(error.message));
        response.on('end', () => {
          if (response.statusCode !== STATUS_OK) {
            fail(`${response.statusCode} ${Buffer.concat(chunks).toString()}`);
            return;
          }
          totals.done += 1;
          onDone();
          resolve();
        });
      },
    );
    outgoing.on('error', error => fail(error.message));
    outgoing.end(BODY);
  });
}
