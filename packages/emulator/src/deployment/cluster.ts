/** @fileoverview Starts a whole deployment as processes on this machine. */

import type {
  ManagedProcess,
  Cluster,
  ClusterPlan,
  Host,
  HostPlan,
} from './types.js';
import type {ServerNote} from '../server/types.js';
import {setMaxListeners} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {get, post} from '../control/client.js';
import {LOOPBACK, sleep} from '../control/logic.js';
import {StartError, startProcess, startEmulatorProcess} from './processes.js';
import {reservePorts} from './ports.js';

const DAEMON_ENTRY = 'daemon/dist/main.js';
const READY_TIMEOUT_MS = 20_000;
const READY_STEP_MS = 50;
const PROBE_TIMEOUT_MS = 500;
const MAX_NOTES = 1_000_000;
const PORTS_PER_HOST = 5;
const NO_CONTENT = 204;
const OK = 200;
const MAX_LISTENERS = 200;

/**
 * Starts platform, daemons, backend servers and relays.
 *
 * @param plan - What to start.
 * @param signal - Tears everything down.
 * @returns The running cluster.
 * @throws {StartError} When a process does not come up.
 */
export async function startCluster(
  plan: ClusterPlan,
  signal: AbortSignal,
): Promise<Cluster> {
  setMaxListeners(MAX_LISTENERS, signal);
  const folder = await mkdtemp(join(tmpdir(), 'jackdawfall-'));
  signal.addEventListener('abort', () => {
    void rm(folder, {recursive: true, force: true});
  });
  const platform = await startEmulatorProcess(
    {
      name: 'platform',
      entry: 'emulator/dist/platform/main.js',
      args: ['--seed', String(plan.seed)],
    },
    signal,
  );
  const hosts = new Map<string, Host>();
  const cluster: Cluster = {
    plan,
    platformControlAddress: `${LOOPBACK}:${platform.ports.controlPort}`,
    hosts,
    notes: [],
    killedServers: [],
  };
  const address = `${LOOPBACK}:${platform.ports.port}`;
  const ports = await reservePorts(plan.hosts.length * PORTS_PER_HOST, signal);
  for (const one of plan.hosts) {
    const own = ports.splice(0, PORTS_PER_HOST);
    const settings = {folder, platform: address, ports: own};
    hosts.set(one.host, await prepare(cluster, one, settings, signal));
  }
  const daemons = [...hosts.values()];
  await Promise.all(daemons.map(host => startDaemon(host, signal)));
  await Promise.all(
    daemons.map(host => startBackendServer(cluster, host, signal)),
  );
  await sendPeerPids(cluster);
  return cluster;
}

/**
 * Starts the daemon of a host and waits until it answers operators.
 *
 * @param host - The host.
 * @param signal - Kills the daemon.
 */
export async function startDaemon(
  host: Host,
  signal: AbortSignal,
): Promise<void> {
  const name = `daemon ${host.plan.host}`;
  const args = ['--settings', host.settingsFile];
  const daemon = startProcess({name, entry: DAEMON_ENTRY, args}, signal);
  host.daemon = daemon;
  const untilMs = performance.now() + READY_TIMEOUT_MS;
  while (!(await answers(host.operators))) {
    const late = performance.now() > untilMs;
    if (late || !daemon.isRunning()) {
      throw new StartError(`${name}: ${daemon.output.join('\n')}`);
    }
    await sleep(READY_STEP_MS, signal);
  }
}

/**
 * Starts the backend server of a host.
 *
 * @param cluster - Receives its notes.
 * @param host - The host.
 * @param signal - Kills the server.
 */
export async function startBackendServer(
  cluster: Cluster,
  host: Host,
  signal: AbortSignal,
): Promise<void> {
  const {plan, serverPort, serverControlAddress: serverControl} = host;
  const controlPort = Number(serverControl.split(':')[1]);
  const options = {
    ...cluster.plan.server,
    host: plan.host,
    service: plan.service,
    announceTo: host.operators,
    port: serverPort,
    controlPort,
  };
  const {child} = await startEmulatorProcess(
    {
      name: `server ${plan.host}`,
      entry: 'emulator/dist/server/main.js',
      args: argumentsOf(options),
      onLine: line => keepNote(cluster.notes, line),
    },
    signal,
  );
  host.server = child;
}

