/**
 * @fileoverview Demo with the services Finder and Pairing of Taipei in three
 * availability zones: sends some hundred lookups and bookings, kills a daemon
 * meanwhile and prints a table with the outcomes of the requests.
 */

import type {Cluster, ClusterPlan, Host} from '../deployment/types.js';
import type {Load} from '../load/definition.js';
import type {Workspace} from '@jackdawfall/core';

import {abortOnSignals} from '../control/signals.js';
import {sleep} from '../control/logic.js';
import {startCluster} from '../deployment/cluster.js';
import {
  applyUntilAccepted,
  buildCityDocument,
  loadRoutesOf,
  waitUntilServed,
} from '../deployment/operations.js';
import {verifyOutcomes} from '../ledger/logic.js';
import {renderVerdict} from '../ledger/view.js';
import {startLoad} from '../load/definition.js';
import {summarizeLatency} from '../load/logic.js';

const ZONES = ['a', 'b', 'c'];
const SERVICES = ['finder', 'pairing'];
const KEYS = 40;
const REQUESTS_PER_SECOND = 60;
const DURATION_MS = 10_000;
const KILL_AFTER_MS = 4000;
const START_TIMEOUT_MS = 20_000;
const BODY_BYTES = 200;
const SEED = 20;
const MAX_REQUESTS = 5000;

const PLAN: ClusterPlan = {
  workspace: 'taipei',
  hosts: ZONES.flatMap(zone =>
    SERVICES.map(service => ({host: `${service}-${zone}`, zone, service})),
  ),
  relays: false,
  server: {slots: 20, connections: 130, serviceMs: 6},
  tuning: {},
  seed: SEED,
};

const stop = new AbortController();
abortOnSignals(stop);
try {
  process.exitCode = await run(stop.signal);
} catch (error) {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
} finally {
  stop.abort();
}

async function run(signal: AbortSignal): Promise<number> {
  print(`starting the platform, ${PLAN.hosts.length} daemons and servers`);
  const cluster = await startCluster(PLAN, signal);
  const document = await buildCityDocument({});
  const hosts = [...cluster.hosts.values()];
  await applyUntilAccepted(hosts[0], document, 0, START_TIMEOUT_MS);
  const readyMs = await waitUntilServed(
    hosts,
    SERVICES,
    KEYS,
    START_TIMEOUT_MS,
  );
  print(
    `workspace taipei applied; every key served ${readyMs.toFixed(0)} ms on`,
  );
  const load = startRequests(document, hosts, signal);
  await sleep(KILL_AFTER_MS, signal);
  await killDaemon(cluster, 'pairing-b');
  await load.finished;
  return report(cluster, load);
}

function startRequests(
  document: Workspace,
  hosts: readonly Host[],
  signal: AbortSignal,
): Load {
  print(
    `${REQUESTS_PER_SECOND} lookups and bookings a second for ${DURATION_MS} ms`,
  );
  return startLoad(
    {
      targets: hosts.map(host => host.callers),
      arrivals: {kind: 'open', perSecond: REQUESTS_PER_SECOND},
      durationMs: DURATION_MS,
      maxRequests: MAX_REQUESTS,
      seed: SEED,
      keys: KEYS,
      zipf: 0,
      routes: loadRoutesOf(document, SERVICES),
      bodyBytes: BODY_BYTES,
    },
    signal,
  );
}

async function killDaemon(cluster: Cluster, name: string): Promise<void> {
  const daemon = cluster.hosts.get(name)?.daemon;
  daemon?.kill('SIGKILL');
  await daemon?.exited;
  print(`daemon ${name} killed with SIGKILL`);
}

function report(cluster: Cluster, load: Load): number {
  const verdict = verifyOutcomes(
    load.records,
    cluster.serverRecords,
    cluster.killedServers,
  );
  const latency = summarizeLatency(load.records);
  print('');
  print(renderVerdict(verdict));
  print(`latency of the done: p50 ${latency.p50} ms, p99 ${latency.p99} ms`);
  return verdict.violations.length === 0 ? 0 : 1;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
