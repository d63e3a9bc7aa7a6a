/**
 * @fileoverview Runs a daemon in this process from start to shutdown. One
 * abort signal closes everything that it opens.
 */

import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import type {Server} from 'node:http';

import {createDaemon, makeMemberId} from '@jackdawfall/core';
import type {Address} from '@jackdawfall/core';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {createLogger} from '../logs/logic.js';
import {openLineWriter} from '../logs/output.js';
import type {Logger} from '../logs/types.js';
import {createMetrics} from '../metrics/logic.js';
import {createOperatorServer} from '../operators/logic.js';
import {DaemonRuntime} from '../runtime/logic.js';
import {linkAddressOf} from '../settings/logic.js';
import {CALLER_PROTOCOL} from '../callers/protocol.js';
import type {Adapters} from '../adapters/types.js';
import {
  ListenError,
  formatEndpoint,
  listen,
  listenForCallers,
} from './listen.js';
import {SettingsCheck} from './settings_check.js';
import type {ProcessSignals} from './signals.js';
import {StoreClient} from '../store_client/logic.js';
import {SERVER_PROTOCOL} from '../runs/protocol.js';
import type {Endpoint, Settings} from '../settings/types.js';

const INCARNATION_BYTES = 6;
/** Maximum wait for the responses in progress when the daemon shuts down. */
const SHUTDOWN_TIMEOUT_MS = 5000;
const EXIT_FAILURE = 1;
/** Descriptor of standard output. */
const STANDARD_OUTPUT = 1;

/** What a daemon in this process runs with. */
export interface ProcessOptions {
  /** Validated settings. */
  readonly settings: Settings;
  /** Requests to stop and to check the settings. */
  readonly signals: ProcessSignals;
  /** Reads the settings again; returns whether they differ from those in use. */
  readonly haveSettingsChanged: () => Promise<boolean>;
  /**
   * Creates the adapters; the built-in ones by default. Its argument is aborted
   * when the process shuts down.
   */
  readonly createAdapters?: (signal: AbortSignal) => Adapters;
}

/** Where a process is between its start and its end, and what ends it. */
interface Lifecycle {
  phase: 'starting' | 'serving' | 'stopping' | 'shutting down';
  /** Aborted by the first request to stop. */
  readonly stop: AbortController;
}

/**
 * Runs a daemon until it has left the workspace after a planned stop. Only the
 * first request to stop has an effect; one that arrives during the start takes
 * effect after it.
 *
 * @param options - Settings, signals and adapters.
 * @throws ListenError if a port can't be opened.
 */
export async function runProcess(options: ProcessOptions): Promise<void> {
  const {settings} = options;
  const {createAdapters = signal => createBuiltInAdapters(settings, signal)} =
    options;
  const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
  const member = makeMemberId(settings.host, incarnation);
  const {workspace, host} = settings;
  const {level} = settings.tuning.logs;
  const logContext = {workspace, host, member};
  const logger = createLogger(
    level,
    logContext,
    openLineWriter(STANDARD_OUTPUT),
  );
  const shutdown = new AbortController();
  const daemon = createDaemon(identityOf(settings, incarnation));
  const left = new AbortController();
  const metrics = createMetrics();
  const adapters = createAdapters(shutdown.signal);
  const runtime = new DaemonRuntime({
    settings,
    adapters,
    daemon,
    member,
    logger,
    metrics,
    random: createRandomSource(),
    onLeft: () => left.abort(),
    onInvariantViolation: (invariant, detail) =>
      exitOnViolation(logger, invariant, detail),
    signal: shutdown.signal,
  });
  const lifecycle: Lifecycle = {phase: 'starting', stop: new AbortController()};
  handleSignals(options, runtime, lifecycle);
  const servers = [runtime.callers.server, createOperatorServer(runtime)];
  try {
    await listenForCallers(runtime.callers.server, settings.callers);
    await listen('operators', servers[1], settings.operators);
    await listenForLinks(runtime, settings.links);
    runtime.start();
    await adapters.start(runtime, shutdown.signal);
    startTicks(runtime, settings, shutdown.signal);
    logStart(logger, settings);
    lifecycle.phase = 'serving';
    await aborted(lifecycle.stop.signal);
    lifecycle.phase = 'stopping';
    runtime.stop();
    await aborted(left.signal);
    lifecycle.phase = 'shutting down';
    await finishResponses(runtime);
    logger.log('processLeaving', {});
  } finally {
    shutdown.abort();
    for (const server of servers) closeServer(server);
  }
}

