/** @fileoverview Tests of the connection pool with a fake backend server. */

import {createServer} from 'node:http';
import type {RequestListener, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import test from 'ava';
import type {ExecutionContext} from 'ava';

import type {Address, Announcement} from '@jackdawfall/core';

import {ServerConnectionPool} from './connections.js';

const SETTLE_MS = 50;

const CASES: ReadonlyArray<{
  name: string;
  limit: number;
  /** Number of requests started before and after each replacement. */
  rounds: readonly number[];
  /** Maximum number of open connections once all requests have ended. */
  idleAtMost: number;
}> = [
  {name: 'no replacement', limit: 4, rounds: [3], idleAtMost: 3},
  {name: 'one replacement', limit: 4, rounds: [3, 1], idleAtMost: 1},
  {name: 'two replacements', limit: 6, rounds: [2, 2, 2], idleAtMost: 2},
];

for (const {name, limit, rounds, idleAtMost} of CASES) {
  test(`${name}: at most ${limit} connections at a time`, async t => {
    const waiting: ServerResponse[] = [];
    let open = 0;
    let maxOpen = 0;
    const server = createServer((_, outgoing) => void waiting.push(outgoing));
    server.on('connection', socket => {
      open += 1;
      maxOpen = Math.max(maxOpen, open);
      socket.once('close', () => (open -= 1));
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as AddressInfo;
    const connections = new ServerConnectionPool({
      address: `127.0.0.1:${port}` as Address,
      connections: limit,
    } as Announcement);
    for (const [index, count] of rounds.entries()) {
      if (index > 0) connections.useNewConnections();
      for (let i = 0; i < count; i++) void exchange(connections);
      await settle();
    }
    t.true(maxOpen <= limit);
    for (const outgoing of waiting) outgoing.end('done');
    await settle();
    t.true(open <= idleAtMost, `${open} connections stay open`);
    connections.destroy();
    server.close();
    server.closeAllConnections();
  });
}

// Bytes that arrive while a connection is idle were dropped, and the rest of
// them was read as the response to the next request.
for (const extra of ['HTTP/1.1 503 X\r\nx-not-run: 1\r\nx-a: b', 'x']) {
  test(`a connection isn't used again after ${JSON.stringify(extra)}`, async t => {
    const {connections, opened} = await startPool(t, (incoming, outgoing) => {
      outgoing.end('done');
      setTimeout(() => incoming.socket.write(extra), SETTLE_MS / 2);
    });
    void exchange(connections);
    await settle();
    await settle();
    void exchange(connections);
    await settle();
    t.is(opened(), 2);
  });
}

test('a connection without anything odd is used again', async t => {
  const {connections, opened} = await startPool(t, (_, outgoing) => {
    outgoing.end('done');
  });
  for (let i = 0; i < 3; i++) await exchange(connections);
  t.is(opened(), 1);
});

/** Starts a server and a pool of connections to it, closed after the test. */
async function startPool(t: ExecutionContext, handler: RequestListener) {
  let opened = 0;
  const server = createServer(handler);
  server.on('connection', () => (opened += 1));
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = server.address() as AddressInfo;
  const connections = new ServerConnectionPool({
    address: `127.0.0.1:${port}` as Address,
    connections: 4,
  } as Announcement);
  t.teardown(() => {
    connections.destroy();
    server.close();
    server.closeAllConnections();
  });
  return {connections, opened: () => opened};
}

/** Sends a request; the promise is resolved once its connection is free. */
function exchange(connections: ServerConnectionPool): Promise<void> {
  const outgoing = connections.open({method: 'GET', path: '/'});
  outgoing.on('response', incoming => incoming.resume());
  outgoing.on('error', () => undefined);
  outgoing.end();
  return new Promise(resolve => outgoing.once('close', () => resolve()));
}

function settle(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, SETTLE_MS));
}
