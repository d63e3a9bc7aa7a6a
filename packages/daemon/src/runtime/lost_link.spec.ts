/**
 * @fileoverview Tests of requests and responses that are under way between two
 * daemons when their link is lost, and of messages that can't be passed on. One
 * of the two daemons is played by the test.
 */

import {once} from 'node:events';
import {createServer, request} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {
  createDaemon,
  makeMemberId,
  mergeTuning,
  parseWorkspace,
} from '@jackdawfall/core';
import type {
  Address,
  Announcement,
  AttemptId,
  Change,
  LoggedEntry,
  MemberId,
  Message,
} from '@jackdawfall/core';
import {Links} from '@jackdawfall/wire';
import test from 'ava';
import type {ExecutionContext} from 'ava';

import {CALLER_PROTOCOL} from '../callers/protocol.js';
import {createMetrics} from '../metrics/logic.js';
import {SERVER_PROTOCOL} from '../runs/protocol.js';
import type {Settings} from '../settings/types.js';
import {waitUntil} from '../testing/runs.js';
import {DaemonRuntime} from './logic.js';

const DAEMON = makeMemberId('a' as never, '1');
const PEER = makeMemberId('b' as never, '1');
const IP = '127.0.0.1';
const TUNING = mergeTuning({leases: {coversShared: false}});
const OUTSTANDING = 0;
const SETTLE_MS = 300;
/** Interval at which the test's daemon answers dispatches. */
const RESPONSE_INTERVAL_MS = 10;
/** The whole body of the backend server's response, in parts. */
const PARTS = ['first,', 'second,', 'third'];
const WHOLE = PARTS.join('');