/**
 * Handles the signals of the process until it ends: those that arrive after the
 * first request to stop are logged and have no further effect.
 */
function handleSignals(
  {signals, haveSettingsChanged}: ProcessOptions,
  runtime: DaemonRuntime,
  lifecycle: Lifecycle,
): void {
  const settingsCheck = new SettingsCheck(haveSettingsChanged, fields =>
    runtime.log('settingsRead', fields),
  );
  signals.handle(({request, name}) => {
    const {phase, stop} = lifecycle;
    const connections = runtime.callers.openConnections;
    runtime.log('signalReceived', {signal: name, request, phase, connections});
    switch (request) {
      case 'stop':
        stop.abort();
        return;
      case 'reload':
        settingsCheck.request();
        return;
    }
  });
}

function startTicks(
  runtime: DaemonRuntime,
  {tuning}: Settings,
  signal: AbortSignal,
): void {
  const ticker = setInterval(() => runtime.tick(), tuning.loop.tickMs);
  signal.addEventListener('abort', () => clearInterval(ticker));
}

function logStart(logger: Logger, settings: Settings): void {
  logger.log('processStarted', {
    callers: formatEndpoint(settings.callers),
    links: formatEndpoint(settings.links),
    operators: formatEndpoint(settings.operators),
  });
}

/** Waits until a signal is aborted; it may be already. */
async function aborted(signal: AbortSignal): Promise<void> {
  if (!signal.aborted) await once(signal, 'abort');
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
    ...operatorsAddressOf(settings),
    incarnation,
    tuning: settings.tuning,
  };
}

function createBuiltInAdapters(
  settings: Settings,
  signal: AbortSignal,
): Adapters {
  return {
    store: new StoreClient(settings.platform.addresses, signal),
    callers: CALLER_PROTOCOL,
    servers: SERVER_PROTOCOL,
    start: () => Promise.resolve(),
  };
}

async function listenForLinks(
  runtime: DaemonRuntime,
  endpoint: Endpoint,
): Promise<void> {
  try {
    await runtime.links.listen();
  } catch (error) {
    throw new ListenError('links', endpoint, error);
  }
}

/** Waits until the pending responses are sent, or for the timeout. */
async function finishResponses(runtime: DaemonRuntime): Promise<void> {
  const {server} = runtime.callers;
  const closed = once(server, 'close');
  server.close();
  const expired = new Promise(resolve =>
    setTimeout(resolve, SHUTDOWN_TIMEOUT_MS),
  );
  await Promise.race([closed, expired]);
}

function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}

function createRandomSource(): () => number {
  const generator = xoroshiro128plus(randomBytes(4).readInt32LE());
  return () => uniformFloat64(generator);
}

/**
 * Exits immediately, without cleanup: after the violation of an invariant the
 * state can't be trusted.
 */
function exitOnViolation(
  logger: Logger,
  invariant: string,
  detail: string,
): never {
  logger.log('invariantBroken', {invariant, detail});
  process.exit(EXIT_FAILURE);
}

/** Omits the address if the port is 0, since the system picks the port later. */
function operatorsAddressOf({operators}: Settings): {operators?: Address} {
  if (operators.port === 0) return {};
  return {operators: formatEndpoint(operators) as Address};
}
