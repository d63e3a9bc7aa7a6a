/**
 * @fileoverview Tests that clients which send bodies without ending them, or
 * hold connections, neither end a daemon nor keep it from others. Guards
 * against memory that is held but not counted, against bodies that keep their
 * memory while nothing arrives, and against connections that use up the
 * descriptors. The crowds and bounds are fixed.
 */

import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import test from 'ava';

import {get, post} from '../control/client.js';
import {startCluster} from './cluster.js';
import {applyUntilAccepted, buildCityDocument} from './operations.js';
import type {Host} from './types.js';

const MB = 1024 * 1024;
const KB_PER_MB = 1024;
const APPLY_MS = 10_000;
/** Maximum time until one of the tries of an ordinary request is served. */
const SERVED_MS = 10_000;
const RETRY_MS = 100;
/** Size of the parts in which a client writes. */
const WRITE_BYTES = 65_536;
/** Time for which a client waits for the daemon to take what it wrote. */
const MAX_STALL_MS = 200;
/**
 * Time for the daemon to take the connections and to read what was sent last;
 * a connection that found no room in the accept queue is tried again after 1 s.
 */
const SETTLE_MS = 3500;
const SAMPLE_MS = 20;
const REQUEST_TIMEOUT_MS = 5000;
const OK = 200;
/** Lines of the daemon's output that a failure shows. */
const OUTPUT_LINES = 40;
const TEST_TIMEOUT_MS = 120_000;

const HEAP_MB = 96;
const MACHINE_MB = 128;
const DESCRIPTORS = 256;
/** What a daemon needs for links, its server and the platform. */
const FREE_DESCRIPTORS = 32;
/** Maximum resident memory of the daemon at any time. */
const MAX_RESIDENT_MB = 300;
const MAX_BODY_BYTES = 4 * MB;

/** Clients that act alike, one after the other, and all stay. */
interface Crowd {
  readonly name: string;
  readonly clients: number;
  /** Size of each chunk of a body. */
  readonly chunkBytes: number;
  /** Number of chunks that each sends, without the end of the body. */
  readonly chunks: number;
}

const CROWDS: readonly Crowd[] = [
  {name: 'chunks of one byte', clients: 40, chunkBytes: 1, chunks: 20_000},
  {name: 'large bodies', clients: 30, chunkBytes: 65_536, chunks: 60},
  {name: 'large chunks', clients: 140, chunkBytes: 65_536, chunks: 4},
  {name: 'no bodies', clients: 400, chunkBytes: 0, chunks: 0},
];

for (const crowd of CROWDS) {
  test.serial(`a daemon outlasts a crowd that sends ${crowd.name}`, async t => {
    t.timeout(TEST_TIMEOUT_MS);
    const ending = new AbortController();
    t.teardown(() => ending.abort());
    const host = await startHost(ending.signal);
    t.true(await isServed(host));
    const pid = host.daemon?.pid ?? 0;
    let descriptors = 0;
    const sampler = setInterval(() => {
      descriptors = Math.max(descriptors, countDescriptors(pid));
    }, SAMPLE_MS);
    t.teardown(() => clearInterval(sampler));
    const clients = Array.from({length: crowd.clients}, () => openClient(host));
    t.teardown(() => clients.forEach(socket => socket.destroy()));
    for (const socket of clients) await sendUnfinished(socket, crowd);
    await sleep(SETTLE_MS);
    const served = await isServed(host);
    const log = host.daemon?.output.slice(-OUTPUT_LINES).join('\n');
    t.true(host.daemon?.isRunning(), log);
    t.true(served, 'an ordinary request is served');
    t.true(peakResidentMb(pid) < MAX_RESIDENT_MB, `${peakResidentMb(pid)} MB`);
    const free = DESCRIPTORS - descriptors;
    t.true(free >= FREE_DESCRIPTORS, `${free} descriptors are free`);
    t.is((await get(`http://${host.operators}/status`)).status, OK);
  });
}

async function startHost(signal: AbortSignal): Promise<Host> {
  const cluster = await startCluster(
    {
      workspace: 'taipei',
      hosts: [{host: 'pairing-a', zone: 'a', service: 'pairing'}],
      relays: false,
      server: {},
      tuning: {memory: {machineMb: MACHINE_MB}},
      seed: 1,
      daemonLimits: {heapMb: HEAP_MB, descriptors: DESCRIPTORS},
    },
    signal,
  );
  const host = cluster.hosts.get('pairing-a') as Host;
  const document = await buildCityDocument({maxBodyBytes: MAX_BODY_BYTES});
  await applyUntilAccepted(host, document, 0, APPLY_MS);
  return host;
}

/** Opens a connection; its end is of no interest. */
function openClient(host: Host): Socket {
  const [ip, port] = host.callers.split(':');
  const socket = connect(Number(port), ip);
  socket.on('error', () => undefined);
  socket.resume();
  return socket;
}

/**
 * Sends a body without its end. Returns early if the connection closes, an
 * answer comes or nothing is taken for a while; the client stays in any case.
 */
async function sendUnfinished(
  socket: Socket,
  {chunkBytes, chunks}: Crowd,
): Promise<void> {
  if (chunks === 0) return;
  let isAnswered = false;
  const answered = once(socket, 'data').then(
    () => (isAnswered = true),
    () => undefined,
  );
  const head = 'POST /pairing/lin HTTP/1.1\r\nhost: a\r\n';
  socket.write(`${head}transfer-encoding: chunked\r\n\r\n`);
  const size = chunkBytes.toString(16);
  const chunk = `${size}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  const perWrite = Math.ceil(WRITE_BYTES / chunk.length);
  for (let sent = 0; sent < chunks; sent += perWrite) {
    if (socket.destroyed || isAnswered) return;
    const count = Math.min(perWrite, chunks - sent);
    if (socket.write(chunk.repeat(count))) continue;
    const drained = once(socket, 'drain');
    await Promise.race([drained, answered, sleep(MAX_STALL_MS)]).catch(
      () => undefined,
    );
  }
}

/** Tries an ordinary request until it is served or the time is over. */
async function isServed(host: Host): Promise<boolean> {
  const end = performance.now() + SERVED_MS;
  while (performance.now() < end) {
    const url = `http://${host.callers}/pairing/lin`;
    const reply = await post(url, {}, REQUEST_TIMEOUT_MS).catch(() => null);
    if (reply?.status === OK) return true;
    await sleep(RETRY_MS);
  }
  return false;
}

function peakResidentMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) / KB_PER_MB;
}

/** Returns 0 if the process has ended. */
function countDescriptors(pid: number): number {
  const folder = `/proc/${pid}/fd`;
  return existsSync(folder) ? readdirSync(folder).length : 0;
}