const DOCUMENT = JSON.stringify({
  name: 'w',
  version: 1,
  zones: ['z'],
  services: [{name: 'records', division: {kind: 'shared'}, upstreams: 1}],
  routes: [
    {
      method: 'GET',
      path: '/records/{id}',
      service: 'records',
      idempotent: true,
      priority: 'interactive',
      timeoutMs: 20_000,
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

interface Case {
  readonly name: string;
  /** What the peer says became of the attempt. */
  readonly fate: 'running' | 'forgotten';
  /** Parts that it sends again after that, from the start. */
  readonly replayed: readonly string[];
  /** Status and body that the caller gets; null if the body doesn't matter. */
  readonly status: number;
  readonly body: string | null;
}

const CASES: readonly Case[] = [
  {
    name: 'a response that is sent again is relayed from its start',
    fate: 'running',
    replayed: PARTS,
    status: 200,
    body: WHOLE,
  },
  {
    name: 'a response that is not sent again is not relayed',
    fate: 'forgotten',
    replayed: [],
    status: 502,
    body: null,
  },
];

// What arrived over the next link was appended to what had arrived before: the
// caller got a success without the part that was lost with the link.
for (const {name, fate, replayed, status, body} of CASES) {
  test(`after the loss of a link, ${name}`, async t => {
    const received: Message[] = [];
    const first = createPeer(t, received);
    const peerPort = await first.links.listen();
    const {address, callers} = await startDaemon(t);
    first.links.send(DAEMON, address, entriesFor(peerPort, PEER));
    await waitUntil(() => received.some(each => each.kind === 'pull'));
    const response = get(callers);
    await waitUntil(() => attemptsIn(received).length > 0);
    const [attempt] = attemptsIn(received);
    first.links.send(DAEMON, address, headOf(attempt));
    first.links.send(DAEMON, address, dataOf(attempt, PARTS[0]));
    await waitUntil(() => first.links.bufferedBytes(DAEMON) === 0);
    first.stop();
    const next = createPeer(t, received);
    next.links.send(DAEMON, address, dataOf(attempt, PARTS[2]));
    next.links.send(DAEMON, address, endOf(attempt));
    await waitUntil(() => received.some(each => each.kind === 'inquire'));
    next.links.send(DAEMON, address, {kind: 'fate', attempt, state: fate});
    if (replayed.length > 0) {
      next.links.send(DAEMON, address, headOf(attempt));
      for (const part of replayed) {
        next.links.send(DAEMON, address, dataOf(attempt, part));
      }
      next.links.send(DAEMON, address, endOf(attempt));
    }
    const actual = await response;
    t.is(actual.status, status);
    if (body !== null) t.is(actual.body, body);
  });
}

/** Heads that no daemon of this version sends, and that Node can't write. */
const INVALID_HEADS: ReadonlyArray<{name: string; head: object}> = [
  {name: 'status 0', head: {status: 0}},
  {name: 'status 20', head: {status: 20}},
  {name: 'status 101', head: {status: 101}},
  {name: 'status 600', head: {status: 600}},
  {name: 'a space in a name', head: {headers: [{name: 'x ', value: ''}]}},
];

// The daemon that passed such a head on ended, or its caller got the status.
for (const {name, head} of INVALID_HEADS) {
  test.serial(
    `a head with ${name} from another daemon is not passed on`,
    async t => {
      const received: Message[] = [];
      const peer = createPeer(t, received);
      const peerPort = await peer.links.listen();
      const {address, callers} = await startDaemon(t);
      peer.links.send(DAEMON, address, entriesFor(peerPort, PEER));
      await waitUntil(() => received.some(each => each.kind === 'pull'));
      const answered = new Set<AttemptId>();
      const responder = setInterval(() => {
        for (const attempt of attemptsIn(received)) {
          if (answered.has(attempt)) continue;
          answered.add(attempt);
          const message = {...headOf(attempt), ...head};
          peer.links.send(DAEMON, address, message);
          peer.links.send(DAEMON, address, endOf(attempt));
        }
      }, RESPONSE_INTERVAL_MS);
      t.teardown(() => clearInterval(responder));
      const {status} = await get(callers, {'x-timeout-ms': '1000'});
      t.true(status === 502 || status === 504, String(status));
      t.true(answered.size > 0);
    },
  );
}

const INVALID_DISPATCHES: ReadonlyArray<{name: string; change: object}> = [
  {name: 'a tab in its path', change: {path: '/records/\t'}},
  {name: 'an unknown method', change: {method: 'GE T'}},
  {name: 'a space in a name', change: {headers: [{name: 'x ', value: ''}]}},
];

// The daemon that ran such a dispatch ended.
for (const {name, change} of INVALID_DISPATCHES) {
  test.serial(
    `a dispatch with ${name} from another daemon is not run`,
    async t => {
      const received: Message[] = [];
      const peer = createPeer(t, received);
      const peerPort = await peer.links.listen();
      const {runtime, address} = await startDaemon(t);
      runtime.announce(announcementOf(1));
      const attempt = `${PEER}/1` as AttemptId;
      peer.links.send(DAEMON, address, entriesFor(peerPort, DAEMON));
      const message = {...dispatchOf(attempt, PARTS[0]), ...change};
      peer.links.send(DAEMON, address, message);
      await waitUntil(() => received.some(each => each.kind === 'failed'));
      const failed = received.find(each => each.kind === 'failed');
      t.is(failed?.run, 'not-run');
      t.is(failed?.error, 'bad-request');
    },
  );
}

// The server was sent the request without the part that was lost with the link.
test('after the loss of a link, the body of a request is not continued', async t => {
  const bodies: string[] = [];
  const server = createServer((incoming, outgoing) => {
    let body = '';
    incoming.on('error', () => undefined);
    incoming.on('data', bytes => (body += String(bytes)));
    incoming.on('end', () => {
      bodies.push(body);
      outgoing.end();
    });
  });
  server.listen(0, IP);
  await once(server, 'listening');
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const received: Message[] = [];
  const first = createPeer(t, received);
  const peerPort = await first.links.listen();
  const {runtime, address} = await startDaemon(t);
  const {port} = server.address() as AddressInfo;
  runtime.announce(announcementOf(port));
  const attempt = `${PEER}/1` as AttemptId;
  first.links.send(DAEMON, address, entriesFor(peerPort, DAEMON));
  first.links.send(DAEMON, address, dispatchOf(attempt, PARTS[0]));
  // Credit for the first part: it was written to the server.
  await waitUntil(() => received.some(each => each.kind === 'credit'));
  first.stop();
  const next = createPeer(t, received);
  const bytes = Buffer.from(PARTS[2]);
  next.links.send(DAEMON, address, {kind: 'body', attempt, bytes, ends: true});
  await waitUntil(() => received.some(each => each.kind === 'failed'));
  await sleep(SETTLE_MS);
  t.deepEqual(bodies, []);
  const failed = received.find(each => each.kind === 'failed');
  t.is(failed?.run, 'unknown');
});

// The response was sent to the earlier member id: nobody got it, and the caller
// waited until its deadline.
test('a daemon that joins under a new id relays the response of its own run', async t => {
  const responses: ServerResponse[] = [];
  const server = createServer((_, outgoing) => void responses.push(outgoing));
  server.listen(0, IP);
  await once(server, 'listening');
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const received: Message[] = [];
  const peer = createPeer(t, received);
  const peerPort = await peer.links.listen();
  const {runtime, address, callers} = await startDaemon(t);
  const ticker = setInterval(() => runtime.tick(), TUNING.loop.tickMs);
  t.teardown(() => clearInterval(ticker));
  const {port} = server.address() as AddressInfo;
  runtime.announce(announcementOf(port));
  const before = entriesFor(peerPort, DAEMON);
  peer.links.send(DAEMON, address, before);
  await waitUntil(() => received.some(each => each.kind === 'pull'));
  const response = get(callers);
  await waitUntil(() => responses.length > 0);
  peer.links.send(
    DAEMON,
    address,
    entriesAfter(before.version, [
      {kind: 'ended', members: [DAEMON]},
      joined(makeMemberId('a' as never, '1.2'), 1),
    ]),
  );
  await sleep(SETTLE_MS);
  responses[0].end(WHOLE);
  t.deepEqual(await response, {status: 200, body: WHOLE});
});

function announcementOf(port: number): Announcement {
  return {
    instance: 'server' as never,
    service: 'records' as never,
    address: `${IP}:${port}` as Address,
    slots: 4,
    connections: 4,
    checksGrants: false,
    leaving: false,
    coldStart: null,
  };
}

/** The dispatch of a request whose body has further parts. */
function dispatchOf(attempt: AttemptId, part: string): Message {
  return {
    kind: 'dispatch',
    attempt,
    to: DAEMON,
    request: 'r' as never,
    service: 'records' as never,
    slice: null,
    method: 'POST',
    path: '/records/1',
    headers: [],
    idempotent: false,
    priority: 'interactive',
    idempotencyKey: null,
    budgetMs: 20_000,
    urgency: 0,
    objectiveMs: 0,
    costClass: 0 as never,
    version: 0 as never,
    body: Buffer.from(part),
    bodyEnds: false,
  };
}

/** Creates the links of the peer, which record the messages. */
function createPeer(t: ExecutionContext, received: Message[]) {
  const abort = new AbortController();
  t.teardown(() => abort.abort());
  const links = new Links({
    self: {
      member: PEER,
      address: `${IP}:1` as Address,
      workspace: 'w' as never,
    },
    listen: {ip: IP, port: 0},
    tuning: TUNING.links,
    signal: abort.signal,
    on: {
      message: (_, message) => void received.push(message),
      opened: () => undefined,
      lost: () => undefined,
    },
  });
  return {links, stop: () => abort.abort()};
}

/** Starts a daemon whose store is out of reach. */
async function startDaemon(t: ExecutionContext) {
  const abort = new AbortController();
  const endpoint = {ip: IP, port: 0};
  const identity = {workspace: 'w', host: 'a', zone: 'z'} as never as Pick<
    Settings,
    'workspace' | 'host' | 'zone'
  >;
  const runtime = new DaemonRuntime({
    settings: {
      ...identity,
      callers: endpoint,
      links: endpoint,
      operators: endpoint,
      linkAddress: `${IP}:1` as Address,
      platform: {addresses: []},
      tuning: TUNING,
    },
    adapters: {
      store: {call: () => Promise.resolve({kind: 'refused', detail: ''})},
      callers: CALLER_PROTOCOL,
      servers: SERVER_PROTOCOL,
      start: () => Promise.resolve(),
    },
    daemon: createDaemon({
      ...identity,
      address: `${IP}:1` as Address,
      incarnation: '1',
      tuning: TUNING,
    }),
    member: DAEMON,
    logger: {log: () => undefined, setContext: () => undefined},
    metrics: createMetrics(),
    random: () => 0.5,
    onLeft: () => undefined,
    onInvariantViolation: (invariant, detail) =>
      t.fail(`${invariant}: ${detail}`),
    signal: abort.signal,
  });
  const {server} = runtime.callers;
  server.listen(0, IP);
  await once(server, 'listening');
  const port = await runtime.links.listen();
  runtime.start();
  t.teardown(() => {
    abort.abort();
    server.close();
    server.closeAllConnections();
  });
  const callers = (server.address() as AddressInfo).port;
  return {runtime, address: `${IP}:${port}` as Address, callers};
}

/** Entries by which both daemons are members, and one has a server. */
function entriesFor(peerPort: number, serving: MemberId) {
  const parsed = parseWorkspace(DOCUMENT);
  if (parsed.kind === 'invalid') throw new Error('invalid document');
  const document = JSON.stringify(parsed.workspace);
  const changes: Change[] = [
    {kind: 'configured', number: 1, document},
    joined(PEER, peerPort),
    joined(DAEMON, 1),
    {
      kind: 'offered',
      member: serving,
      service: 'records' as never,
      instance: 'server' as never,
      slots: 4,
      leaving: false,
    },
  ];
  return entriesAfter(0, changes);
}

function entriesAfter(after: number, changes: readonly Change[]) {
  const entries = changes.map((change, index): LoggedEntry => {
    const version = (after + index + 1) as LoggedEntry['version'];
    const text = JSON.stringify({version, writeId: '', by: '', at: 0, change});
    return {version, revision: version, text};
  });
  const {version} = entries[entries.length - 1];
  return {kind: 'entries', entries, version} as const;
}

function joined(member: MemberId, port: number): Change {
  const address = `${IP}:${port}` as Address;
  const common = {zone: 'z' as never, operators: null, replaces: null};
  return {kind: 'joined', member, address, ...common};
}

function attemptsIn(received: readonly Message[]): AttemptId[] {
  return received.flatMap(each =>
    each.kind === 'dispatch' ? [each.attempt] : [],
  );
}

function headOf(attempt: AttemptId): Message {
  return {kind: 'head', attempt, status: 200, headers: []};
}

function dataOf(attempt: AttemptId, part: string): Message {
  return {kind: 'data', attempt, bytes: Buffer.from(part)};
}

function endOf(attempt: AttemptId): Message {
  return {
    kind: 'end',
    attempt,
    outstanding: OUTSTANDING,
    workMs: 0,
    expectedMs: 0,
  };
}

async function get(
  port: number,
  headers: Record<string, string> = {},
): Promise<{status: number; body: string}> {
  const path = '/records/1';
  const outgoing = request({host: IP, port, path, headers, agent: false});
  outgoing.end();
  const [incoming] = (await once(outgoing, 'response')) as [IncomingMessage];
  let body = '';
  for await (const bytes of incoming) body += String(bytes);
  return {status: incoming.statusCode ?? 0, body};
}
