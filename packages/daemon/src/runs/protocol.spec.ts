/** @fileoverview Tests of slice grants and releases to a backend server. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Server as NetServer, Socket} from 'node:net';
import {createServer as createNetServer} from 'node:net';

import type {
  Address,
  Announcement,
  Effect,
  Generation,
  Slice,
  SliceGrant,
} from '@jackdawfall/core';
import type {ExecutionContext} from 'ava';
import test from 'ava';

import {readClocks} from '../loop/logic.js';
import {waitUntil} from '../testing/runs.js';
import {ServerConnectionPool} from './connections.js';
import {SERVER_PROTOCOL} from './protocol.js';

type GrantEffect = Extract<Effect, {kind: 'grantSlices'}>;
type ReleaseEffect = Extract<Effect, {kind: 'releaseSlices'}>;
type Answer = (response: ServerResponse, calls: number) => void;

const LEASE_MS = 5000;
/** Time in which a report that is not expected would arrive. */
const SETTLE_MS = 50;
/** Timers may fire this early. */
const TIMER_ERROR_MS = 2;
const GRANTS: SliceGrant[] = [
  grantOf(2, 2, 5, null),
  grantOf(7, 1, 6, 'token-7'),
];

interface Call {
  readonly path: string;
  readonly body: Record<string, unknown>;
  readonly socket: Socket;
}

const ANSWERS: ReadonlyArray<{
  title: string;
  answer: Answer;
  granted: boolean;
  released: string[];
}> = [
  {
    title: '204',
    answer: response => response.writeHead(204).end(),
    granted: true,
    released: ['2 null', '7 null'],
  },
  {
    title: '204 with a token',
    answer: response => {
      response.setHeader('x-jackdawfall-handover', 'token');
      response.writeHead(204).end();
    },
    granted: true,
    released: ['2 token', '7 token'],
  },
  {
    title: '409',
    answer: response => response.writeHead(409).end(),
    granted: false,
    released: [],
  },
  {
    title: 'the response to a request',
    answer: response => {
      response.setHeader('x-jackdawfall-attempt', 'a1');
      response.writeHead(200).end();
    },
    granted: false,
    released: [],
  },
  {
    title: 'a closed connection',
    answer: response => response.destroy(),
    granted: false,
    released: [],
  },
];

for (const {title, answer, granted, released} of ANSWERS) {
  test(`grants that are answered with ${title}`, async t => {
    const {pool} = await startServer(t, answer);
    const reports: boolean[] = [];
    SERVER_PROTOCOL.grant(pool, grantEffect(), (_, outcome) => {
      reports.push(outcome === 'confirmed');
    });
    await waitUntil(() => reports.length === GRANTS.length);
    t.deepEqual(reports, [granted, granted]);
  });

  test(`releases that are answered with ${title}`, async t => {
    const {pool, calls, closed} = await startServer(t, answer);
    const reports: string[] = [];
    SERVER_PROTOCOL.release(pool, releaseEffect(), (grant, handover) => {
      reports.push(`${grant.first} ${handover}`);
    });
    await waitUntil(() => closed() === GRANTS.length);
    await waitUntil(() => reports.length >= released.length);
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    t.is(calls.length, GRANTS.length);
    t.deepEqual(reports.sort(), released);
  });
}

test('grants and releases name slices, generations and tokens', async t => {
  const {pool, calls} = await startServer(t, response =>
    response.writeHead(204).end(),
  );
  SERVER_PROTOCOL.grant(pool, grantEffect(), () => undefined);
  await waitUntil(() => calls.length === 1);
  SERVER_PROTOCOL.release(pool, releaseEffect(), () => undefined);
  await waitUntil(() => calls.length === 1 + GRANTS.length);
  const [{body: granted}, ...releases] = calls;
  const {ttlMs, ...named} = granted;
  t.true(Number(ttlMs) > LEASE_MS / 2 && Number(ttlMs) <= LEASE_MS);
  t.deepEqual(named, {
    service: 's',
    slices: [2, 3, 7],
    generations: [5, 5, 6],
    handovers: [null, null, 'token-7'],
  });
  const bodies = releases.map(({path, body}) => [path, body.slices]);
  bodies.sort((a, b) => String(a[1]).localeCompare(String(b[1])));
  t.deepEqual(bodies, [
    ['/releases', [2, 3]],
    ['/releases', [7]],
  ]);
});

