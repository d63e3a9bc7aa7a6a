/**
 * @fileoverview Calls about slices that were meant for one instance of the
 * backend server, after the next one was announced at the same address.
 */

import {createServer} from 'node:http';
import {MemoryBudget} from '@jackdawfall/core';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import test from 'ava';
import type {ExecutionContext} from 'ava';

import type {
  Announcement,
  Event,
  InstanceId,
  SliceGrant,
} from '@jackdawfall/core';

import type {ServerProtocol} from '../adapters/types.js';
import {endOnceConnected} from './grants.js';
import {RunExecutor} from './logic.js';
import {SERVER_PROTOCOL} from './protocol.js';

const SETTLE_MS = 200;
const LEASE_MS = 2000;
const COMMON = {
  service: 'finder' as never,
  slices: 2,
  grants: [
    {
      first: 0,
      count: 1,
      generation: 7,
      handover: null,
    } as unknown as SliceGrant,
  ],
};

/** As the built-in protocol, with releases that the server answers. */
const PROTOCOL: ServerProtocol = {
  ...SERVER_PROTOCOL,
  release(server, {grants}, released) {
    const outgoing = server.openUnshared({method: 'POST', path: '/releases'});
    outgoing.on('error', () => undefined);
    outgoing.on('response', incoming => {
      incoming.resume();
      released(grants[0], null);
    });
    endOnceConnected(outgoing, () => '{}');
  },
};

/** Starts an executor and a server that answers all calls with 200. */
async function startExecutor(t: ExecutionContext) {
  const calls: Array<string | undefined> = [];
  const server = createServer((incoming, outgoing) => {
    calls.push(incoming.url);
    incoming.resume();
    incoming.once('end', () => outgoing.end());
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const {port} = server.address() as AddressInfo;
  const events: Event[] = [];
  const executor = new RunExecutor({
    emit: event => void events.push(event),
    transmit: () => undefined,
    mayWrite: () => true,
    windowBytes: 1024,
    budget: new MemoryBudget(1_000_000),
    silenceMs: SETTLE_MS,
    silentRunMs: SETTLE_MS,
    protocol: PROTOCOL,
    workReport: () => ({workMs: 0, expectedMs: 0}),
    onServerUnreachable: () => undefined,
    keptLimits: {responseBytes: 100, totalBytes: 1000},
  });
  const announce = (instance: string): void => {
    executor.setServer({
      instance: instance as InstanceId,
      address: `127.0.0.1:${port}`,
      connections: 1,
      checksGrants: true,
    } as unknown as Announcement);
  };
  return {executor, announce, calls, events};
}

function grantSlices(executor: RunExecutor): void {
  const until = {
    monotonic: performance.now() + LEASE_MS,
    wall: Date.now() + LEASE_MS,
  };
  const timeoutMs = LEASE_MS;
  const call = {...COMMON, round: 1, until, timeoutMs};
  executor.grantSlices({kind: 'grantSlices', ...call});
}

function releaseSlices(executor: RunExecutor): void {
  const effect = {kind: 'releaseSlices', ...COMMON, round: 1} as const;
  executor.releaseSlices(effect);
}

const CASES: ReadonlyArray<{
  name: string;
  send: (executor: RunExecutor) => void;
  /** Instances that are announced after the call began to open a connection. */
  announced: readonly string[];
  calls: readonly string[];
  events: readonly string[];
}> = [
  {
    name: 'a grant for the instance that is announced again is sent',
    send: grantSlices,
    announced: ['1'],
    calls: ['/grants'],
    events: ['slicesGranted'],
  },
  // The next instance took keys with the fencing token of the one before.
  {
    name: 'a grant for an earlier instance is not sent to the next one',
    send: grantSlices,
    announced: ['2'],
    calls: [],
    events: [],
  },
  {
    name: 'a release by the instance that is announced again is reported',
    send: releaseSlices,
    announced: ['1'],
    calls: ['/releases'],
    events: ['slicesReleased'],
  },
  // The next instance, which holds nothing, answered for the one before, which
  // may still have worked on the keys.
  {
    name: 'a release for an earlier instance is not sent to the next one',
    send: releaseSlices,
    announced: ['2'],
    calls: [],
    events: [],
  },
];

for (const {name, send, announced, calls, events} of CASES) {
  test(name, async t => {
    const started = await startExecutor(t);
    const {executor, announce} = started;
    announce('1');
    send(executor);
    announced.forEach(announce);
    await sleep(SETTLE_MS);
    t.deepEqual(started.calls, [...calls]);
    t.deepEqual(
      started.events.map(each => each.kind),
      [...events],
    );
  });
}
