/** @fileoverview Tests of running attempts at a fake backend server. */

import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import test from 'ava';
import type {ExecutionContext} from 'ava';

import type {AttemptId} from '@jackdawfall/core';

import {readBodyText} from '../http/body.js';
import {ATTEMPT, ORIGIN, createRunHarness} from '../testing/runs.js';
import type {RunHarnessOptions} from '../testing/runs.js';

type Handler = (incoming: IncomingMessage, outgoing: ServerResponse) => void;

interface Case {
  readonly name: string;
  readonly handler: Handler | null;
  /** Kinds of events, in order. */
  readonly events: readonly string[];
  /** Kinds of messages to the origin, in order, without adjacent repeats. */
  readonly messages: readonly string[];
  /** State of the `runFailed` event, if there is one. */
  readonly run?: 'not-run' | 'unknown';
}

const CASES: readonly Case[] = [
  {
    name: 'a complete response',
    handler: (_, outgoing) => outgoing.end('done'),
    events: ['runWriteStarting', 'runHeadReceived', 'runEnded'],
    messages: ['head', 'data', 'end'],
  },
  {
    name: 'a response without a body',
    handler: (_, outgoing) => outgoing.writeHead(204).end(),
    events: ['runWriteStarting', 'runHeadReceived', 'runEnded'],
    messages: ['head', 'end'],
  },
  {
    name: 'a refusal before running',
    handler: (_, outgoing) => outgoing.writeHead(503, {'x-not-run': '1'}).end(),
    events: ['runWriteStarting', 'runHeadReceived'],
    messages: [],
  },
  {
    name: 'a 503 that may have run',
    handler: (_, outgoing) => outgoing.writeHead(503).end(),
    events: ['runWriteStarting', 'runHeadReceived', 'runEnded'],
    messages: ['head', 'end'],
  },
  {
    name: 'a connection that closes before the response',
    handler: incoming => incoming.socket.destroy(),
    events: ['runWriteStarting', 'runFailed'],
    messages: [],
    run: 'unknown',
  },
  {
    name: 'a truncated response',
    handler: (incoming, outgoing) => {
      outgoing.writeHead(200, {'content-length': 10});
      outgoing.write('short', () => incoming.socket.destroy());
    },
    events: ['runWriteStarting', 'runHeadReceived', 'runFailed'],
    messages: ['head', 'data'],
    run: 'unknown',
  },
  {
    name: 'a server that never responds',
    handler: () => undefined,
    events: ['runWriteStarting', 'runFailed'],
    messages: [],
    run: 'unknown',
  },
  {
    name: 'a port that refuses connections',
    handler: null,
    events: ['runFailed'],
    messages: [],
    run: 'not-run',
  },
];

for (const {name, handler, events, messages, run} of CASES) {
  test(`${name}: ${events.join(', ')}`, async t => {
    const harness = await createHarness(t, handler);
    harness.start(true);
    await harness.waitForEvents(events.length);
    t.deepEqual(
      harness.events.map(event => event.kind),
      [...events],
    );
    t.deepEqual(harness.kinds(), [...messages]);
    const failed = harness.events.find(event => event.kind === 'runFailed');
    t.is(failed?.kind === 'runFailed' ? failed.run : undefined, run);
  });
}

test('a kept response is replayed completely', async t => {
  const harness = await createHarness(t, (_, outgoing) => outgoing.end('done'));
  harness.start(true);
  await harness.waitForEvents(3);
  const again = 'h1#1/2' as AttemptId;
  harness.runs.replayResponse({
    kind: 'replayResponse',
    attempt: again,
    original: ATTEMPT,
    to: ORIGIN,
  });
  t.deepEqual(harness.kinds(again), ['head', 'data', 'end']);
});

test('replaying a response that was not kept fails', async t => {
  const harness = await createHarness(t, (_, outgoing) => outgoing.end('done'));
  harness.start(false);
  await harness.waitForEvents(3);
  const again = 'h1#1/2' as AttemptId;
  harness.runs.replayResponse({
    kind: 'replayResponse',
    attempt: again,
    original: ATTEMPT,
    to: ORIGIN,
  });
  t.deepEqual(harness.kinds(again), ['failed']);
});

test('nothing is written if the lease ends while connecting', async t => {
  let requestCount = 0;
  const harness = await createHarness(
    t,
    (_, outgoing) => {
      requestCount += 1;
      outgoing.end('done');
    },
    {mayWrite: false},
  );
  harness.start(true);
  await harness.waitForEvents(1);
  await new Promise(resolve => setTimeout(resolve, 50));
  t.deepEqual(
    harness.events.map(event => event.kind),
    ['runFailed'],
  );
  const [failed] = harness.events;
  t.is(failed.kind === 'runFailed' ? failed.run : '', 'not-run');
  t.is(requestCount, 0);
});

test('a run that is cancelled immediately is not written', async t => {
  let requestCount = 0;
  const harness = await createHarness(t, () => (requestCount += 1));
  harness.start(true);
  harness.runs.cancel(ATTEMPT);
  await new Promise(resolve => setTimeout(resolve, 50));
  t.is(requestCount, 0);
  t.deepEqual(harness.events, []);
});

test('a cancelled run closes its connection and reports nothing', async t => {
  let closed = false;
  const harness = await createHarness(t, incoming => {
    incoming.socket.on('close', () => (closed = true));
  });
  harness.start(true);
  await harness.waitForEvents(1);
  await new Promise(resolve => setTimeout(resolve, 50));
  harness.runs.cancel(ATTEMPT);
  await new Promise(resolve => setTimeout(resolve, 50));
  t.true(closed);
  t.deepEqual(
    harness.events.map(event => event.kind),
    ['runWriteStarting'],
  );
  t.is(harness.runs.activeCount, 0);
});

// A late copy of a refusal was taken for the refusal of the request's next
// attempt on the same connection, though that one ran.
for (const idempotent of [true, false]) {
  const kept = idempotent ? 'kept' : 'closed';
  test(`idempotent=${idempotent}: refused, connection ${kept}`, async t => {
    let closed = false;
    const harness = await createHarness(
      t,
      (incoming, outgoing) => {
        incoming.socket.once('close', () => (closed = true));
        outgoing.writeHead(503, {'x-not-run': '1'}).end();
      },
      {idempotent},
    );
    harness.start(false);
    await harness.waitForEvents(2);
    await new Promise(resolve => setTimeout(resolve, 50));
    t.is(closed, !idempotent);
  });
}

// A body that came in chunks was written without framing for some methods, so
// that the server read it as further requests.
for (const method of ['GET', 'HEAD', 'DELETE', 'OPTIONS', 'POST', 'PATCH']) {
  test(`the body of a ${method} request arrives as its body`, async t => {
    const seen: string[] = [];
    const body = 'GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n';
    const harness = await createHarness(
      t,
      (incoming, outgoing) => {
        void readBodyText(incoming, body.length).then(text => {
          seen.push(`${incoming.method} ${incoming.url} ${text}`);
          outgoing.writeHead(204).end();
        });
      },
      {method, body},
    );
    harness.start(false);
    await harness.waitForEvents(3);
    await new Promise(resolve => setTimeout(resolve, 50));
    t.deepEqual(seen, [`${method} /finder/a ${body}`]);
  });
}

async function createHarness(
  t: ExecutionContext,
  handler: Handler | null,
  options: RunHarnessOptions = {},
) {
  const server = createServer(handler ?? undefined);
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = server.address() as AddressInfo;
  if (handler === null) server.close();
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return createRunHarness(port, options);
}
