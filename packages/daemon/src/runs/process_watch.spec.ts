/** @fileoverview Tests of what refused connections say about a process. */

import {createServer} from 'node:net';
import {MemoryBudget} from '@jackdawfall/core';
import type {AddressInfo, Socket} from 'node:net';

import type {
  Address,
  Announcement,
  Effect,
  InstanceId,
  ServiceName,
} from '@jackdawfall/core';
import test from 'ava';

import {RunExecutor} from './logic.js';
import {SERVER_PROTOCOL} from './protocol.js';

const WAIT_MS = 2000;
const STEP_MS = 10;

const CASES: ReadonlyArray<{
  name: string;
  /** Whether the server's open connections end with its listener. */
  connectionsEnd: boolean;
  /** Whether the server is lost and announces itself again meanwhile. */
  announcedAgain: boolean;
  isAlive: boolean;
}> = [
  {
    name: 'a process that ended',
    connectionsEnd: true,
    announcedAgain: false,
    isAlive: false,
  },
  {
    name: 'a process that only closed its listener',
    connectionsEnd: false,
    announcedAgain: false,
    isAlive: true,
  },
  {
    name: 'a process that announces itself after it closed its listener',
    connectionsEnd: false,
    announcedAgain: true,
    isAlive: true,
  },
];

async function waitUntil(done: () => boolean): Promise<void> {
  const giveUpAt = performance.now() + WAIT_MS;
  while (!done() && performance.now() < giveUpAt) {
    await new Promise(resolve => setTimeout(resolve, STEP_MS));
  }
}

function createExecutor(onRefused: (isAlive: boolean) => void): RunExecutor {
  return new RunExecutor({
    emit: () => undefined,
    transmit: () => undefined,
    mayWrite: () => true,
    windowBytes: 1024,
    budget: new MemoryBudget(1_000_000),
    silenceMs: WAIT_MS,
    silentRunMs: WAIT_MS,
    protocol: SERVER_PROTOCOL,
    workReport: () => ({workMs: 0, expectedMs: 0}),
    onServerUnreachable: (_, isAlive) => onRefused(isAlive),
    keptLimits: {responseBytes: 100, totalBytes: 1000},
  });
}

function grantEffect(): Extract<Effect, {kind: 'grantSlices'}> {
  return {
    kind: 'grantSlices',
    service: 'finder' as ServiceName,
    slices: 2,
    grants: [],
    round: 1,
    until: {
      monotonic: performance.now() + WAIT_MS,
      wall: Date.now() + WAIT_MS,
    },
    timeoutMs: WAIT_MS,
  };
}

for (const {name, connectionsEnd, announcedAgain, isAlive} of CASES) {
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
    const announcement = {
      address: `127.0.0.1:${port}` as Address,
      instance: 'i' as InstanceId,
      connections: 4,
      checksGrants: true,
    } as Announcement;
    const seen: boolean[] = [];
    const executor = createExecutor(alive => void seen.push(alive));
    t.teardown(() => {
      for (const socket of sockets) socket.destroy();
    });
    executor.setServer(announcement);
    await waitUntil(() => sockets.size === 1);
    server.close();
    if (connectionsEnd) for (const socket of sockets) socket.destroy();
    if (announcedAgain) {
      executor.setServer(null);
      executor.setServer(announcement);
    }
    executor.grantSlices(grantEffect());
    await waitUntil(() => seen.length > 0);
    t.deepEqual(seen, [isAlive]);
  });
}
