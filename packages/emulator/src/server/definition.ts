/** @fileoverview Emulated backend server over HTTP that announces itself. */

import type {IncomingRequest} from './logic.js';
import type {ServerState, SliceWork} from './state.js';
import type {
  RecordListener,
  RunEnd,
  ServerLedger,
  ServerOptions,
  ServerPorts,
} from './types.js';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {STATUS_CODES, createServer} from 'node:http';

import {startControlPort} from '../control/definition.js';
import {
  checksum,
  listen,
  monotonicNow,
  readText,
  seededRandom,
  sendJson,
  sleep,
} from '../control/logic.js';
import {announcePeriodically} from './announcer.js';
import {
  currentCapacity,
  startRun,
  parseKey,
  addRecord,
  executeCommand,
  findRefusal,
  drawServiceTimeMs,
} from './logic.js';
import {ResponseFaults} from './faulty_responses.js';
import type {GrantCall, SliceCall} from './holds.js';
import {
  beginRelease,
  carryOutGrant,
  endAllHolds,
  endExpiredHolds,
  endRelease,
  startSliceWork,
} from './holds.js';
import {createServerState} from './state.js';
import {SERVER_COMMANDS} from './types.js';

/** Id of the attempt, in requests and responses. */
const ATTEMPT_HEADER = 'x-jackdawfall-attempt';
const NO_CONTENT = 204;
const CONFLICT = 409;
const MAX_BODY_BYTES = 8 * 1024 * 1024;
/** Time that a health or load probe takes. */
const PROBE_TIME_MS = 6;
/** Additional time that the first request on a connection takes. */
const CONNECTION_SETUP_MS = 1;
/** Minimum time that a run takes. */
const MIN_RUN_MS = 1;
/** Interval at which a server that reports `lagging` updates its load. */
const LOAD_REPORT_LAG_MS = 2000;
/** Interval at which ends of holds are recorded. */
const HOLD_CHECK_INTERVAL_MS = 100;
/** Token for the next owner of released slices. */
const HANDOVER_HEADER = 'x-jackdawfall-handover';
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'PUT', 'DELETE']);

/** Connections of the server. */
interface Sockets {
  /** Connections whose requests get no response. */
  readonly silent: WeakSet<Socket>;
  /** Connections on which the setup time has passed. */
  readonly opened: WeakSet<Socket>;
  /** Open connections. */
  readonly all: Set<Socket>;
  readonly faults: ResponseFaults;
}

/**
 * Starts an emulated backend server in this process.
 *
 * @param options - Options of the server.
 * @param signal - Stops the server.
 * @param onRecord - Called with each record immediately.
 * @returns The ports that it listens on.
 */
