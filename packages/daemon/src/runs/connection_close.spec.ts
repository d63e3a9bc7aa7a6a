/** @fileoverview Tests of responses that end with their connection. */

import {Agent, request} from 'node:http';
import type {IncomingMessage} from 'node:http';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

import test from 'ava';

import {endsAtConnectionClose, waitForCleanClose} from './connection_close.js';

const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';
const DELAY_MS = 50;

const CASES: ReadonlyArray<{
  name: string;
  finish: (socket: Socket) => void;
  closedCleanly: boolean;
}> = [
  {name: 'closed', finish: socket => socket.end(), closedCleanly: true},
  {
    name: 'closed later',
    finish: socket => void setTimeout(() => socket.end(), DELAY_MS),
    closedCleanly: true,
  },
  {
    name: 'reset right after the last bytes',
    finish: socket => socket.resetAndDestroy(),
    closedCleanly: false,
  },
  {
    name: 'reset later',
    finish: socket => void setTimeout(() => socket.resetAndDestroy(), DELAY_MS),
    closedCleanly: false,
  },
];

// A reset inside a body of another encoding looked like its end.
const HEADS: readonly string[] = [
  HEAD,
  'HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n',
];

for (const {name, finish, closedCleanly, head} of CASES.flatMap(each =>
  HEADS.map(head => ({...each, head})),
)) {
  const framing = head.slice(HEAD.length - 2).trim();
  test(`${framing} ${name}: clean close ${closedCleanly}`, async t => {
    const server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write(`${head}part`);
        finish(socket);
      });
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as AddressInfo;
    const agent = new Agent({keepAlive: true});
    const incoming = await new Promise<IncomingMessage>(resolve => {
      const outgoing = request({host: '127.0.0.1', port, agent}, resolve);
      outgoing.on('error', () => undefined);
      outgoing.end();
    });
    incoming.on('error', () => undefined);
    incoming.resume();
    t.true(endsAtConnectionClose(incoming));
    t.is(await waitForCleanClose(incoming), closedCleanly);
    agent.destroy();
    server.close();
  });
}
