/**
 * @fileoverview A backend server in trouble sends bytes without end, until its
 * connection is closed. The run fails as soon as no response can follow, at the
 * latest when its time is over; the connection is closed and little is read.
 */

import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

import test from 'ava';

import {BUDGET_MS, createRunHarness, waitUntil} from '../testing/runs.js';

const CHUNK = 4096;
/** Time within which a run ends whose response can't become valid. */
const AT_ONCE_MS = 250;
/** Time after the budget within which any run ends and its connection closes. */
const AFTER_BUDGET_MS = 300;
/** Maximum number of bytes that are accepted from such a server. */
const MAX_BYTES = 4 * 1024 * 1024;
const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';

const CASES: ReadonlyArray<{
  name: string;
  /** What the server sends once. */
  start: string;
  /** What it repeats until the connection is closed. */
  repeated: string;
  /** Kinds of events, in order. */
  events: readonly string[];
  maxMs: number;
}> = [
  {
    name: 'a status line',
    start: 'HTTP/1.1 200 ',
    repeated: 'O'.repeat(CHUNK),
    events: ['runWriteStarting', 'runFailed'],
    maxMs: AT_ONCE_MS,
  },
  {
    name: 'no HTTP at all',
    start: '',
    repeated: '\0'.repeat(CHUNK),
    events: ['runWriteStarting', 'runFailed'],
    maxMs: AT_ONCE_MS,
  },
  {
    name: 'empty lines before the status line',
    start: '',
    repeated: '\r\n'.repeat(CHUNK / 2),
    events: ['runWriteStarting', 'runFailed'],
    maxMs: BUDGET_MS + AFTER_BUDGET_MS,
  },
  {
    name: 'the value of a header',
    start: 'HTTP/1.1 200 OK\r\nx-a: ',
    repeated: 'a'.repeat(CHUNK),
    events: ['runWriteStarting', 'runFailed'],
    maxMs: AT_ONCE_MS,
  },
  {
    name: 'headers',
    start: 'HTTP/1.1 200 OK\r\n',
    repeated: 'x-a: b\r\n'.repeat(CHUNK / 8),
    events: ['runWriteStarting', 'runFailed'],
    maxMs: AT_ONCE_MS,
  },
  {
    name: 'informational responses',
    start: '',
    repeated: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(16),
    events: ['runWriteStarting', 'runFailed'],
    maxMs: AT_ONCE_MS,
  },
  {
    name: 'bytes after a body with a length',
    start: 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone',
    repeated: 'x'.repeat(CHUNK),
    events: ['runWriteStarting', 'runHeadReceived', 'runEnded'],
    maxMs: AT_ONCE_MS,
  },
  {
    name: 'the size of a chunk',
    start: CHUNKED,
    repeated: '0'.repeat(CHUNK),
    events: ['runWriteStarting', 'runHeadReceived', 'runFailed'],
    maxMs: BUDGET_MS + AFTER_BUDGET_MS,
  },
  {
    name: 'an extension of a chunk',
    start: `${CHUNKED}4;a=`,
    repeated: 'a'.repeat(CHUNK),
    events: ['runWriteStarting', 'runHeadReceived', 'runFailed'],
    maxMs: AT_ONCE_MS,
  },
  {
    name: 'chunks',
    start: CHUNKED,
    repeated: `1000\r\n${'c'.repeat(CHUNK)}\r\n`,
    events: ['runWriteStarting', 'runHeadReceived', 'runFailed'],
    maxMs: BUDGET_MS + AFTER_BUDGET_MS,
  },
  {
    name: 'trailers',
    start: `${CHUNKED}0\r\n`,
    repeated: 'x-a: b\r\n'.repeat(CHUNK / 8),
    events: ['runWriteStarting', 'runHeadReceived', 'runFailed'],
    maxMs: AT_ONCE_MS,
  },
  {
    name: 'a body without a length',
    start: 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n',
    repeated: 'b'.repeat(CHUNK),
    events: ['runWriteStarting', 'runHeadReceived', 'runFailed'],
    maxMs: BUDGET_MS + AFTER_BUDGET_MS,
  },
  {
    name: 'the body of a refusal',
    start: 'HTTP/1.1 503 Full\r\nx-not-run: 1\r\n\r\n',
    repeated: 'r'.repeat(CHUNK),
    events: ['runWriteStarting', 'runHeadReceived'],
    maxMs: AT_ONCE_MS,
  },
];

/** Writes as fast as the peer reads, until the connection is closed. */
function sendEndlessly(socket: Socket, start: string, repeated: string): void {
  const bytes = Buffer.from(repeated, 'latin1');
  const fill = (): void => {
    if (socket.destroyed) return;
    if (socket.write(bytes)) setImmediate(fill);
    else socket.once('drain', fill);
  };
  socket.write(start);
  fill();
}

for (const {name, start, repeated, events, maxMs} of CASES) {
  test(`bytes without end: ${name}`, async t => {
    const sockets = new Set<Socket>();
    let sent = 0;
    const server = createServer(socket => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => {
        sent += socket.bytesWritten;
        sockets.delete(socket);
      });
      socket.once('data', () => sendEndlessly(socket, start, repeated));
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    t.teardown(() => {
      for (const socket of sockets) socket.destroy();
      server.close();
    });
    const {port} = server.address() as AddressInfo;
    const harness = createRunHarness(port);
    const startedAt = performance.now();
    harness.start(false);
    await harness.waitForEvents(events.length);
    const elapsedMs = performance.now() - startedAt;
    t.deepEqual(
      harness.events.map(event => event.kind),
      [...events],
    );
    t.true(elapsedMs <= maxMs, `${elapsedMs} ms`);
    t.is(harness.runs.activeCount, 0);
    await waitUntil(() => {
      harness.runs.tick();
      return sockets.size === 0;
    });
    t.is(sockets.size, 0, 'the connection stays open');
    t.true(sent <= MAX_BYTES, `${sent} bytes`);
    t.is(harness.events.length, events.length);
  });
}