export async function startServer(
  options: ServerOptions,
  signal: AbortSignal,
  onRecord: RecordListener = () => undefined,
): Promise<ServerPorts> {
  const state = createServerState(
    options,
    seededRandom(options.seed),
    onRecord,
  );
  const sockets = {
    silent: new WeakSet<Socket>(),
    opened: new WeakSet<Socket>(),
    all: new Set<Socket>(),
    faults: new ResponseFaults(state),
  };
  const server = createServer((request, response) => {
    handle(state, sockets, request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 0;
  server.maxConnections = options.connections;
  server.on('connection', socket => registerSocket(state, sockets, socket));
  const port = await listen(server, options.port, signal);
  const controlPort = await startControlPort(
    {
      port: options.controlPort,
      commands: SERVER_COMMANDS,
      execute: command => {
        const restarts = command.kind === 'cold' && command.announced;
        if (restarts) endAllHolds(state, monotonicNow());
        executeCommand(state, command, Date.now());
        if (command.kind === 'blackhole') silenceSockets(sockets, command.on);
      },
      ledger: () => ledgerOf(state),
    },
    signal,
  );
  const reportTimer = setInterval(() => {
    state.reportedRunning = state.running;
  }, LOAD_REPORT_LAG_MS);
  const holdTimer = setInterval(() => {
    endExpiredHolds(state, monotonicNow());
  }, HOLD_CHECK_INTERVAL_MS);
  signal.addEventListener('abort', () => {
    clearInterval(reportTimer);
    clearInterval(holdTimer);
  });
  void announcePeriodically(state, port, signal);
  return {port, controlPort};
}

function registerSocket(
  state: ServerState,
  sockets: Sockets,
  socket: Socket,
): void {
  state.connectionsOpened++;
  sockets.all.add(socket);
  if (state.blackhole && !state.freshWorks) sockets.silent.add(socket);
  socket.on('close', () => sockets.all.delete(socket));
}

function silenceSockets(sockets: Sockets, on: boolean): void {
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
  const arrivedMs = monotonicNow();
  if (!sockets.opened.has(socket)) {
    sockets.opened.add(socket);
    await sleep(CONNECTION_SETUP_MS);
  }
  if (name === 'POST /grants') {
    const call = JSON.parse(body) as GrantCall;
    await handleGrant(state, sockets.faults, call, arrivedMs, response);
  } else if (name === 'POST /releases') {
    const call = JSON.parse(body) as SliceCall;
    await handleRelease(state, sockets.faults, call, response);
  } else if (name === 'GET /health') {
    await respondToProbe(state, response, {ok: true});
  } else if (name === 'GET /load') {
    await respondToProbe(state, response, loadOf(state));
  } else await handleRequest(state, sockets, request, response, body);
}

async function handleGrant(
  state: ServerState,
  faults: ResponseFaults,
  call: GrantCall,
  arrivedMs: number,
  response: ServerResponse,
): Promise<void> {
  const delayMs = faults.grantDelayMs();
  await sleep(delayMs);
  const accepted = carryOutGrant(state, call, arrivedMs, monotonicNow());
  if (delayMs > 0) return;
  await answerCall(faults, response, accepted ? NO_CONTENT : CONFLICT);
}

async function handleRelease(
  state: ServerState,
  faults: ResponseFaults,
  call: SliceCall,
  response: ServerResponse,
): Promise<void> {
  const running = beginRelease(state, call, monotonicNow());
  await Promise.all(running.map(work => work.ended));
  endRelease(state, call, monotonicNow());
  response.setHeader(HANDOVER_HEADER, `${state.instance}/${call.slices[0]}`);
  await answerCall(faults, response, NO_CONTENT);
}

/** Answers a grant or release, late or after a copy of an earlier answer. */
async function answerCall(
  faults: ResponseFaults,
  response: ServerResponse,
  status: number,
): Promise<void> {
  const {socket} = response;
  await sleep(faults.answerDelayMs());
  if (response.destroyed || socket === null) return;
  faults.repeatAnswer(socket);
  faults.keepAnswer(socket, `${status} ${STATUS_CODES[status]}`);
  response.writeHead(status).end();
}

async function respondToProbe(
  state: ServerState,
  response: ServerResponse,
  body: object,
): Promise<void> {
  await sleep(PROBE_TIME_MS);
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

async function handleRequest(
  state: ServerState,
  {faults}: Sockets,
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
): Promise<void> {
  if (response.destroyed) return;
  const incoming = parseRequest(state, request);
  const now = Date.now();
  const {socket} = request;
  faults.repeatRefusal(socket);
  faults.repeatAnswer(socket);
  response.setHeader(ATTEMPT_HEADER, incoming.attempt);
  const refusal =
    findRefusal(state, incoming, now, monotonicNow()) ??
    (faults.refuses() ? 'shedding' : null);
  if (refusal !== null) {
    addRecord(state, {
      kind: 'refused',
      host: state.options.host,
      request: incoming.request,
      attempt: incoming.attempt,
      atMs: now,
      reason: refusal,
    });
    const headers = {
      [ATTEMPT_HEADER]: incoming.attempt,
      'x-not-run': '1',
      'x-refused': refusal,
    };
    faults.keepRefusal(socket, headers);
    response.setHeaders(new Map(Object.entries(headers)));
    sendJson(response, 503, {reason: refusal});
    return;
  }
  startRun(state, incoming, now);
  const {end, lateByMs} = await waitForRun(state, incoming, response);
  finishRun(state, incoming, end, Date.now() - lateByMs);
  if (end === 'finished' && faults.spoil(response)) return;
  if (end === 'finished') {
    sendResponse(state, incoming, response, body);
  } else if (!response.destroyed) {
    sendJson(response, end === 'hold-ended' ? 500 : 504, {reason: end});
  }
}

/**
 * Waits for the end of a run, at most until its slice isn't held any more. A
 * process that was stopped meanwhile notices that end late.
 */
async function waitForRun(
  state: ServerState,
  incoming: IncomingRequest,
  response: ServerResponse,
): Promise<{end: RunEnd; lateByMs: number}> {
  const timeMs = drawServiceTimeMs(state, Date.now());
  const leftMs = incoming.deadlineMs ?? Number.POSITIVE_INFINITY;
  const endsAtMs = monotonicNow() + Math.min(timeMs, leftMs);
  const cancel = new AbortController();
  const restart = new AbortController();
  const stop = AbortSignal.any([cancel.signal, restart.signal]);
  response.once('close', () => cancel.abort());
  const work = startSliceWork(state, incoming.slice, () => restart.abort());
  try {
    for (;;) {
      const waitMs = Math.min(endsAtMs, holdEndOf(work)) - monotonicNow();
      await sleep(Math.max(MIN_RUN_MS, waitMs), stop);
      const now = monotonicNow();
      const lateByMs = Math.max(0, now - holdEndOf(work));
      if (cancel.signal.aborted) return {end: 'cancelled', lateByMs};
      if (restart.signal.aborted || lateByMs > 0) {
        return {end: 'hold-ended', lateByMs};
      }
      if (now < endsAtMs) continue;
      return {end: timeMs > leftMs ? 'deadline' : 'finished', lateByMs};
    }
  } finally {
    if (work !== null) {
      state.sliceWork.delete(work);
      work.finish();
    }
  }
}

function holdEndOf(work: SliceWork | null): number {
  return work?.untilMs ?? Number.POSITIVE_INFINITY;
}

function finishRun(
  state: ServerState,
  incoming: IncomingRequest,
  end: RunEnd,
  endMs: number,
): void {
  state.running--;
  if (end === 'finished') {
    state.completed++;
    state.completedSinceCold++;
  }
  addRecord(state, {
    kind: 'ended',
    host: state.options.host,
    request: incoming.request,
    attempt: incoming.attempt,
    endMs,
    end,
  });
}

function sendResponse(
  state: ServerState,
  incoming: IncomingRequest,
  response: ServerResponse,
  body: string,
): void {
  sendJson(response, 200, {
    request: incoming.request,
    key: incoming.key,
    host: state.options.host,
    generation: incoming.generation,
    checksum: checksum(body),
  });
}

function parseRequest(
  state: ServerState,
  request: IncomingMessage,
): IncomingRequest {
  const {headers} = request;
  const path = (request.url ?? '').split('?')[0] ?? '';
  return {
    request: headerText(headers, 'x-caller-request'),
    attempt: headerText(headers, ATTEMPT_HEADER),
    service: state.options.service,
    key: parseKey(path),
    slice: headerNumber(headers, 'x-jackdawfall-slice'),
    generation: headerNumber(headers, 'x-jackdawfall-generation'),
    deadlineMs: headerNumber(headers, 'x-jackdawfall-deadline-ms'),
    idempotent: IDEMPOTENT_METHODS.has(request.method ?? ''),
  };
}

function headerText(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
}

function headerNumber(
  headers: IncomingHttpHeaders,
  name: string,
): number | null {
  const value = headerText(headers, name);
  return value === '' ? null : Number(value);
}

function ledgerOf(state: ServerState): ServerLedger {
  return {
    host: state.options.host,
    instance: state.instance,
    running: state.running,
    bears: currentCapacity(state),
    completed: state.completed,
    maxRunning: state.maxRunning,
    connectionsOpened: state.connectionsOpened,
    notes: state.records,
  };
}
