/** @fileoverview Tests of requests whose callers close the connection. */

import {connect} from 'node:net';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {compileRoutes, parseWorkspace} from '@jackdawfall/core';
import type {Event} from '@jackdawfall/core';
import test from 'ava';

import {CallerFrontend} from './logic.js';
import {CALLER_PROTOCOL} from './protocol.js';

const SETTLE_MS = 100;
const POLL_MS = 5;
const TIMEOUT_MS = 10_000;
const REQUEST = 'GET /records/1 HTTP/1.1\r\nHost: a\r\n\r\n';

const DOCUMENT = JSON.stringify({
  name: 'w',
  version: 1,
  zones: ['a'],
  services: [{name: 'records', division: {kind: 'shared'}, upstreams: 1}],
  routes: [
    {
      method: 'GET',
      path: '/records/{id}',
      service: 'records',
      idempotent: true,
      priority: 'interactive',
      timeoutMs: 1000,
    },
  ],
  limits: {
    maxBodyBytes: 100,
    maxKeyBytes: 10,
    retryShare: 0.1,
    maxMovingSlices: 1,
    drainMs: 100,
  },
});

const CASES: ReadonlyArray<{
  name: string;
  requests: number;
  disconnects: 'never' | 'immediately' | 'once accepted';
  events: readonly Event['kind'][];
}> = [
  {
    name: 'waits for its response',
    requests: 1,
    disconnects: 'never',
    events: ['requestAccepted'],
  },
  {
    name: 'disconnects right after sending its request',
    requests: 1,
    disconnects: 'immediately',
    events: [],
  },
  {
    name: 'disconnects after its request was accepted',
    requests: 1,
    disconnects: 'once accepted',
    events: ['requestAccepted', 'callerDisconnected'],
  },
  {
    name: 'disconnects with two pipelined requests',
    requests: 2,
    disconnects: 'once accepted',
    events: [
      'requestAccepted',
      'requestAccepted',
      'callerDisconnected',
      'callerDisconnected',
    ],
  },
];

for (const {name, requests, disconnects, events} of CASES) {
  test(`a caller that ${name}: ${events.join(', ') || 'no event'}`, async t => {
    const seen: string[] = [];
    const {server} = createFrontend(event => void seen.push(event.kind));
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    await new Promise(resolve => socket.once('connect', resolve));
    socket.write(REQUEST.repeat(requests));
    if (disconnects === 'immediately') socket.destroy();
    if (disconnects === 'once accepted') {
      await waitUntil(() => seen.length >= requests);
      socket.destroy();
    }
    await waitUntil(() => seen.length >= events.length);
    await sleep(SETTLE_MS);
    t.deepEqual(seen, events);
    socket.destroy();
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
  });
}

// Such a request ended the daemon that ran it.
const INVALID_REQUESTS: ReadonlyArray<{name: string; text: string}> = [
  {name: 'a tab in its path', text: REQUEST.replace('/1', '/1\t')},
  {name: 'a form feed in its path', text: REQUEST.replace('/1', '/1\f')},
  {
    name: 'a space at the end of a header name',
    text: REQUEST.replace('Host: a', 'Host: a\r\nx-b : c'),
  },
];

for (const {name, text} of INVALID_REQUESTS) {
  test(`a request with ${name} is rejected`, async t => {
    const seen: string[] = [];
    const {server} = createFrontend(event => void seen.push(event.kind));
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    const response = new Promise(resolve => {
      socket.once('data', bytes => resolve(String(bytes).slice(9, 12)));
    });
    socket.write(text);
    t.is(await Promise.race([response, sleep(TIMEOUT_MS)]), '400');
    t.deepEqual(seen, []);
    socket.destroy();
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
  });
}

function createFrontend(emit: (event: Event) => void): CallerFrontend {
  const parsed = parseWorkspace(DOCUMENT);
  if (parsed.kind === 'invalid') throw new Error('invalid document');
  const {workspace} = parsed;
  return new CallerFrontend({
    emit,
    transmit: () => undefined,
    log: () => undefined,
    configuration: () => ({workspace, router: compileRoutes(workspace)}),
    protocol: CALLER_PROTOCOL,
    windowBytes: 1024,
    tickMs: 50,
    idPrefix: 'test',
  });
}

async function waitUntil(holds: () => boolean): Promise<void> {
  const giveUpAt = performance.now() + TIMEOUT_MS;
  while (!holds() && performance.now() < giveUpAt) await sleep(POLL_MS);
}