/**
 * Kills the backend server of a host and notes when.
 *
 * @param cluster - The running cluster.
 * @param host - The host.
 */
export async function killBackendServer(
  cluster: Cluster,
  host: Host,
): Promise<void> {
  host.server?.kill('SIGKILL');
  await host.server?.exited;
  cluster.killedServers.push({host: host.plan.host, atMs: Date.now()});
  host.server = null;
}

/**
 * Sends an order to an emulator process.
 *
 * @param address - `ip:port` of its control port.
 * @param body - The order.
 * @throws {Error} When the order was not carried out.
 */
export async function sendOrder(address: string, body: unknown): Promise<void> {
  const reply = await post(`http://${address}/control`, body);
  if (reply.status === NO_CONTENT) return;
  throw new Error(`order refused: ${reply.status} ${reply.body}`);
}

/**
 * Tells every relay which process is which daemon.
 *
 * @param cluster - The running cluster.
 */
export async function sendPeerPids(cluster: Cluster): Promise<void> {
  const pids: Record<string, number> = {};
  for (const [name, host] of cluster.hosts) {
    if (host.daemon !== null) pids[name] = host.daemon.pid;
  }
  for (const {relayControlAddress: relayControl} of cluster.hosts.values()) {
    if (relayControl !== null) {
      await sendOrder(relayControl, {kind: 'peers', pids});
    }
  }
}

/**
 * Lists the processes of a cluster that run.
 *
 * @param cluster - The cluster.
 * @returns Daemons and backend servers.
 */
export function processesOf(cluster: Cluster): ManagedProcess[] {
  return [...cluster.hosts.values()].flatMap(host =>
    [host.daemon, host.server].filter(child => child !== null),
  );
}

/** What the settings of one daemon are made from. */
interface Given {
  readonly folder: string;
  readonly platform: string;
  readonly ports: readonly number[];
}

async function prepare(
  cluster: Cluster,
  plan: HostPlan,
  given: Given,
  signal: AbortSignal,
): Promise<Host> {
  const {folder, platform, ports} = given;
  const [callers, links, operators, serverPort, serverControl] = ports;
  const relay = cluster.plan.relays
    ? await startLinkRelay(plan.host, links, signal)
    : null;
  const settings = {
    workspace: cluster.plan.workspace,
    host: plan.host,
    zone: plan.zone,
    callers: {ip: LOOPBACK, port: callers},
    links: {ip: LOOPBACK, port: links},
    operators: {ip: LOOPBACK, port: operators},
    ...(relay === null ? {} : {linkAddress: `${LOOPBACK}:${relay.port}`}),
    platform: {addresses: [platform]},
    tuning: cluster.plan.tuning,
  };
  const settingsFile = join(folder, `${plan.host}.json`);
  await writeFile(settingsFile, JSON.stringify(settings));
  return {
    plan,
    callers: `${LOOPBACK}:${callers}`,
    links: `${LOOPBACK}:${links}`,
    operators: `${LOOPBACK}:${operators}`,
    settingsFile,
    serverPort,
    serverControlAddress: `${LOOPBACK}:${serverControl}`,
    relayControlAddress: relay && `${LOOPBACK}:${relay.controlPort}`,
    frozen: false,
    daemon: null,
    server: null,
  };
}

async function startLinkRelay(
  host: string,
  links: number,
  signal: AbortSignal,
): Promise<Record<string, number>> {
  const {ports} = await startEmulatorProcess(
    {
      name: `relay ${host}`,
      entry: 'emulator/dist/relay/main.js',
      args: ['--target', `${LOOPBACK}:${links}`],
    },
    signal,
  );
  return ports;
}

function argumentsOf(options: object): string[] {
  const entries = Object.entries(options) as Array<
    [string, string | number | boolean | undefined]
  >;
  return entries.flatMap(([name, value]) => {
    if (value === undefined) return [];
    return [`--${name}=${String(value)}`];
  });
}

function keepNote(notes: ServerNote[], line: string): void {
  if (notes.length >= MAX_NOTES || !line.startsWith('{')) return;
  notes.push(JSON.parse(line) as ServerNote);
}

/** A daemon is ready only under a configuration, which comes later. */
async function answers(operators: string): Promise<boolean> {
  try {
    const reply = await get(`http://${operators}/status`, PROBE_TIMEOUT_MS);
    return reply.status === OK;
  } catch {
    return false;
  }
}
