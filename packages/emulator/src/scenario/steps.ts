/** @fileoverview Steps of scenarios that change the running cluster. */

import type {ScenarioRun} from './state.js';
import type {StepArguments} from './types.js';
import type {Cluster, Host} from '../deployment/types.js';
import type {CommandResult} from '@jackdawfall/core';

import {
  killBackendServer,
  sendPeerPids,
  sendControlCommand,
  startBackendServer,
  startCluster,
  startDaemon,
} from '../deployment/cluster.js';
import {
  ExpectationError,
  applyUntilAccepted,
  buildCityDocument,
  sendCommand,
  liveHosts,
  loadRoutesOf,
  waitUntilServed,
} from '../deployment/operations.js';
import {sleep} from '../control/logic.js';
import {startLoad} from '../load/definition.js';

const START_TIMEOUT_MS = 20_000;
const LEAVE_GRACE_MS = 5000;
const ZONE_TIMEOUT_MS = 10_000;
const RETRY_INTERVAL_MS = 100;
const MAX_REQUESTS = 200_000;
const BODY_BYTES = 200;
const WARM_UP_KEYS = 40;

type ProcessTarget = StepArguments<'kill'>;

/**
 * Returns the running cluster.
 *
 * @param run - Run of the scenario.
 * @returns The cluster.
 * @throws {ExpectationError} If it hasn't been started.
 */
export function requireCluster(run: ScenarioRun): Cluster {
  if (run.cluster !== null) return run.cluster;
  throw new ExpectationError('the cluster has not been started');
}

/**
 * Returns a host by name.
 *
 * @param run - Run of the scenario.
 * @param name - Name of the host.
 * @returns The host.
 * @throws {ExpectationError} If there is no such host.
 */
export function requireHost(run: ScenarioRun, name: string): Host {
  const host = requireCluster(run).hosts.get(name);
  if (host !== undefined) return host;
  throw new ExpectationError(`no host ${name}`);
}

/** Starts platform, daemons and backend servers, and applies the workspace. */
export async function start(
  run: ScenarioRun,
  args: StepArguments<'start'>,
): Promise<void> {
  const {zones, services, relays, server, tuning, slices} = args;
  const hosts = zones.flatMap(zone =>
    services.map(service => ({host: `${service}-${zone}`, zone, service})),
  );
  const cluster = await startCluster(
    {
      workspace: 'taipei',
      hosts,
      relays,
      server,
      tuning,
      seed: 1,
      logFolder: run.logFolder,
    },
    run.signal,
  );
  run.cluster = cluster;
  run.document = await buildCityDocument({zones, slices});
  const live = liveHosts(cluster);
  await applyUntilAccepted(live[0], run.document, 0, START_TIMEOUT_MS);
  run.configuration = 1;
  await waitUntilServed(live, services, WARM_UP_KEYS, START_TIMEOUT_MS);
}

/** Starts a load, which runs while the next steps do. */
export function load(run: ScenarioRun, args: StepArguments<'load'>): void {
  const cluster = requireCluster(run);
  if (run.document === null) throw new ExpectationError('no workspace');
  const through = args.through ?? [...cluster.hosts.keys()];
  run.keys = args.keys;
  const options = {
    targets: through.map(name => requireHost(run, name).callers),
    arrivals: {kind: 'open' as const, perSecond: args.perSecond},
    durationMs: args.for,
    maxRequests: MAX_REQUESTS,
    seed: args.seed,
    keys: args.keys,
    zipf: args.zipf,
    routes: loadRoutesOf(run.document, args.services),
    bodyBytes: BODY_BYTES,
  };
  run.loads.push(startLoad(options, run.signal));
}

/** Kills a daemon, a backend server or both with SIGKILL. */
export async function kill(
  run: ScenarioRun,
  args: ProcessTarget,
): Promise<void> {
  const host = requireHost(run, nameOf(args));
  if (!('server' in args)) {
    host.daemon?.kill('SIGKILL');
    await host.daemon?.exited;
  }
  if (!('daemon' in args)) await killBackendServer(requireCluster(run), host);
}

