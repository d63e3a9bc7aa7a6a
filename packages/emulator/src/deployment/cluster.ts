/** @fileoverview Starts a complete cluster as processes on this machine. */

import type {
  ManagedProcess,
  Cluster,
  ClusterPlan,
  Host,
  HostPlan,
} from './types.js';
import type {ServerRecord} from '../server/types.js';
import {setMaxListeners} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {get, post} from '../control/client.js';
import {LOOPBACK, monotonicNow, sleep} from '../control/logic.js';
import {StartError, startProcess, startEmulatorProcess} from './processes.js';
import {reservePorts} from './ports.js';

const DAEMON_ENTRY = 'daemon/dist/main.js';
/** Maximum time until a daemon replies to operators. */
const READY_TIMEOUT_MS = 20_000;
/** Interval of the checks whether it does. */
const READY_INTERVAL_MS = 50;
const PROBE_TIMEOUT_MS = 500;
/** Maximum number of servers' records kept; later ones are dropped. */
const MAX_RECORDS = 1_000_000;
/** For callers, links, operators, the server and its control port. */
const PORTS_PER_HOST = 5;
const NO_CONTENT = 204;
const OK = 200;
/** Each process listens to the abort signal; Node.js warns above 10. */
const MAX_LISTENERS = 200;

/**
 * Starts the platform stand-in, relays, daemons and backend servers.
 *
 * @param plan - What to start.
 * @param signal - Kills all processes when aborted.
 * @returns The running cluster.
 * @throws {StartError} When a process fails to start.
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
    serverRecords: [],
    killedServers: [],
  };
  const address = `${LOOPBACK}:${platform.ports.port}`;
  const ports = await reservePorts(plan.hosts.length * PORTS_PER_HOST, signal);
  for (const hostPlan of plan.hosts) {
    const hostPorts = ports.splice(0, PORTS_PER_HOST);
    const inputs = {folder, platform: address, ports: hostPorts};
    hosts.set(
      hostPlan.host,
      await prepareHost(cluster, hostPlan, inputs, signal),
    );
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
 * Starts the daemon of a host and waits until it replies to operators.
 *
 * @param host - The host.
 * @param signal - Kills the daemon when aborted.
 */
export async function startDaemon(
  host: Host,
  signal: AbortSignal,
): Promise<void> {
  const name = `daemon ${host.plan.host}`;
  const args = ['--settings', host.settingsFile];
  const {logFile, daemonLimits: limits} = host;
  const program = {name, entry: DAEMON_ENTRY, args, logFile, limits};
  const daemon = startProcess(program, signal);
  if (host.daemon !== null) host.earlierDaemons.push(host.daemon);
  host.daemon = daemon;
  const untilMs = performance.now() + READY_TIMEOUT_MS;
  while (!(await isReachable(host.operators))) {
    const late = performance.now() > untilMs;
    if (late || !daemon.isRunning()) {
      throw new StartError(`${name}: ${daemon.output.join('\n')}`);
    }
    await sleep(READY_INTERVAL_MS, signal);
  }
}

/**
 * Starts the backend server of a host.
 *
 * @param cluster - Receives the server's records.
 * @param host - The host.
 * @param signal - Kills the server when aborted.
 */
export async function startBackendServer(
  cluster: Cluster,
  host: Host,
  signal: AbortSignal,
): Promise<void> {
  const {plan, serverPort, serverControlAddress} = host;
  const controlPort = Number(serverControlAddress.split(':')[1]);
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
      args: flagsOf(options),
      onLine: line => keepRecord(cluster.serverRecords, line),
    },
    signal,
  );
  host.server = child;
}

/**
 * Kills the backend server of a host and records when.
 *
 * @param cluster - The running cluster.
 * @param host - The host.
 */
export async function killBackendServer(
  cluster: Cluster,
  host: Host,
): Promise<void> {
  const monotonicMs = monotonicNow();
  host.server?.kill('SIGKILL');
  await host.server?.exited;
  const {host: name} = host.plan;
  cluster.killedServers.push({host: name, atMs: Date.now(), monotonicMs});
  host.server = null;
}

/**
 * Sends a command to the control port of an emulator process.
 *
 * @param address - `ip:port` of its control port.
 * @param body - The command.
 * @throws {Error} When the command was not executed.
 */
export async function sendControlCommand(
  address: string,
  body: unknown,
): Promise<void> {
  const reply = await post(`http://${address}/control`, body);
  if (reply.status === NO_CONTENT) return;
  throw new Error(`command refused: ${reply.status} ${reply.body}`);
}

/**
 * Tells every relay the process ids of the daemons by host.
 *
 * @param cluster - The running cluster.
 */
export async function sendPeerPids(cluster: Cluster): Promise<void> {
  const pids: Record<string, number> = {};
  for (const [name, host] of cluster.hosts) {
    if (host.daemon !== null) pids[name] = host.daemon.pid;
  }
  for (const {relayControlAddress} of cluster.hosts.values()) {
    if (relayControlAddress !== null) {
      await sendControlCommand(relayControlAddress, {kind: 'peers', pids});
    }
  }
}

/**
 * Lists the daemons and backend servers of a cluster.
 *
 * @param cluster - The cluster.
 * @returns The processes.
 */
export function processesOf(cluster: Cluster): ManagedProcess[] {
  return [...cluster.hosts.values()].flatMap(host =>
    [host.daemon, host.server].filter(child => child !== null),
  );
}

/** Inputs of the settings of one daemon. */
interface SettingsInputs {
  readonly folder: string;
  /** `ip:port` of the platform stand-in. */
  readonly platform: string;
  readonly ports: readonly number[];
}

/** Starts the relay of a host and writes the settings of its daemon. */
async function prepareHost(
  cluster: Cluster,
  plan: HostPlan,
  inputs: SettingsInputs,
  signal: AbortSignal,
): Promise<Host> {
  const {folder, platform, ports} = inputs;
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
  const {logFolder, daemonLimits} = cluster.plan;
  await writeFile(settingsFile, JSON.stringify(settings));
  return {
    plan,
    callers: `${LOOPBACK}:${callers}`,
    links: `${LOOPBACK}:${links}`,
    operators: `${LOOPBACK}:${operators}`,
    settingsFile,
    logFile: logFolder && join(logFolder, `${plan.host}.log`),
    daemonLimits,
    serverPort,
    serverControlAddress: `${LOOPBACK}:${serverControl}`,
    relayControlAddress: relay && `${LOOPBACK}:${relay.controlPort}`,
    frozen: false,
    earlierDaemons: [],
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

function flagsOf(options: object): string[] {
  const entries = Object.entries(options) as Array<
    [string, string | number | boolean | undefined]
  >;
  return entries.flatMap(([name, value]) => {
    if (value === undefined) return [];
    return [`--${name}=${String(value)}`];
  });
}

function keepRecord(records: ServerRecord[], line: string): void {
  if (records.length >= MAX_RECORDS || !line.startsWith('{')) return;
  records.push(JSON.parse(line) as ServerRecord);
}

/**
 * Asks for the status instead of `/ready`, as a daemon isn't ready before it
 * has a configuration, which is applied later.
 */
async function isReachable(operators: string): Promise<boolean> {
  try {
    const reply = await get(`http://${operators}/status`, PROBE_TIMEOUT_MS);
    return reply.status === OK;
  } catch {
    return false;
  }
}
