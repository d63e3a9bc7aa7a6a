/** @fileoverview Tests of the emulated platform. */

import type {PlatformCommand} from './types.js';
import type {RowCheck, RowPut, Transaction, WriteId} from '@jackdawfall/core';

import test from 'ava';

import {get, post} from '../control/client.js';
import {startPlatform} from './definition.js';
import {admitCall, commit, executeCommand, read} from './logic.js';
import {createPlatformState} from './state.js';

const write = (checks: RowCheck[], puts: RowPut[]): Transaction => ({
  writeId: 'w' as WriteId,
  checks,
  puts,
});

const COMMITS: ReadonlyArray<{
  title: string;
  checks: RowCheck[];
  committed: boolean;
}> = [
  {title: 'no condition', checks: [], committed: true},
  {
    title: 'the row is at the expected revision',
    checks: [{key: 'a', revision: 1}],
    committed: true,
  },
  {
    title: 'the row is absent as expected',
    checks: [{key: 'z', revision: 0}],
    committed: true,
  },
  {
    title: 'the row has a newer revision',
    checks: [{key: 'a', revision: 0}],
    committed: false,
  },
  {
    title: 'only one of two conditions holds',
    checks: [
      {key: 'a', revision: 1},
      {key: 'b', revision: 7},
    ],
    committed: false,
  },
];

for (const {title, checks, committed} of COMMITS) {
  test(`a commit is atomic: ${title}`, t => {
    const state = createPlatformState();
    commit(state, write([], [{key: 'a', value: '1'}]));
    const puts = [
      {key: 'a', value: null},
      {key: 'c', value: '3'},
    ];
    const outcome = commit(state, write(checks, puts));
    t.is(outcome.kind, committed ? 'committed' : 'conflict');
    t.is(state.rows.has('a'), !committed);
    t.is(state.rows.has('c'), committed);
  });
}

test('a range is in key order and limited', t => {
  const state = createPlatformState();
  for (const key of ['w/3', 'w/1', 'v/9', 'w/2']) {
    commit(state, write([], [{key, value: key}]));
  }
  const rows = read(state, {kind: 'range', from: 'w/', to: 'w0', limit: 2});
  t.deepEqual(
    rows.map(row => row.key),
    ['w/1', 'w/2'],
  );
});

test('the rate limit counts reads and writes separately in each second', t => {
  const state = createPlatformState();
  executeCommand(state, {kind: 'rate', writesPerSecond: 1, readsPerSecond: 2});
  const admitted = [
    admitCall(state, 'write', 1000),
    admitCall(state, 'write', 1900),
    admitCall(state, 'read', 1900),
    admitCall(state, 'write', 2000),
  ];
  t.deepEqual(admitted, [true, false, true, true]);
});

const FAULTS: ReadonlyArray<{
  title: string;
  commands: PlatformCommand[];
  status: number | null;
  written: boolean;
}> = [
  {title: 'no fault', commands: [], status: 200, written: true},
  {
    title: 'an outage that refuses',
    commands: [{kind: 'outage', mode: 'refuse'}],
    status: 503,
    written: false,
  },
  {
    title: 'an outage without replies',
    commands: [{kind: 'outage', mode: 'hang'}],
    status: null,
    written: false,
  },
  {
    title: 'a lost reply',
    commands: [{kind: 'loseReplies', probability: 1}],
    status: null,
    written: true,
  },
  {
    title: 'a delayed write',
    commands: [{kind: 'delayWrites', probability: 1, ms: 300}],
    status: null,
    written: true,
  },
];

/** Time within which a reply that is due arrives, in milliseconds. */
const DUE_MS = 5000;
/** Time without a reply after which none is expected, in milliseconds. */
const SILENCE_MS = 150;

for (const {title, commands, status, written} of FAULTS) {
  test(`a commit during ${title}`, async t => {
    const stop = new AbortController();
    t.teardown(() => stop.abort());
    const options = {port: 0, controlPort: 0, seed: 1};
    const ports = await startPlatform(options, stop.signal);
    for (const command of commands) {
      await post(`http://127.0.0.1:${ports.controlPort}/control`, command);
    }
    const url = `http://127.0.0.1:${ports.port}/table/commit`;
    const body = write([], [{key: 'a', value: '1'}]);
    const waitMs = status === null ? SILENCE_MS : DUE_MS;
    const reply = await post(url, body, waitMs).catch(() => null);
    t.is(reply?.status ?? null, status);
    await new Promise(resolve => setTimeout(resolve, 300));
    const ledger = await get(`http://127.0.0.1:${ports.controlPort}/ledger`);
    const {commits} = JSON.parse(ledger.body) as {commits: number};
    t.is(commits, written ? 1 : 0);
  });
}

test('an invalid command is refused with the path of the error', async t => {
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  const options = {port: 0, controlPort: 0, seed: 1};
  const {controlPort} = await startPlatform(options, stop.signal);
  const url = `http://127.0.0.1:${controlPort}/control`;
  const reply = await post(url, {kind: 'outage', mode: 'sometimes'});
  t.is(reply.status, 400);
  t.true(reply.body.includes('"path":["mode"]'));
});