/** Freezes processes with SIGSTOP or wakes them with SIGCONT. */
export function signalHost(
  run: ScenarioRun,
  args: StepArguments<'freeze'>,
  signal: 'SIGSTOP' | 'SIGCONT',
): void {
  const host = requireHost(run, nameOf(args));
  if (!('server' in args)) {
    host.daemon?.kill(signal);
    host.frozen = signal === 'SIGSTOP';
  }
  if (!('daemon' in args)) host.server?.kill(signal);
}

/** Starts processes again on their host. */
export async function restart(
  run: ScenarioRun,
  args: ProcessTarget,
): Promise<void> {
  const host = requireHost(run, nameOf(args));
  if (!('server' in args)) await startDaemon(host, run.signal);
  if (!('daemon' in args)) {
    await startBackendServer(requireCluster(run), host, run.signal);
  }
  await sendPeerPids(requireCluster(run));
}

/** Cuts the links between one daemon and others, both ways or one way. */
export async function cut(
  run: ScenarioRun,
  args: StepArguments<'cut'>,
): Promise<void> {
  const from = requireHost(run, args.from);
  for (const name of args.to) {
    const to = requireHost(run, name);
    const both = args.ways === 'both';
    const towards = both
      ? blackholeFrom(args.from)
      : dropOneWay(args.from, 'fromTarget');
    const back = both ? blackholeFrom(name) : dropOneWay(name, 'toTarget');
    await sendRelayCommand(to, towards);
    await sendRelayCommand(from, back);
  }
}

/** Silences open connections; new ones work. */
export async function silence(
  run: ScenarioRun,
  args: StepArguments<'silence'>,
): Promise<void> {
  if ('daemon' in args) {
    const host = requireHost(run, args.daemon);
    await sendRelayCommand(host, {kind: 'blackhole', freshWorks: true});
    return;
  }
  const {serverControlAddress} = requireHost(run, args.server);
  await sendControlCommand(serverControlAddress, {
    kind: 'blackhole',
    on: true,
    freshWorks: true,
  });
}

/** Makes all relays forward data again. */
export async function heal(run: ScenarioRun): Promise<void> {
  for (const host of requireCluster(run).hosts.values()) {
    if (host.relayControlAddress !== null) {
      await sendRelayCommand(host, {kind: 'pass'});
    }
  }
}

/** Switches a fault of the platform on, or all of them off. */
export async function store(
  run: ScenarioRun,
  args: StepArguments<'store'>,
): Promise<void> {
  const {platformControlAddress} = requireCluster(run);
  await sendControlCommand(platformControlAddress, platformCommandOf(args));
}

/**
 * Applies changes of template parameters at the same time, each through another
 * daemon; exactly one of them must be accepted.
 */
export async function apply(
  run: ScenarioRun,
  args: StepArguments<'apply'>,
): Promise<void> {
  const {document, configuration} = run;
  if (document === null) throw new ExpectationError('no workspace');
  const live = liveHosts(requireCluster(run));
  const slices = slicesOf(document);
  const tasks = args.map(async (changes, index) => {
    const next = await buildCityDocument({
      zones: document.zones,
      slices,
      ...changes,
    });
    const result = await sendCommand(live[index % live.length], {
      kind: 'apply',
      basedOn: configuration,
      document: JSON.stringify(next),
      by: `operator-${index}`,
    });
    return {next, result};
  });
  const results = await Promise.all(tasks);
  const accepted = results.filter(({result}) => result.kind === 'ok');
  if (accepted.length !== 1) {
    const said = results.map(({result}) => describeResult(result)).join('; ');
    throw new ExpectationError(`${accepted.length} accepted: ${said}`);
  }
  run.document = accepted[0].next;
  run.configuration = configuration + 1;
}

/**
 * Takes an availability zone out, or back in; tries again without a reply, as
 * the daemon may be killed.
 */
