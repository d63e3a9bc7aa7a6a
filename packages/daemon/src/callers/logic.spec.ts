/** @fileoverview Tests of requests whose callers hang up. */

import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

import {compileRoutes, parseWorkspace} from '@jackdawfall/core';
import type {Event} from '@jackdawfall/core';
import test from 'ava';

import {Callers} from './logic.js';
import {CALLER_PROTOCOL} from './protocol.js';

const SETTLE_MS = 60;
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
  act: (socket: Socket) => void;
  events: readonly Event['kind'][];
}> = [
  {
    name: 'waits',
    act: socket => void socket.write(REQUEST),
    events: ['taken'],
  },
  {
    name: 'hung up together with its request',
    act: socket => {
      socket.write(REQUEST);
      socket.destroy();
    },
    events: [],
  },
  {
    name: 'hangs up later',
    act: socket => {
      socket.write(REQUEST);
      setTimeout(() => socket.destroy(), SETTLE_MS / 3);
    },
    events: ['taken', 'hungUp'],
  },
  {
    name: 'hangs up with two requests behind each other',
    act: socket => {
      socket.write(REQUEST + REQUEST);
      setTimeout(() => socket.destroy(), SETTLE_MS / 3);
    },
    events: ['taken', 'taken', 'hungUp', 'hungUp'],
  },
];

for (const {name, act, events} of CASES) {
  test(`a caller that ${name}: ${events.join(', ') || 'nothing'}`, async t => {
    const parsed = parseWorkspace(DOCUMENT);
    if (parsed.kind === 'invalid') throw new Error('invalid document');
    const {workspace} = parsed;
    const seen: string[] = [];
    const callers = new Callers({
      emit: event => void seen.push(event.kind),
      transmit: () => undefined,
      configuration: () => ({workspace, router: compileRoutes(workspace)}),
      protocol: CALLER_PROTOCOL,
      windowBytes: 1024,
      tickMs: 50,
      idPrefix: 'test',
    });
    const {server} = callers;
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    await new Promise(resolve => socket.once('connect', resolve));
    act(socket);
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    t.deepEqual(seen, events);
    socket.destroy();
    server.close();
    server.closeAllConnections();
  });
}
