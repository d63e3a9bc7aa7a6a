/**
 * @fileoverview The idle bench: what control costs a daemon and the platform
 * while no caller asks for anything, at several numbers of daemons.
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
import {usageOf} from '../process_usage.js';
import {printProgress} from '../progress.js';
import type {Bench, Measurements} from '../types.js';
import type {Usage} from '../workers.js';

const SERVICE = 'pairing';
const ZONES = ['a', 'b', 'c'];
const COUNTS = [3, 6, 12];
const KEYS = 50;
const START_MS = 30_000;
const SETTLE_MS = 6000;
const WATCH_MS = 15_000;

/** Cost of control alone. */
export const idleBench: Bench = {
  name: 'idle',
  text: 'CPU, memory and store calls of daemons without requests',
  run: async signal => {
    const sizes: Measurements[] = [];
    for (const count of COUNTS) {
      printProgress(`  ${count} daemons`);
      const stop = new AbortController();
      try {
        sizes.push(await watch(count, AbortSignal.any([signal, stop.signal])));
      } finally {
        stop.abort();
      }
    }
    return {sizes};
  },
};

async function watch(
  count: number,
  signal: AbortSignal,
): Promise<Measurements> {
  const cluster = await start(count, signal);
  const hosts = [...cluster.hosts.values()];
  await sleep(SETTLE_MS, undefined, {signal});
  const before = await usages(hosts);
  const callsBefore = await storeCalls(cluster);
  await sleep(WATCH_MS, undefined, {signal});
  const after = await usages(hosts);
  const calls = await storeCalls(cluster);
  const shares = after.map((usage, at) => shareOf(before[at] ?? usage, usage));
  const seconds = WATCH_MS / 1000;
  return {
    daemons: count,
    cpuPercentOfCoreMean: round(mean(shares)),
    cpuPercentOfCoreMax: round(Math.max(...shares)),
    rssMbMean: round(mean(after.map(usage => usage.rssBytes / 1024 / 1024))),
    storeReadsPerSecond: round((calls.reads - callsBefore.reads) / seconds),
    storeWritesPerSecond: round((calls.writes - callsBefore.writes) / seconds),
  };
}

async function start(count: number, signal: AbortSignal): Promise<Cluster> {
  const plan = Array.from({length: count}, (_, at) => ({
    host: `h${at}`,
    zone: ZONES[at % ZONES.length] ?? '',
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
  await applyUntilAccepted(hosts[0], await buildCityDocument({}), 0, START_MS);
  await waitUntilServed(hosts, [SERVICE], KEYS, START_MS);
  return cluster;
}

async function storeCalls(
  cluster: Cluster,
): Promise<{reads: number; writes: number}> {
  const reply = await get(`http://${cluster.platformControlAddress}/ledger`);
  const {reads, commits} = JSON.parse(reply.body) as PlatformLedger;
  return {reads, writes: commits};
}

function usages(hosts: readonly Host[]): Promise<Usage[]> {
  return Promise.all(hosts.map(({daemon}) => usageOf(daemon?.pid ?? 0)));
}

function shareOf(before: Usage, after: Usage): number {
  return (after.cpuUs - before.cpuUs) / 10 / (after.atMs - before.atMs);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
