/** @fileoverview Tests of the relay. */

import type {RelayOrder} from './types.js';
import type {Socket} from 'node:net';
import {connect, createServer} from 'node:net';

import test from 'ava';

import {post} from '../control/client.js';
import {listen} from '../control/logic.js';
import {startRelay} from './definition.js';

const RESPONSE_TIMEOUT_MS = 1000;

/** Resolves with the response, or with what happened instead. */
function echoOf(socket: Socket): Promise<string> {
  return new Promise(resolve => {
    const timer = setTimeout(resolve, RESPONSE_TIMEOUT_MS, 'silence');
    const settle = (text: string): void => {
      clearTimeout(timer);
      resolve(text);
    };
    socket.once('data', data => settle(String(data)));
    socket.once('close', () => settle('closed'));
    socket.on('error', () => settle('closed'));
    socket.write('ping');
  });
}

const CASES: ReadonlyArray<{
  order: RelayOrder;
  old: string;
  fresh: string;
}> = [
  {order: {kind: 'pass'}, old: 'ping', fresh: 'ping'},
  {order: {kind: 'cut'}, old: 'closed', fresh: 'closed'},
  {
    order: {kind: 'blackhole', freshWorks: true},
    old: 'silence',
    fresh: 'ping',
  },
  {
    order: {kind: 'blackhole', freshWorks: false},
    old: 'silence',
    fresh: 'silence',
  },
  {
    order: {kind: 'cutOneWay', direction: 'fromTarget'},
    old: 'silence',
    fresh: 'silence',
  },
  {order: {kind: 'cut', from: 'another'}, old: 'ping', fresh: 'ping'},
  {order: {kind: 'cut', from: 'self'}, old: 'closed', fresh: 'closed'},
];

for (const {order, old, fresh} of CASES) {
  test(`a relay with the rule ${JSON.stringify(order)}`, async t => {
    const stop = new AbortController();
    const target = createServer(socket => {
      socket.on('error', () => undefined);
      socket.pipe(socket);
    });
    const port = await listen(target, 0, stop.signal);
    const options = {port: 0, controlPort: 0, target: `127.0.0.1:${port}`};
    const relay = await startRelay(options, stop.signal);
    const control = `http://127.0.0.1:${relay.controlPort}/control`;
    const pids = {self: process.pid, another: 1};
    const first = connect(relay.port, '127.0.0.1');
    t.is(await echoOf(first), 'ping');
    await post(control, {kind: 'peers', pids});
    await post(control, order);
    const second = connect(relay.port, '127.0.0.1');
    t.is(await echoOf(first), old);
    t.is(await echoOf(second), fresh);
    first.destroy();
    second.destroy();
    stop.abort();
  });
}
