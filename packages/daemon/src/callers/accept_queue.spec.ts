/** @fileoverview Tests of the queue of connections that wait to be accepted. */

import {createServer, connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

import test from 'ava';

import {listenForCallers} from '../process/listen.js';
import {ACCEPT_QUEUE_LENGTH, AcceptQueue} from './accept_queue.js';

const CASES: ReadonlyArray<{
  name: string;
  /** Time of an iteration, in milliseconds. */
  iterationMs: number;
  accepts: number;
  /** Iterations without an accept that follow. */
  idle: number;
  behind: boolean;
}> = [
  {
    name: 'an accept in each of many short iterations',
    iterationMs: 3,
    accepts: 1000,
    idle: 0,
    behind: false,
  },
  {
    name: 'few accepts in long iterations',
    iterationMs: 25,
    accepts: 50,
    idle: 0,
    behind: false,
  },
  {
    name: 'an accept in each of many long iterations',
    iterationMs: 25,
    accepts: 200,
    idle: 0,
    behind: true,
  },
  {
    name: 'many long iterations, then one without an accept',
    iterationMs: 25,
    accepts: 200,
    idle: 1,
    behind: false,
  },
];

for (const {name, iterationMs, accepts, idle, behind} of CASES) {
  test(`${name}: ${behind ? 'behind' : 'in time'}`, t => {
    let now = 0;
    let callbacks: Array<() => void> = [];
    const queue = new AcceptQueue({
      now: () => now,
      atIterationEnd: callback => void callbacks.push(callback),
    });
    for (let iteration = 0; iteration < accepts + idle; iteration++) {
      if (iteration < accepts) queue.recordAccept();
      const due = callbacks;
      callbacks = [];
      for (const callback of due) callback();
      now += iterationMs;
    }
    t.is(queue.acceptedCount, accepts);
    t.is(queue.isBehind, behind);
  });
}

// A busy daemon accepted connections one by one that callers had given up for
// seconds, and no other ones.
test('few connections wait for a daemon that accepts none', async t => {
  const server = createServer();
  await listenForCallers(server, {ip: '127.0.0.1', port: 0});
  const {port} = server.address() as AddressInfo;
  let accepted = 0;
  server.on('connection', () => (accepted += 1));
  const sockets: Socket[] = [];
  let connected = 0;
  for (let each = 0; each < 4 * ACCEPT_QUEUE_LENGTH; each++) {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.on('connect', () => (connected += 1));
    sockets.push(socket);
  }
  // The kernel repeats a rejected opening packet after a second.
  await new Promise(resolve => setTimeout(resolve, 500));
  t.true(accepted >= ACCEPT_QUEUE_LENGTH, `${accepted} accepted`);
  t.true(connected <= 2 * ACCEPT_QUEUE_LENGTH, `${connected} connected`);
  for (const socket of sockets) socket.destroy();
  server.close();
});