// A late copy of a grant's answer confirmed the next grant, which the server
// could carry out after a release.
test('no call reads a late copy of the answer to an earlier one', async t => {
  const {pool, calls} = await startServer(t, (response, count) => {
    if (count === 1) response.writeHead(204).end();
    else response.socket?.write('HTTP/1.1 204 No Content\r\n\r\n');
  });
  const reports: boolean[] = [];
  for (let count = 1; count <= 2; count++) {
    SERVER_PROTOCOL.grant(pool, grantEffect(), (_, outcome) => {
      reports.push(outcome === 'confirmed');
    });
    await waitUntil(() => reports.length === count * GRANTS.length);
  }
  SERVER_PROTOCOL.release(pool, releaseEffect(), () => undefined);
  await waitUntil(() => calls.length === 2 + GRANTS.length);
  t.is(new Set(calls.map(({socket}) => socket)).size, calls.length);
});

// A stopped server carried out grants that waited in its socket when it ran
// again, up to 1.5 s after its slices were given to another server.
test('a server that reads no call has no grant waiting', async t => {
  let received = '';
  const server = createNetServer(socket => {
    socket.on('data', bytes => (received += bytes.toString()));
    socket.on('error', () => undefined);
  });
  const {pool} = await listen(t, server);
  const reports: boolean[] = [];
  SERVER_PROTOCOL.grant(pool, grantEffect(), (_, outcome) => {
    reports.push(outcome === 'confirmed');
  });
  await waitUntil(() => reports.length === GRANTS.length);
  t.deepEqual(reports, [false, false]);
  t.true(received.includes('POST /grants'));
  t.false(received.includes('ttlMs'));
});

test('the time of a grant counts from when the server asks for it', async t => {
  const delayMs = 300;
  const calls: Call[] = [];
  const server = createServer();
  server.on('checkContinue', (request, response: ServerResponse) => {
    setTimeout(() => {
      response.writeContinue();
      void readCall(request).then(call => {
        calls.push(call);
        response.writeHead(204).end();
      });
    }, delayMs);
  });
  const {pool} = await listen(t, server);
  SERVER_PROTOCOL.grant(pool, grantEffect(), () => undefined);
  await waitUntil(() => calls.length === 1);
  t.true(Number(calls[0]?.body.ttlMs) <= LEASE_MS - delayMs + TIMER_ERROR_MS);
});

function grantOf(
  first: number,
  count: number,
  generation: number,
  handover: string | null,
): SliceGrant {
  return {
    first: first as Slice,
    count,
    generation: generation as Generation,
    handover,
  };
}

function grantEffect(): GrantEffect {
  const now = readClocks();
  const until = {
    monotonic: now.monotonic + LEASE_MS,
    wall: now.wall + LEASE_MS,
  };
  return {...common(), kind: 'grantSlices', round: 1, until, timeoutMs: 1000};
}

function releaseEffect(): ReleaseEffect {
  return {...common(), kind: 'releaseSlices', round: 2};
}

function common() {
  return {service: 's' as never, slices: 32, grants: GRANTS};
}

/** Starts a server; `answer` gets the number of calls on the connection. */
async function startServer(t: ExecutionContext, answer: Answer) {
  const calls: Call[] = [];
  const countBySocket = new Map<Socket, number>();
  let closed = 0;
  const handle = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const call = await readCall(request);
    const {socket} = call;
    calls.push(call);
    const count = (countBySocket.get(socket) ?? 0) + 1;
    countBySocket.set(socket, count);
    answer(response, count);
  };
  const server = createServer((request, response) => {
    void handle(request, response);
  });
  server.on('connection', socket => {
    socket.on('close', () => closed++);
  });
  const {pool} = await listen(t, server);
  return {pool, calls, closed: () => closed};
}

async function readCall(request: IncomingMessage): Promise<Call> {
  const {socket, url: path = ''} = request;
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  const text = Buffer.concat(parts).toString();
  return {path, body: JSON.parse(text) as Call['body'], socket};
}

async function listen(t: ExecutionContext, server: NetServer) {
  const sockets = new Set<Socket>();
  server.on('connection', (socket: Socket) => sockets.add(socket));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const pool = new ServerConnectionPool({
    address: `127.0.0.1:${port}` as Address,
    connections: 4,
    checksGrants: true,
  } as Announcement);
  pool.confirmProcess();
  t.teardown(() => {
    pool.destroy();
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return {pool};
}
