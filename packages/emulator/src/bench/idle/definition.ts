/**
 * @fileoverview The idle bench: CPU time, memory and store calls of daemons
 * without any requests, for several cluster sizes.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {get} from '../../control/client.js';
import {startCluster} from '../../deployment/cluster.js';
import {
  applyUntilAccepted,
  buildCityDocument,
  waitUntilServed,
} from '../../deployment/operations.js';
import type {Cluster, Host} from '../../deployment/types.js';
import type {PlatformLedger} from '../../platform/types.js';
import {readProcessUsage} from '../process_usage.js';
import {printProgress} from '../progress.js';
import type {Bench, Measurements} from '../types.js';
import type {Usage} from '../workers.js';

const SERVICE = 'pairing';
const ZONES = ['a', 'b', 'c'];
const DAEMON_COUNTS = [3, 6, 12];
const KEYS = 50;
const START_TIMEOUT_MS = 30_000;
const SETTLE_MS = 6000;
const MEASURE_MS = 15_000;

/** Measures the cost of the control plane alone. */
export const idleBench: Bench = {
  name: 'idle',
  text: 'CPU, memory and store calls of daemons without requests',
  run: async signal => {
    const sizes: Measurements[] = [];
    for (const count of DAEMON_COUNTS) {
      printProgress(`  ${count} daemons`);
      const stop = new AbortController();
      try {
        sizes.push(
          await measureCluster(count, AbortSignal.any([signal, stop.signal])),
        );
      } finally {
        stop.abort();
      }
    }
    return {sizes};
  },
};

async function measureCluster(
  count: number,
  signal: AbortSignal,
): Promise<Measurements> {
  const cluster = await startIdleCluster(count, signal);
  const hosts = [...cluster.hosts.values()];
  await sleep(SETTLE_MS, undefined, {signal});
  const usageBefore = await readUsages(hosts);
  const callsBefore = await countStoreCalls(cluster);
  await sleep(MEASURE_MS, undefined, {signal});
  const usageAfter = await readUsages(hosts);
  const callsAfter = await countStoreCalls(cluster);
  const cpuPercents = usageAfter.map((usage, index) =>
    cpuPercentOf(usageBefore[index] ?? usage, usage),
  );
  const seconds = MEASURE_MS / 1000;
  return {
    daemons: count,
    cpuPercentOfCoreMean: round(mean(cpuPercents)),
    cpuPercentOfCoreMax: round(Math.max(...cpuPercents)),
    rssMbMean: round(
      mean(usageAfter.map(usage => usage.rssBytes / 1024 / 1024)),
    ),
    storeReadsPerSecond: round(
      (callsAfter.reads - callsBefore.reads) / seconds,
    ),
    storeWritesPerSecond: round(
      (callsAfter.writes - callsBefore.writes) / seconds,
    ),
  };
}

async function startIdleCluster(
  count: number,
  signal: AbortSignal,
): Promise<Cluster> {
  const plan = Array.from({length: count}, (_, index) => ({
    host: `h${index}`,
    zone: ZONES[index % ZONES.length] ?? '',
    service: SERVICE,
  }));
  const cluster = await startCluster(
    {
      workspace: 'taipei',
      hosts: plan,
      relays: false,
      server: {},
      tuning: {},
      seed: 1,
    },
    signal,
  );
  const hosts = [...cluster.hosts.values()];
  await applyUntilAccepted(
    hosts[0],
    await buildCityDocument({}),
    0,
    START_TIMEOUT_MS,
  );
  await waitUntilServed(hosts, [SERVICE], KEYS, START_TIMEOUT_MS);
  return cluster;
}

async function countStoreCalls(
  cluster: Cluster,
): Promise<{reads: number; writes: number}> {
  const reply = await get(`http://${cluster.platformControlAddress}/ledger`);
  const {reads, commits} = JSON.parse(reply.body) as PlatformLedger;
  return {reads, writes: commits};
}

function readUsages(hosts: readonly Host[]): Promise<Usage[]> {
  return Promise.all(
    hosts.map(({daemon}) => readProcessUsage(daemon?.pid ?? 0)),
  );
}

function cpuPercentOf(before: Usage, after: Usage): number {
  return (after.cpuUs - before.cpuUs) / 10 / (after.atMs - before.atMs);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
