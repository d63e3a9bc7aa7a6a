/**
 * @fileoverview Tests of links over loopback: order, refusal, silence, idle
 * links, restarts and back pressure.
 */

import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {DEFAULT_TUNING} from '@jackdawfall/core';
import type {
  Address,
  AttemptId,
  MemberId,
  Message,
  Version,
  WorkspaceName,
} from '@jackdawfall/core';
import {MAX_MESSAGE_BYTES} from '../codec/frames.js';
import {UnsendableMessage} from '../codec/types.js';
import {Links} from './links.js';

/** Maximum time in which a silent peer must be detected, in milliseconds. */
const DETECTION_MS = 1500;

/** A daemon's links with what they reported. */
interface Node {
  readonly member: MemberId;
  readonly links: Links;
  readonly port: number;
  readonly address: Address;
  readonly events: string[];
  readonly received: Message[];
  stop(): void;
}

interface NodeOptions {
  readonly port?: number;
  readonly workspace?: string;
  readonly tuning?: Partial<typeof DEFAULT_TUNING.links>;
}

async function start(
  t: ExecutionContext,
  name: string,
  options: NodeOptions = {},
): Promise<Node> {
  const member = name as MemberId;
  const events: string[] = [];
  const received: Message[] = [];
  const abort = new AbortController();
  const links = new Links({
    self: {
      member,
      address: '127.0.0.1:1' as Address,
      workspace: (options.workspace ?? 'taipei') as WorkspaceName,
    },
    listen: {ip: '127.0.0.1', port: options.port ?? 0},
    tuning: {...DEFAULT_TUNING.links, ...options.tuning},
    signal: abort.signal,
    on: {
      message: (from, message) => {
        events.push(`message ${from}`);
        received.push(message);
      },
      opened: peer => events.push(`opened ${peer}`),
      lost: (peer, reason) => events.push(`lost ${peer}: ${reason}`),
    },
  });
  const port = await links.listen();
  const stop = () => abort.abort();
  t.teardown(stop);
  const address = `127.0.0.1:${port}` as Address;
  return {member, links, port, address, events, received, stop};
}

/** Waits for a condition and returns how long that took, in milliseconds. */
async function until(done: () => boolean, limitMs = 3000): Promise<number> {
  const from = performance.now();
  while (!done()) {
    const spent = performance.now() - from;
    if (spent > limitMs) throw new Error(`not within ${limitMs} ms`);
    await sleep(5);
  }
  return performance.now() - from;
}

function cancel(n: number): Message {
  return {kind: 'cancel', attempt: String(n) as AttemptId};
}

function inquire(to: MemberId): Message {
  return {kind: 'inquire', attempt: '1' as AttemptId, to};
}

const PULL: Message = {kind: 'pull', after: 0 as Version};

/**
 * A TCP proxy that can stop forwarding without closing connections. Those that
 * were open then stay silent permanently; later ones work again.
 */
