/** @fileoverview Tests of the load against a backend server in this process. */

import type {LoadOptions} from './types.js';
import type {ServerRecord, ServerOptions} from '../server/types.js';

import test from 'ava';

import {verifyOutcomes} from '../ledger/logic.js';
import {startServer} from '../server/definition.js';
import {startLoad} from './definition.js';
import {summarizeLatency} from './logic.js';

const SERVER: ServerOptions = {
  port: 0,
  controlPort: 0,
  host: 'h1',
  service: 'finder',
  announceTo: '',
  slots: 20,
  connections: 130,
  checksGrants: false,
  serviceMs: 2,
  coldSlots: 20,
  completedPerSlot: 1,
  breaksAt: 2,
  seed: 1,
};

const load = (targets: string[]): LoadOptions => ({
  targets,
  arrivals: {kind: 'closed', callers: 4},
  durationMs: 5000,
  maxRequests: 60,
  seed: 7,
  keys: 10,
  zipf: 1,
  bodyBytes: 50,
  routes: [
    {
      name: 'book',
      service: 'finder',
      weight: 1,
      method: 'POST',
      path: '/finder/{key}',
      timeoutMs: 1000,
    },
  ],
});

test('each request runs once and gets its own response', async t => {
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  const serverRecords: ServerRecord[] = [];
  const ports = await startServer(SERVER, stop.signal, record => {
    serverRecords.push(record);
  });
  const running = startLoad(load([`127.0.0.1:${ports.port}`]), stop.signal);
  await running.finished;
  const verdict = verifyOutcomes(running.records, serverRecords, []);
  t.is(verdict.done, verdict.requests);
  t.true(verdict.requests >= 60);
  t.deepEqual(verdict.violations, []);
  t.is(summarizeLatency(running.records).count, verdict.done);
});

test('a request whose connection is refused is not run', async t => {
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  const running = startLoad(load(['127.0.0.1:9']), stop.signal);
  await running.finished;
  t.true(running.records.every(record => record.outcome === 'not-run'));
});
