/**
 * @fileoverview Tests of responses that Node's parser accepts and that can't be
 * passed on. Each ended the daemon that passed it on, with all its requests.
 */

import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';

import test from 'ava';

import {createRunHarness} from '../testing/runs.js';

const EMPTY = 'content-length: 0\r\n\r\n';

const CASES: ReadonlyArray<{name: string; response: string}> = [
  {name: 'status 020', response: `HTTP/1.1 020 OK\r\n${EMPTY}`},
  {name: 'status 000', response: `HTTP/1.1 000 OK\r\n${EMPTY}`},
  {name: 'status 600', response: `HTTP/1.1 600 OK\r\n${EMPTY}`},
  {name: 'status 999', response: `HTTP/1.1 999 OK\r\n${EMPTY}`},
  {
    name: 'an upgrade nobody asked for',
    response: 'HTTP/1.1 101 Switching\r\nconnection: upgrade\r\n\r\n',
  },
  {
    name: 'a header name that ends with a space',
    response: `HTTP/1.1 200 OK\r\nx-a : b\r\n${EMPTY}`,
  },
];

for (const {name, response} of CASES) {
  test(`a response with ${name} fails the run`, async t => {
    const server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.write(response));
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    t.teardown(() => server.close());
    const {port} = server.address() as AddressInfo;
    const harness = createRunHarness(port);
    harness.start(true);
    await harness.waitForEvents(2);
    const [, failed] = harness.events;
    t.is(failed?.kind === 'runFailed' ? failed.run : failed?.kind, 'unknown');
    t.deepEqual(harness.kinds(), []);
    t.is(harness.runs.activeCount, 0);
  });
}
