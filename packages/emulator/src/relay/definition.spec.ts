/** @fileoverview Tests of the relay. */

import type {RelayCommand} from './types.js';
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
  command: RelayCommand;
  old: string;
  fresh: string;
}> = [
  {command: {kind: 'pass'}, old: 'ping', fresh: 'ping'},
  {command: {kind: 'cut'}, old: 'closed', fresh: 'closed'},
  {
    command: {kind: 'blackhole', freshWorks: true},
    old: 'silence',
    fresh: 'ping',
  },
  {
    command: {kind: 'blackhole', freshWorks: false},
    old: 'silence',
    fresh: 'silence',
  },
  {
    command: {kind: 'cutOneWay', direction: 'fromTarget'},
    old: 'silence',
    fresh: 'silence',
  },
  {command: {kind: 'cut', from: 'another'}, old: 'ping', fresh: 'ping'},
  {command: {kind: 'cut', from: 'self'}, old: 'closed', fresh: 'closed'},
];

for (const {command, old, fresh} of CASES) {
  test(`a relay with the rule ${JSON.stringify(command)}`, async t => {
    const stop = new AbortController();
    t.teardown(() => stop.abort());
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
    t.teardown(() => first.destroy());
    t.is(await echoOf(first), 'ping');
    await post(control, {kind: 'peers', pids});
    await post(control, command);
    const second = connect(relay.port, '127.0.0.1');
    t.teardown(() => second.destroy());
    // Listens on both at once: a reset of either may come before the other's
    // response.
    const echoes = await Promise.all([echoOf(first), echoOf(second)]);
    t.deepEqual(echoes, [old, fresh]);
  });
}
