/** @fileoverview Tests of what refused connections say about a process. */

import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

import type {Address, Announcement} from '@jackdawfall/core';
import test from 'ava';

import {ServerConnectionPool} from './connections.js';

const WAIT_MS = 2000;
const STEP_MS = 10;

const CASES: ReadonlyArray<{
  name: string;
  /** Whether the server's open connections end with its listener. */
  connectionsEnd: boolean;
  isAlive: boolean;
}> = [
  {name: 'a process that ended', connectionsEnd: true, isAlive: false},
  {
    name: 'a process that only closed its listener',
    connectionsEnd: false,
    isAlive: true,
  },
];

async function waitUntil(done: () => boolean): Promise<void> {
  const giveUpAt = performance.now() + WAIT_MS;
  while (!done() && performance.now() < giveUpAt) {
    await new Promise(resolve => setTimeout(resolve, STEP_MS));
  }
}

for (const {name, connectionsEnd, isAlive} of CASES) {
  // A server that no longer listened was taken for one that holds no slices.
  test(`a refused connection to ${name}: alive is ${isAlive}`, async t => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
      sockets.add(socket);
      socket.resume();
      socket.on('error', () => sockets.delete(socket));
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as AddressInfo;
    const seen: boolean[] = [];
    const pool = new ServerConnectionPool(
      {address: `127.0.0.1:${port}` as Address, connections: 4} as Announcement,
      alive => void seen.push(alive),
    );
    t.teardown(() => {
      pool.destroy();
      for (const socket of sockets) socket.destroy();
    });
    pool.confirmProcess();
    await waitUntil(() => sockets.size === 1);
    server.close();
    if (connectionsEnd) for (const socket of sockets) socket.destroy();
    const outgoing = pool.open({path: '/'});
    outgoing.on('error', () => undefined);
    await waitUntil(() => seen.length > 0);
    t.deepEqual(seen, [isAlive]);
  });
}
