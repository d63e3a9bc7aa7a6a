/**
 * @fileoverview Tests of responses whose server stops inside of the head. A
 * caller must not get a response that looks complete for any of them.
 */

import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

import test from 'ava';

import {createRunHarness} from '../testing/runs.js';

/** Number of runs at a time. */
const BATCH = 16;
/** Time for connecting and for a run, also on a busy machine. */
const PATIENCE_MS = 2500;

const HEADS: ReadonlyArray<{name: string; head: string}> = [
  {
    name: 'with a length',
    head: 'HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 4\r\n\r\n',
  },
  {name: 'without a length', head: 'HTTP/1.1 200 OK\r\nx-a: b\r\n\r\n'},
  {
    name: 'of chunks',
    head: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
  },
  {
    name: 'of a refusal',
    head: 'HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n',
  },
  {name: 'without a body', head: 'HTTP/1.1 204 None\r\nx-a: b\r\n\r\n'},
];

const ENDS: ReadonlyArray<{name: string; end: (socket: Socket) => void}> = [
  {name: 'closes', end: socket => socket.end()},
  {name: 'resets', end: socket => void socket.resetAndDestroy()},
];

for (const {name, head} of HEADS) {
  for (const {name: ending, end} of ENDS) {
    test(`a server that ${ending} inside a head ${name}`, async t => {
      const lengths = Array.from({length: head.length}, (_, length) => length);
      while (lengths.length > 0) {
        const batch = lengths.splice(0, BATCH);
        const outcomes = await Promise.all(
          batch.map(length => outcomeOf(head.slice(0, length), end)),
        );
        t.deepEqual(
          outcomes,
          batch.map(() => 'unknown, nothing sent'),
        );
      }
    });
  }
}

/** Runs an attempt whose server sends only these bytes. */
async function outcomeOf(
  bytes: string,
  end: (socket: Socket) => void,
): Promise<string> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      if (bytes === '') end(socket);
      else socket.write(bytes, () => end(socket));
    });
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = server.address() as AddressInfo;
  const harness = createRunHarness(port, {
    connectMs: PATIENCE_MS,
    budgetMs: PATIENCE_MS,
  });
  harness.start(true);
  await harness.waitForEvents(2);
  server.close();
  const last = harness.events.at(-1);
  const sent = harness.kinds().join() || 'nothing sent';
  return `${last?.kind === 'runFailed' ? last.run : last?.kind}, ${sent}`;
}
