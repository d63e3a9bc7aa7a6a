/**
 * @fileoverview Tests of reading bodies. Guards against bodies that are read
 * although they can't be taken, and against bodies that keep their memory while
 * nothing of them arrives.
 */

import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {MemoryBudget} from '@jackdawfall/core';
import test from 'ava';
import type {ExecutionContext} from 'ava';

import {BodyReader} from './body.js';
import type {BodyResult} from './body.js';

const IP = '127.0.0.1';
const BUDGET_BYTES = 100_000;
const MAX_BYTES = 80_000;
const STALL_MS = 1100;
const SETTLE_MS = 100;

test('a body that announces too much is refused before it is read', async t => {
  const {reader, send, refusals} = await start(t);
  const large = await send(`content-length: ${MAX_BYTES + 1}`, '');
  t.is(reader.check(large, MAX_BYTES)?.kind, 'body-too-large');
  const huge = await send(`content-length: ${BUDGET_BYTES * 2}`, '');
  t.is(reader.check(huge, BUDGET_BYTES * 4)?.kind, 'overloaded');
  t.deepEqual(refusals, ['too-large', 'no-room']);
});

test('chunks of one byte are joined, counted and released', async t => {
  const {reader, budget, send} = await start(t);
  const body = `${'1\r\nx\r\n'.repeat(5000)}0\r\n\r\n`;
  const incoming = await send('transfer-encoding: chunked', body);
  const result = await reader.read(incoming, MAX_BYTES);
  if (result.kind !== 'complete') return t.fail(result.kind);
  t.is(result.bytes.length, 5000);
  t.is(budget.heldBytes.bodies, result.heldBytes);
  reader.release(result.heldBytes);
  t.is(budget.heldBytes.bodies, 0);
});

test('a stalled body gives way to another one', async t => {
  const {reader, send, refusals} = await start(t);
  const part = 'x'.repeat(60_000);
  const head = 'content-length: 70000';
  const stalled = reader.read(await send(head, part), MAX_BYTES);
  await sleep(STALL_MS);
  const other = reader.read(await send(head, part + part), MAX_BYTES);
  t.is(failureOf(await stalled), 'overloaded');
  t.is((await other).kind, 'complete');
  t.deepEqual(refusals, ['gave-way']);
});

test('a body of which nothing arrives is refused, and its memory freed', async t => {
  const {reader, budget, send} = await start(t);
  const read = reader.read(await send('content-length: 10', 'x'), MAX_BYTES);
  await sleep(SETTLE_MS);
  reader.refuseStalled(STALL_MS);
  t.true(budget.heldBytes.bodies > 0);
  reader.refuseStalled(SETTLE_MS / 2);
  t.is(failureOf(await read), 'body-timeout');
  t.is(budget.heldBytes.bodies, 0);
});

function failureOf(result: BodyResult): string {
  return result.kind === 'rejected' ? result.failure.kind : result.kind;
}

/** Starts a server; `send` sends a request and returns it as received. */
async function start(t: ExecutionContext) {
  const refusals: string[] = [];
  const budget = new MemoryBudget(BUDGET_BYTES);
  const reader = new BodyReader(budget, refusal => refusals.push(refusal));
  const server = createServer();
  server.listen(0, IP);
  await once(server, 'listening');
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const {port} = server.address() as AddressInfo;
  const send = async (header: string, body: string) => {
    const socket = connect(port, IP);
    socket.on('error', () => undefined);
    socket.write(`POST / HTTP/1.1\r\nhost: a\r\n${header}\r\n\r\n${body}`);
    const [incoming] = (await once(server, 'request')) as [IncomingMessage];
    return incoming;
  };
  return {reader, budget, send, refusals};
}
