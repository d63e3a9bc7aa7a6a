/** @fileoverview A backend server over HTTP that announces itself. */

import type {Arrival} from './logic.js';
import type {ServerState} from './state.js';
import type {
  Journal,
  RunEnd,
  ServerLedger,
  ServerOptions,
  ServerPorts,
} from './types.js';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {createServer} from 'node:http';

import {startControlPort} from '../control/definition.js';
import {
  checksum,
  listen,
  readText,
  seededRandom,
  sendJson,
  sleep,
} from '../control/logic.js';
import {announceForever} from './announcer.js';
import {
  bears,
  begin,
  keyInPath,
  note,
  obey,
  refusalOf,
  serviceTimeMs,
} from './logic.js';
import {coldServer} from './state.js';
import {SERVER_ORDERS} from './types.js';

const MAX_BODY_BYTES = 8 * 1024 * 1024;
/** Cost of one health or load probe. */
const PROBE_MS = 6;
/** Cost of one new connection. */
const CONNECT_MS = 1;
const GRACE_MS = 1;
const REPORT_LAG_MS = 2000;
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'PUT', 'DELETE']);

/** Sockets that go silent, and sockets that have paid for their opening. */
interface Sockets {
  readonly silent: WeakSet<Socket>;
  readonly opened: WeakSet<Socket>;
  readonly all: Set<Socket>;
}

/**
 * Starts a backend server in this process.
 *
 * @param options - Its size and manners.
 * @param signal - Stops it.
 * @param journal - Receives its notes as they happen.
 * @returns Where it listens.
 */
