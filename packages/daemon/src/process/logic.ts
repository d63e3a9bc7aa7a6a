/**
 * @fileoverview One daemon process: listens, runs, stops. Everything it opens
 * ends with one abort signal.
 */

import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import type {Server} from 'node:http';

import {createDaemon, makeMemberId} from '@jackdawfall/core';
import type {Address} from '@jackdawfall/core';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {createLogger} from '../logs/logic.js';
import {openOutput} from '../logs/output.js';
import type {Logger} from '../logs/types.js';
import {createMetrics} from '../metrics/logic.js';
import {createOperatorServer} from '../operators/logic.js';
import {DaemonRuntime, linkAddressOf} from '../runtime/logic.js';
import {CALLER_PROTOCOL} from '../callers/protocol.js';
import type {Adapters} from '../adapters/types.js';
import {PlatformStore} from '../platform/logic.js';
import {SERVER_PROTOCOL} from '../runs/protocol.js';
import type {Endpoint, Settings} from '../settings/types.js';

const INCARNATION_BYTES = 6;
const LEAVE_WAIT_MS = 5000;
const EXIT_FAILURE = 1;
/** Descriptor of standard output. */
const STANDARD_OUTPUT = 1;

/** A port that could not be had. */
export class ListenError extends Error {
  override readonly name = 'ListenError';

  /**
   * @param purpose - What the port is for.
   * @param endpoint - Where it should be.
   * @param cause - What the system said.
   */
  constructor(purpose: string, endpoint: Endpoint, cause: unknown) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    super(`can't listen for ${purpose} at ${place(endpoint)}: ${detail}`);
  }
}

/**
 * Runs a daemon until it has left.
 *
 * @param settings - Checked settings.
 * @param stop - Aborted to ask for a planned stop.
 * @throws ListenError when a port can't be had.
 */
export async function runProcess(
  settings: Settings,
  stop: AbortSignal,
  createAdapters: (ending: AbortSignal) => Adapters = ending =>
    ownEdges(settings, ending),
): Promise<void> {
  const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
  const member = makeMemberId(settings.host, incarnation);
  const {workspace, host} = settings;
  const {level} = settings.tuning.logs;
  const author = {workspace, host, member};
  const logger = createLogger(level, author, openOutput(STANDARD_OUTPUT));
  const ending = new AbortController();
  const daemon = createDaemon(identityOf(settings, incarnation));
  const left = new AbortController();
  const metrics = createMetrics();
  const adapters = createAdapters(ending.signal);
  const runner = new DaemonRuntime({
    settings,
    adapters: adapters,
    daemon,
    member,
    logger,
    metrics,
    random: randomSource(),
    onLeft: () => left.abort(),
    onInvariantViolation: (invariant, detail) => end(logger, invariant, detail),
    signal: ending.signal,
  });
  const servers = [runner.callers.server, createOperatorServer(runner)];
  try {
    await listen('callers', runner.callers.server, settings.callers);
    await listen('operators', servers[1], settings.operators);
    await listenForLinks(runner, settings.links);
    runner.start();
    await adapters.attach(runner, ending.signal);
    const watch = setInterval(() => runner.tick(), settings.tuning.loop.tickMs);
    ending.signal.addEventListener('abort', () => clearInterval(watch));
    logger.log('processStarted', {
      callers: place(settings.callers),
      links: place(settings.links),
      operators: place(settings.operators),
    });
    stop.addEventListener('abort', () => runner.stop());
    await once(left.signal, 'abort');
    await lastAnswers(runner);
    logger.log('processLeaving', {});
  } finally {
    ending.abort();
    for (const server of servers) closeServer(server);
  }
}

function identityOf(
  settings: Settings,
  incarnation: string,
): Parameters<typeof createDaemon>[0] {
  return {
    workspace: settings.workspace,
    host: settings.host,
    zone: settings.zone,
    address: linkAddressOf(settings),
    ...operatorsAddress(settings),
    incarnation,
    tuning: settings.tuning,
  };
}

function ownEdges(settings: Settings, ending: AbortSignal): Adapters {
  return {
    store: new PlatformStore(settings.platform.addresses, ending),
    callers: CALLER_PROTOCOL,
    servers: SERVER_PROTOCOL,
    attach: () => Promise.resolve(),
  };
}

async function listenForLinks(
  runner: DaemonRuntime,
  at: Endpoint,
): Promise<void> {
  try {
    await runner.links.listen();
  } catch (error) {
    throw new ListenError('links', at, error);
  }
}

function listen(purpose: string, server: Server, at: Endpoint): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', error => reject(new ListenError(purpose, at, error)));
    server.listen(at.port, at.ip, resolve);
  });
}

/** Callers that still wait get their answers before the process ends. */
async function lastAnswers(runner: DaemonRuntime): Promise<void> {
  const {server} = runner.callers;
  const closed = once(server, 'close');
  server.close();
  const late = new Promise(resolve => setTimeout(resolve, LEAVE_WAIT_MS));
  await Promise.race([closed, late]);
}

function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}

function randomSource(): () => number {
  const generator = xoroshiro128plus(randomBytes(4).readInt32LE());
  return () => uniformFloat64(generator);
}

/** A broken invariant ends the process at once, without any clean-up. */
function end(logger: Logger, invariant: string, detail: string): never {
  logger.log('invariantBroken', {invariant, detail});
  process.exit(EXIT_FAILURE);
}

/** A port that the system chooses can't be named beforehand. */
function operatorsAddress({operators}: Settings): {operators?: Address} {
  if (operators.port === 0) return {};
  return {operators: place(operators) as Address};
}

function place(endpoint: Endpoint): string {
  return `${endpoint.ip}:${endpoint.port}`;
}
