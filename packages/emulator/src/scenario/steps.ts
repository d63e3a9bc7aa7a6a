/** @fileoverview Carries out the steps that change the running cluster. */

import type {Stage} from './state.js';
import type {Says} from './types.js';
import type {Cluster, Host} from '../deployment/types.js';
import type {CommandResult} from '@jackdawfall/core';

import {
  killBackendServer,
  sendPeerPids,
  sendOrder,
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
import {startLoad} from '../load/definition.js';

const START_MS = 20_000;
const LEAVE_GRACE_MS = 5000;
const MAX_REQUESTS = 200_000;
const BODY_BYTES = 200;
const WARM_KEYS = 40;

type Target = Says<'kill'>;

/**
 * Finds the running cluster.
 *
 * @param stage - The scenario under way.
 * @returns Its cluster.
 * @throws {ExpectationError} When it has not been started.
 */
export function clusterOf(stage: Stage): Cluster {
  if (stage.cluster !== null) return stage.cluster;
  throw new ExpectationError('the cluster has not been started');
}

/**
 * Finds a host by name.
 *
 * @param stage - The scenario under way.
 * @param name - Name of the host.
 * @returns The host.
 * @throws {ExpectationError} When there is no such host.
 */
export function hostOf(stage: Stage, name: string): Host {
  const host = clusterOf(stage).hosts.get(name);
  if (host !== undefined) return host;
  throw new ExpectationError(`no host ${name}`);
}

/** Starts platform, daemons and backend servers, and applies the workspace. */
export async function start(stage: Stage, says: Says<'start'>): Promise<void> {
  const {zones, services, relays, server, tuning, slices} = says;
  const hosts = zones.flatMap(zone =>
    services.map(service => ({host: `${service}-${zone}`, zone, service})),
  );
  const cluster = await startCluster(
    {workspace: 'taipei', hosts, relays, server, tuning, seed: 1},
    stage.signal,
  );
  stage.cluster = cluster;
  stage.document = await buildCityDocument({zones, slices});
  const live = liveHosts(cluster);
  await applyUntilAccepted(live[0], stage.document, 0, START_MS);
  stage.configuration = 1;
  await waitUntilServed(live, services, WARM_KEYS, START_MS);
}

/** Starts a load; it runs beside the next steps. */
export function load(stage: Stage, says: Says<'load'>): void {
  const cluster = clusterOf(stage);
  if (stage.document === null) throw new ExpectationError('no workspace');
  const through = says.through ?? [...cluster.hosts.keys()];
  stage.keys = says.keys;
  const options = {
    targets: through.map(name => hostOf(stage, name).callers),
    arrivals: {kind: 'open' as const, perSecond: says.perSecond},
    durationMs: says.for,
    maxRequests: MAX_REQUESTS,
    seed: says.seed,
    keys: says.keys,
    zipf: says.zipf,
    routes: loadRoutesOf(stage.document, says.services),
    bodyBytes: BODY_BYTES,
  };
  stage.loads.push(startLoad(options, stage.signal));
}

/** Kills with SIGKILL. */
export async function kill(stage: Stage, says: Target): Promise<void> {
  const host = hostOf(stage, nameOf(says));
  if (!('server' in says)) {
    host.daemon?.kill('SIGKILL');
    await host.daemon?.exited;
  }
  if (!('daemon' in says)) await killBackendServer(clusterOf(stage), host);
}

/** Freezes or wakes processes with SIGSTOP and SIGCONT. */
export function signalHost(
  stage: Stage,
  says: Says<'freeze'>,
  signal: 'SIGSTOP' | 'SIGCONT',
): void {
  const host = hostOf(stage, nameOf(says));
  host.daemon?.kill(signal);
  host.frozen = signal === 'SIGSTOP';
  if ('host' in says) host.server?.kill(signal);
}

/** Starts processes again on their host. */
export async function restart(stage: Stage, says: Target): Promise<void> {
  const host = hostOf(stage, nameOf(says));
  if (!('server' in says)) await startDaemon(host, stage.signal);
  if (!('daemon' in says)) {
    await startBackendServer(clusterOf(stage), host, stage.signal);
  }
  await sendPeerPids(clusterOf(stage));
}

/** Cuts the links between one daemon and others. */
export async function cut(stage: Stage, says: Says<'cut'>): Promise<void> {
  const from = hostOf(stage, says.from);
  for (const name of says.to) {
    const to = hostOf(stage, name);
    const both = says.ways === 'both';
    const towards = both ? silenced(says.from) : deaf(says.from, 'fromTarget');
    const back = both ? silenced(name) : deaf(name, 'toTarget');
    await relayOrder(to, towards);
    await relayOrder(from, back);
  }
}

/** Open connections go silent; new ones work. */
export async function silence(
  stage: Stage,
  says: Says<'silence'>,
): Promise<void> {
  if ('daemon' in says) {
    const host = hostOf(stage, says.daemon);
    await relayOrder(host, {kind: 'blackhole', freshWorks: true});
    return;
  }
  const {serverControlAddress: serverControl} = hostOf(stage, says.server);
  await sendOrder(serverControl, {
    kind: 'blackhole',
    on: true,
    freshWorks: true,
  });
}

/** Lets every link pass again. */
export async function heal(stage: Stage): Promise<void> {
  for (const host of clusterOf(stage).hosts.values()) {
    if (host.relayControlAddress !== null) {
      await relayOrder(host, {kind: 'pass'});
    }
  }
}

/** Switches a fault of the platform. */
export async function store(stage: Stage, says: Says<'store'>): Promise<void> {
  const {platformControlAddress: platformControl} = clusterOf(stage);
  await sendOrder(platformControl, platformOrder(says));
}

/** Applies changes of parameters through different daemons at once. */
export async function apply(stage: Stage, says: Says<'apply'>): Promise<void> {
  const {document, configuration} = stage;
  if (document === null) throw new ExpectationError('no workspace');
  const live = liveHosts(clusterOf(stage));
  const slices = slicesOf(document);
  const tasks = says.map(async (changes, index) => {
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
    const said = results.map(({result}) => describe(result)).join('; ');
    throw new ExpectationError(`${accepted.length} accepted: ${said}`);
  }
  stage.document = accepted[0].next;
  stage.configuration = configuration + 1;
}

/** Takes an availability zone out or in. */
export async function zone(stage: Stage, says: Says<'zone'>): Promise<void> {
  const [host] = liveHosts(clusterOf(stage));
  const result = await sendCommand(host, {
    kind: 'zone',
    zone: says.name,
    out: says.out,
    by: 'scenario',
  });
  if (result.kind !== 'ok') throw new ExpectationError(describe(result));
}

/** Begins a planned stop. */
export async function stop(stage: Stage, says: Says<'stop'>): Promise<void> {
  if ('daemon' in says) {
    hostOf(stage, says.daemon).daemon?.kill('SIGTERM');
    return;
  }
  const {serverControlAddress: serverControl} = hostOf(stage, says.server);
  await sendOrder(serverControl, {kind: 'leave', graceMs: LEAVE_GRACE_MS});
}

/** Turns a backend server cold. */
export async function cold(stage: Stage, says: Says<'cold'>): Promise<void> {
  const {serverControlAddress: serverControl} = hostOf(stage, says.server);
  await sendOrder(serverControl, {kind: 'cold', announced: says.announced});
}

/** Slows a backend server for a time. */
export async function straggle(
  stage: Stage,
  says: Says<'straggle'>,
): Promise<void> {
  const {serverControlAddress: serverControl} = hostOf(stage, says.server);
  const {factor, for: forMs} = says;
  await sendOrder(serverControl, {kind: 'straggle', factor, forMs});
}

function nameOf(says: Target): string {
  if ('daemon' in says) return says.daemon;
  return 'server' in says ? says.server : says.host;
}

async function relayOrder(host: Host, rule: object): Promise<void> {
  if (host.relayControlAddress === null) {
    throw new ExpectationError('cuts need `relays: true` at start');
  }
  await sendOrder(host.relayControlAddress, rule);
}

function silenced(from: string): object {
  return {kind: 'blackhole', from, freshWorks: false};
}

/** The daemon that is cut off still speaks, but hears nothing. */
function deaf(from: string, direction: 'fromTarget' | 'toTarget'): object {
  return {kind: 'cutOneWay', from, direction};
}

function platformOrder(says: Says<'store'>): object {
  switch (says.fault) {
    case 'outage':
      return {kind: 'outage', mode: says.mode};
    case 'slow':
      return {kind: 'latency', ms: says.by};
    case 'loseReplies':
      return {kind: 'loseReplies', probability: says.share};
    case 'delayWrites':
      return {kind: 'delayWrites', probability: says.share, ms: says.by};
    case 'limit': {
      const {writesPerSecond, readsPerSecond} = says;
      return {kind: 'rate', writesPerSecond, readsPerSecond};
    }
    case 'none':
      return {kind: 'heal'};
  }
}

function slicesOf(document: NonNullable<Stage['document']>): number {
  for (const {division} of document.services) {
    if (division.kind === 'keyed') return division.slices;
  }
  return 1;
}

function describe(result: CommandResult): string {
  return result.kind === 'ok' ? 'ok' : `${result.kind}: ${result.detail}`;
}