export async function zone(
  run: ScenarioRun,
  args: StepArguments<'zone'>,
): Promise<void> {
  const {name, out} = args;
  const untilMs = performance.now() + ZONE_TIMEOUT_MS;
  for (let count = 0; !run.signal.aborted; count++) {
    const live = liveHosts(requireCluster(run));
    const host = live[count % live.length];
    const command = {kind: 'zone', zone: name, out, by: 'scenario'} as const;
    const result = await sendCommand(host, command);
    if (result.kind === 'ok') return;
    if (result.kind === 'rejected' || performance.now() > untilMs) {
      throw new ExpectationError(describeResult(result));
    }
    await sleep(RETRY_INTERVAL_MS, run.signal);
  }
}

/** Begins a planned stop of a daemon or a backend server. */
export async function stop(
  run: ScenarioRun,
  args: StepArguments<'stop'>,
): Promise<void> {
  if ('daemon' in args) {
    requireHost(run, args.daemon).daemon?.kill('SIGTERM');
    return;
  }
  const {serverControlAddress} = requireHost(run, args.server);
  await sendControlCommand(serverControlAddress, {
    kind: 'leave',
    graceMs: LEAVE_GRACE_MS,
  });
}

/** Tells a daemon that its settings may have changed. */
export function reload(run: ScenarioRun, args: StepArguments<'reload'>): void {
  requireHost(run, args.daemon).daemon?.kill('SIGHUP');
}

/** Makes a backend server cold without a restart. */
export async function cold(
  run: ScenarioRun,
  args: StepArguments<'cold'>,
): Promise<void> {
  const {serverControlAddress} = requireHost(run, args.server);
  await sendControlCommand(serverControlAddress, {
    kind: 'cold',
    announced: args.announced,
  });
}

/** Slows down a backend server for a time. */
export async function straggle(
  run: ScenarioRun,
  args: StepArguments<'straggle'>,
): Promise<void> {
  const {serverControlAddress} = requireHost(run, args.server);
  const {factor, for: forMs} = args;
  await sendControlCommand(serverControlAddress, {
    kind: 'straggle',
    factor,
    forMs,
  });
}

/** Makes a backend server spoil shares of its responses. */
export async function spoil(
  run: ScenarioRun,
  args: StepArguments<'spoil'>,
): Promise<void> {
  const {serverControlAddress} = requireHost(run, args.server);
  const {shares} = args;
  await sendControlCommand(serverControlAddress, {kind: 'spoil', shares});
}

function nameOf(args: ProcessTarget): string {
  if ('daemon' in args) return args.daemon;
  return 'server' in args ? args.server : args.host;
}

async function sendRelayCommand(host: Host, rule: object): Promise<void> {
  if (host.relayControlAddress === null) {
    throw new ExpectationError('cuts need `relays: true` at start');
  }
  await sendControlCommand(host.relayControlAddress, rule);
}

function blackholeFrom(from: string): object {
  return {kind: 'blackhole', from, freshWorks: false};
}

/**
 * Command for a cut in one direction: the partitioned daemon can send, but
 * receives nothing.
 */
function dropOneWay(
  from: string,
  direction: 'fromTarget' | 'toTarget',
): object {
  return {kind: 'cutOneWay', from, direction};
}

function platformCommandOf(args: StepArguments<'store'>): object {
  switch (args.fault) {
    case 'outage':
      return {kind: 'outage', mode: args.mode};
    case 'slow':
      return {kind: 'latency', ms: args.by};
    case 'loseReplies':
      return {kind: 'loseReplies', probability: args.share};
    case 'delayWrites':
      return {kind: 'delayWrites', probability: args.share, ms: args.by};
    case 'limit': {
      const {writesPerSecond, readsPerSecond} = args;
      return {kind: 'rate', writesPerSecond, readsPerSecond};
    }
    case 'foreignRows':
      return {kind: 'foreignRows'};
    case 'none':
      return {kind: 'heal'};
  }
}

function slicesOf(document: NonNullable<ScenarioRun['document']>): number {
  for (const {division} of document.services) {
    if (division.kind === 'keyed') return division.slices;
  }
  return 1;
}

function describeResult(result: CommandResult): string {
  return result.kind === 'ok' ? 'ok' : `${result.kind}: ${result.detail}`;
}
