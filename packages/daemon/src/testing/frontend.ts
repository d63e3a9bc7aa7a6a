/** @fileoverview A front end for callers and a raw connection to it, for tests. */

import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {
  MemoryBudget,
  compileRoutes,
  createTenantDirectory,
  parseWorkspace,
} from '@jackdawfall/core';
import type {Event, LogEventName} from '@jackdawfall/core';

import {CallerFrontend} from '../callers/logic.js';
import {CALLER_PROTOCOL} from '../callers/protocol.js';

/** A request of the only route. */
export const REQUEST = 'GET /records/1 HTTP/1.1\r\nHost: a\r\n\r\n';
/** Interval at which the front end expects its ticks. */
export const TICK_MS = 50;
/** Maximum of all heads that wait behind earlier requests. */
export const MAX_PIPELINED_BYTES = 200_000;

const IP = '127.0.0.1';
const BUDGET_BYTES = 1_000_000;
const POLL_MS = 5;
const TIMEOUT_MS = 10_000;

/** Options of a front end. */
export interface FrontendOptions {
  emit(event: Event): void;
  /** Called for each log event; absent to ignore them. */
  log?(event: LogEventName): void;
  readonly routeTimeoutMs: number;
  /** Time for a head; absent for the default. */
  readonly headerTimeoutMs?: number;
}

/**
 * Creates a front end with one route.
 *
 * @param options - What it reports to, and times.
 * @returns The front end; it doesn't listen.
 */
export function createFrontend(options: FrontendOptions): CallerFrontend {
  const parsed = parseWorkspace(documentWith(options));
  if (parsed.kind === 'invalid') throw new Error('invalid document');
  const {workspace} = parsed;
  return new CallerFrontend({
    emit: event => options.emit(event),
    transmit: () => undefined,
    log: event => options.log?.(event),
    onConnection: () => undefined,
    onBodyRefused: () => undefined,
    onConnectionsClosed: () => undefined,
    budget: new MemoryBudget(BUDGET_BYTES),
    maxConnections: 100,
    maxPipelinedBytes: MAX_PIPELINED_BYTES,
    onLoopLag: () => undefined,
    configuration: () => ({
      workspace,
      router: compileRoutes(workspace),
      tenants: createTenantDirectory(workspace),
    }),
    configurationFault: () => null,
    acceptsApiKeys: () => true,
    protocol: CALLER_PROTOCOL,
    windowBytes: 1024,
    tickMs: TICK_MS,
    idPrefix: 'test',
  });
}

function documentWith(options: FrontendOptions): string {
  const {routeTimeoutMs, headerTimeoutMs} = options;
  return JSON.stringify({
    name: 'w',
    version: 1,
    zones: ['a'],
    services: [{name: 'records', division: {kind: 'shared'}, upstreams: 1}],
    routes: [
      {
        method: 'GET',
        path: '/records/{id}',
        service: 'records',
        idempotent: true,
        priority: 'interactive',
        timeoutMs: routeTimeoutMs,
      },
    ],
    limits: {
      maxBodyBytes: 100,
      maxKeyBytes: 10,
      retryShare: 0.1,
      maxMovingSlices: 1,
      drainMs: 100,
      headerTimeoutMs,
    },
  });
}

/**
 * Lets a front end listen on a free port.
 *
 * @param frontend - The front end.
 * @param frontend.server - Its server.
 * @returns A function that closes it with all its connections.
 */
export async function listen({server}: CallerFrontend): Promise<() => void> {
  await new Promise<void>(resolve => server.listen(0, IP, () => resolve()));
  return () => {
    server.closeAllConnections();
    server.close();
  };
}

/** A connection of a caller. */
export interface CallerConnection {
  readonly socket: Socket;
  /** Everything that was received. */
  readonly received: () => string;
  /** Statuses of the responses, in order. */
  readonly statuses: () => number[];
  readonly isClosed: () => boolean;
}

/**
 * Connects to a front end that listens.
 *
 * @param frontend - The front end.
 * @param frontend.server - Its server.
 * @returns The connection.
 */
export async function connectTo({
  server,
}: CallerFrontend): Promise<CallerConnection> {
  const {port} = server.address() as AddressInfo;
  const socket = connect(port, IP);
  let text = '';
  let closed = false;
  socket.on('error', () => undefined);
  socket.on('data', bytes => (text += String(bytes)));
  socket.on('close', () => (closed = true));
  await new Promise(resolve => socket.once('connect', resolve));
  const heads = () => [...text.matchAll(/HTTP\/1\.1 (\d+)/g)];
  return {
    socket,
    received: () => text,
    statuses: () => heads().map(([, status]) => Number(status)),
    isClosed: () => closed,
  };
}

/**
 * Waits until a condition holds, for ten seconds at most.
 *
 * @param holds - The condition.
 */
export async function waitUntil(holds: () => boolean): Promise<void> {
  const giveUpAt = performance.now() + TIMEOUT_MS;
  while (!holds() && performance.now() < giveUpAt) await sleep(POLL_MS);
}