export async function startServer(
  options: ServerOptions,
  signal: AbortSignal,
  journal: Journal = () => undefined,
): Promise<ServerPorts> {
  const state = coldServer(options, seededRandom(options.seed), journal);
  const sockets = {
    silent: new WeakSet<Socket>(),
    opened: new WeakSet<Socket>(),
    all: new Set<Socket>(),
  };
  const server = createServer((request, response) => {
    handle(state, sockets, request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 0;
  server.maxConnections = options.connections;
  server.on('connection', socket => admitSocket(state, sockets, socket));
  const port = await listen(server, options.port, signal);
  const controlPort = await startControlPort(
    {
      port: options.controlPort,
      orders: SERVER_ORDERS,
      execute: order => {
        obey(state, order, Date.now());
        if (order.kind === 'blackhole') silence(sockets, order.on);
      },
      ledger: () => ledgerOf(state),
    },
    signal,
  );
  const lag = setInterval(() => {
    state.reportedRunning = state.running;
  }, REPORT_LAG_MS);
  signal.addEventListener('abort', () => clearInterval(lag));
  void announceForever(state, port, signal);
  return {port, controlPort};
}

function admitSocket(
  state: ServerState,
  sockets: Sockets,
  socket: Socket,
): void {
  state.connectionsOpened++;
  sockets.all.add(socket);
  if (state.blackhole && !state.freshWorks) sockets.silent.add(socket);
  socket.on('close', () => sockets.all.delete(socket));
}

function silence(sockets: Sockets, on: boolean): void {
  for (const socket of sockets.all) {
    if (on) sockets.silent.add(socket);
  }
}

async function handle(
  state: ServerState,
  sockets: Sockets,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const {socket} = request;
  if (sockets.silent.has(socket)) return;
  const name = `${request.method} ${request.url}`;
  const body = await readText(request, MAX_BODY_BYTES);
  if (!sockets.opened.has(socket)) {
    sockets.opened.add(socket);
    await sleep(CONNECT_MS);
  }
  if (name === 'POST /grants') takeGrants(state, body, response);
  else if (name === 'GET /health') await probe(state, response, {ok: true});
  else if (name === 'GET /load') await probe(state, response, loadOf(state));
  else await work(state, request, response, body);
}

function takeGrants(
  state: ServerState,
  body: string,
  response: ServerResponse,
): void {
  const grants = JSON.parse(body) as {
    slices: number[];
    generations: number[];
    ttlMs: number;
  };
  const untilMs = performance.now() + grants.ttlMs;
  grants.slices.forEach((slice, index) => {
    const generation = grants.generations[index] ?? 0;
    const known = state.grants.get(slice);
    if (known !== undefined && known.generation > generation) return;
    state.grants.set(slice, {generation, untilMs});
  });
  response.writeHead(204).end();
}

async function probe(
  state: ServerState,
  response: ServerResponse,
  body: object,
): Promise<void> {
  await sleep(PROBE_MS);
  sendJson(response, 200, {...body, instance: state.instance});
}

function loadOf(state: ServerState): {running: number; queued: number} {
  switch (state.reports) {
    case 'true':
      return {running: state.running, queued: 0};
    case 'lagging':
      return {running: state.reportedRunning, queued: 0};
    case 'idle':
      return {running: 0, queued: 0};
  }
}

async function work(
  state: ServerState,
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
): Promise<void> {
  if (response.destroyed) return;
  const arrival = arrivalOf(state, request);
  const now = Date.now();
  const refusal = refusalOf(state, arrival, now, performance.now());
  if (refusal !== null) {
    note(state, {
      kind: 'refused',
      host: state.options.host,
      request: arrival.request,
      attempt: arrival.attempt,
      atMs: now,
      reason: refusal,
    });
    response.setHeader('x-not-run', '1');
    response.setHeader('x-refused', refusal);
    sendJson(response, 503, {reason: refusal});
    return;
  }
  begin(state, arrival, now);
  const end = await runFor(state, arrival, response);
  finish(state, arrival, end);
  if (end === 'finished') answer(state, arrival, response, body);
  else if (!response.destroyed) sendJson(response, 504, {reason: end});
}

async function runFor(
  state: ServerState,
  arrival: Arrival,
  response: ServerResponse,
): Promise<RunEnd> {
  const timeMs = serviceTimeMs(state, Date.now());
  const leftMs = arrival.deadlineMs ?? Number.POSITIVE_INFINITY;
  const stop = new AbortController();
  response.once('close', () => stop.abort());
  await sleep(Math.max(GRACE_MS, Math.min(timeMs, leftMs)), stop.signal);
  if (stop.signal.aborted) return 'cancelled';
  return timeMs > leftMs ? 'deadline' : 'finished';
}

function finish(state: ServerState, arrival: Arrival, end: RunEnd): void {
  state.running--;
  if (end === 'finished') {
    state.completed++;
    state.completedWarm++;
  }
  note(state, {
    kind: 'ended',
    host: state.options.host,
    request: arrival.request,
    attempt: arrival.attempt,
    endMs: Date.now(),
    end,
  });
}

function answer(
  state: ServerState,
  arrival: Arrival,
  response: ServerResponse,
  body: string,
): void {
  sendJson(response, 200, {
    request: arrival.request,
    key: arrival.key,
    host: state.options.host,
    generation: arrival.generation,
    checksum: checksum(body),
  });
}

function arrivalOf(state: ServerState, request: IncomingMessage): Arrival {
  const {headers} = request;
  const path = (request.url ?? '').split('?')[0] ?? '';
  return {
    request: text(headers, 'x-caller-request'),
    attempt: text(headers, 'x-jackdawfall-attempt'),
    service: state.options.service,
    key: keyInPath(path),
    slice: number(headers, 'x-jackdawfall-slice'),
    generation: number(headers, 'x-jackdawfall-generation'),
    deadlineMs: number(headers, 'x-jackdawfall-deadline-ms'),
    idempotent: IDEMPOTENT_METHODS.has(request.method ?? ''),
  };
}

function text(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
}

function number(headers: IncomingHttpHeaders, name: string): number | null {
  const value = text(headers, name);
  return value === '' ? null : Number(value);
}

function ledgerOf(state: ServerState): ServerLedger {
  return {
    host: state.options.host,
    instance: state.instance,
    running: state.running,
    bears: bears(state),
    completed: state.completed,
    maxRunning: state.maxRunning,
    connectionsOpened: state.connectionsOpened,
    notes: state.notes,
  };
}