async function startProxy(t: ExecutionContext, to: number) {
  const sockets: Socket[] = [];
  const state = {silent: false, connections: 0};
  const server = createServer(inbound => {
    state.connections += 1;
    const isSilent = () => state.silent;
    const outbound = connect(to, '127.0.0.1');
    sockets.push(inbound, outbound);
    const own = {cut: false};
    const forward = (target: Socket) => (bytes: Buffer) => {
      own.cut ||= isSilent();
      if (!own.cut) target.write(bytes);
    };
    inbound.on('data', forward(outbound));
    outbound.on('data', forward(inbound));
    inbound.on('error', () => outbound.destroy());
    outbound.on('error', () => inbound.destroy());
    inbound.on('close', () => own.cut || outbound.destroy());
    outbound.on('close', () => own.cut || inbound.destroy());
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  return {state, address: `127.0.0.1:${port}` as Address};
}

test('messages arrive in order and both sides use the same link', async t => {
  const a = await start(t, 'a#1');
  const b = await start(t, 'b#1');
  for (let n = 0; n < 500; n += 1) {
    a.links.send(b.member, b.address, cancel(n));
    if (n % 100 === 0) await sleep(1);
  }
  await until(() => b.received.length === 500);
  t.deepEqual(
    b.received,
    Array.from({length: 500}, (_, n) => cancel(n)),
  );
  b.links.send(a.member, a.address, cancel(7));
  await until(() => a.received.length === 1);
  t.is(a.links.size, 1);
  t.is(b.links.size, 1);
  t.deepEqual(a.events, ['opened b#1', 'message b#1']);
});

test('no message is lost when both sides dial at the same time', async t => {
  const a = await start(t, 'a#1');
  const b = await start(t, 'b#1');
  for (let n = 0; n < 50; n += 1) {
    a.links.send(b.member, b.address, cancel(n));
    b.links.send(a.member, a.address, cancel(n));
    await sleep(1);
  }
  await until(() => a.received.length === 50 && b.received.length === 50);
  const sent = Array.from({length: 50}, (_, n) => cancel(n));
  t.deepEqual(a.received, sent);
  t.deepEqual(b.received, sent);
  t.false(a.events.some(event => event.startsWith('lost')));
});

const REFUSALS: readonly {
  name: string;
  peer: NodeOptions;
  asked: string;
  reason: RegExp;
}[] = [
  {name: 'another member', peer: {}, asked: 'b#1', reason: /here is b#2/},
  {
    name: 'another workspace',
    peer: {workspace: 'windhoek'},
    asked: 'b#2',
    reason: /workspace taipei/,
  },
];

for (const {name, peer, asked, reason} of REFUSALS) {
  test(`a link is refused by ${name} at the address`, async t => {
    const a = await start(t, 'a#1');
    const b = await start(t, 'b#2', peer);
    a.links.send(asked as MemberId, b.address, cancel(1));
    await until(() => a.events.length > 0);
    t.regex(a.events[0] ?? '', reason);
    t.true(a.events[0]?.startsWith(`lost ${asked}`));
    t.deepEqual(b.received, []);
    t.deepEqual(b.events, []);
  });
}

test('a link to an address without a listener is lost', async t => {
  const a = await start(t, 'a#1');
  const b = await start(t, 'b#1');
  b.stop();
  await sleep(300);
  a.links.send(b.member, b.address, cancel(1));
  await until(() => a.events.length > 0);
  t.regex(a.events[0] ?? '', /^lost b#1/);
});

test('a link whose handshake never completes is lost', async t => {
  const a = await start(t, 'a#1');
  const b = await start(t, 'b#1');
  const proxy = await startProxy(t, b.port);
  proxy.state.silent = true;
  a.links.send(b.member, proxy.address, cancel(1));
  const ms = await until(() => a.events.length > 0);
  t.regex(a.events[0] ?? '', /^lost b#1/);
  t.true(ms <= DETECTION_MS, `${ms} ms`);
});

test('silence is detected while an attempt is open', async t => {
  const a = await start(t, 'a#1');
  const b = await start(t, 'b#1');
  const proxy = await startProxy(t, b.port);
  a.links.send(b.member, proxy.address, inquire(b.member));
  await until(() => b.received.length === 1);
  await sleep(2 * DETECTION_MS);
  t.deepEqual(a.events, ['opened b#1'], 'heartbeats keep the link open');
  proxy.state.silent = true;
  const ms = await until(() => a.events.length > 1 && b.events.length > 2);
  t.true(ms <= DETECTION_MS, `${ms} ms`);
  t.regex(a.events[1] ?? '', /^lost b#1: silent/);
  t.regex(b.events[2] ?? '', /^lost a#1: silent/);
  proxy.state.silent = false;
  a.links.send(b.member, proxy.address, cancel(2));
  await until(() => b.received.length === 2);
  t.is(proxy.state.connections, 2);
});

test('silence of an idle link is detected at its next use', async t => {
  const a = await start(t, 'a#1');
  const b = await start(t, 'b#1');
  const proxy = await startProxy(t, b.port);
  a.links.send(b.member, proxy.address, cancel(1));
  await until(() => b.received.length === 1);
  proxy.state.silent = true;
  await sleep(DETECTION_MS);
  t.deepEqual(a.events, ['opened b#1']);
  a.links.send(b.member, proxy.address, PULL);
  const ms = await until(() => a.events.length > 1);
  t.true(ms <= DETECTION_MS, `${ms} ms`);
  t.regex(a.events[1] ?? '', /^lost b#1: silent/);
});

test('a peer sends a heartbeat when a message needs no reply', async t => {
  const a = await start(t, 'a#1');
  const b = await start(t, 'b#1');
  a.links.send(b.member, b.address, PULL);
  await sleep(2 * DETECTION_MS);
  t.deepEqual(a.events, ['opened b#1']);
});

test('an idle link is closed by both sides and opened again', async t => {
  const tuning = {heartbeatMs: 20, unusedMs: 100};
  const a = await start(t, 'a#1', {tuning});
  const b = await start(t, 'b#1', {tuning});
  a.links.send(b.member, b.address, cancel(1));
  await until(() => b.received.length === 1);
  await until(() => a.links.size === 0 && b.links.size === 0);
  b.links.send(a.member, a.address, cancel(2));
  await until(() => a.received.length === 1);
  t.deepEqual(a.events, ['opened b#1', 'opened b#1', 'message b#1']);
  t.deepEqual(b.events, ['opened a#1', 'message a#1', 'opened a#1']);
});

test('a loss on one side is reported by the other at the next link', async t => {
  const a = await start(t, 'a#1');
  const b = await start(t, 'b#1', {tuning: {silenceMs: 60_000}});
  const proxy = await startProxy(t, b.port);
  a.links.send(b.member, proxy.address, inquire(b.member));
  await until(() => b.received.length === 1);
  proxy.state.silent = true;
  await until(() => a.events.length > 1);
  t.deepEqual(b.events, ['opened a#1', 'message a#1']);
  a.links.send(b.member, b.address, cancel(2));
  await until(() => b.received.length === 2);
  t.deepEqual(b.events.slice(2), [
    'lost a#1: lost by the peer',
    'opened a#1',
    'message a#1',
  ]);
  t.is(b.links.size, 1);
});

test('a restarted peer is lost and reached under its new member id', async t => {
  const a = await start(t, 'a#1');
  const b = await start(t, 'b#1');
  a.links.send(b.member, b.address, cancel(1));
  await until(() => b.received.length === 1);
  b.stop();
  await until(() => a.events.length > 1, DETECTION_MS);
  t.regex(a.events[1] ?? '', /^lost b#1/);
  await sleep(300);
  const again = await start(t, 'b#2', {port: b.port});
  a.links.send(again.member, again.address, cancel(2));
  await until(() => again.received.length === 1);
  t.deepEqual(a.events.slice(2), ['opened b#2']);
});

test('a change of the member id drops the links of the old one', async t => {
  const a = await start(t, 'a#1');
  const b = await start(t, 'b#1');
  a.links.send(b.member, b.address, cancel(1));
  await until(() => b.received.length === 1);
  a.links.setMemberId('a#2' as MemberId);
  a.links.send(b.member, b.address, cancel(2));
  await until(() => b.events.includes('opened a#2') || a.events.length > 1);
  t.true(a.events.includes('lost b#1: new member id'));
  a.links.send(b.member, b.address, cancel(3));
  await until(() => b.events.includes('message a#2'));
  t.true(b.events.some(event => event.startsWith('lost a#1')));
});

test('the link is dropped when too many bytes are queued for a peer', async t => {
  const queueBytes = 1024 * 1024;
  const a = await start(t, 'a#1', {tuning: {queueBytes, silenceMs: 60_000}});
  const b = await start(t, 'b#1');
  const proxy = await startProxy(t, b.port);
  a.links.send(b.member, proxy.address, cancel(1));
  await until(() => b.received.length === 1);
  proxy.state.silent = true;
  const bytes = new Uint8Array(64 * 1024);
  const attempt = '1' as AttemptId;
  let sent = 0;
  for (; a.events.length < 2 && sent < 400; sent += 1) {
    a.links.send(b.member, b.address, {kind: 'data', attempt, bytes});
    t.true(a.links.bufferedBytes(b.member) <= queueBytes + 2 * bytes.length);
    await sleep(1);
  }
  t.regex(a.events[1] ?? '', /^lost b#1: the peer takes too little/);
  t.is(a.links.bufferedBytes(b.member), 0);
});

test('sending a message larger than a frame throws', async t => {
  const a = await start(t, 'a#1');
  const bytes = new Uint8Array(MAX_MESSAGE_BYTES);
  const attempt = '1' as AttemptId;
  t.throws(
    () =>
      a.links.send('b#1' as MemberId, a.address, {
        kind: 'data',
        attempt,
        bytes,
      }),
    {instanceOf: UnsendableMessage},
  );
});

test('an unencodable message fails the link, not the process', async t => {
  const a = await start(t, 'a#1');
  const b = await start(t, 'b#1');
  const wrong = {kind: 'cancel', attempt: 7} as unknown as Message;
  a.links.send(b.member, b.address, wrong);
  await until(() => a.events.length > 1);
  t.regex(a.events[1] ?? '', /^lost b#1: can't write/);
  t.deepEqual(b.received, []);
});
