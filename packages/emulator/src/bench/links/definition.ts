/**
 * @fileoverview The links bench: throughput and latency of requests over one
 * link, and the cost of many idle links.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {printProgress} from '../progress.js';
import type {Bench, Measurements} from '../types.js';
import {startWorker} from '../workers.js';
import type {Usage, Worker} from '../workers.js';
import {measureRenewals} from './renewals.js';
import {WORKER} from './types.js';
import type {DriveOptions, DriveResult, Peer} from './types.js';

const OUTSTANDING_REQUESTS = 64;
const WARM_UP_REQUESTS = 20_000;
const REQUESTS = 100_000;
/** Number of messages for one request and its response. */
const MESSAGES_PER_REQUEST = 4;
const LINK_COUNTS = [500, 1000, 2000];
const MEMBERS_PER_WORKER = 500;
const SETTLE_MS = 1500;
const IDLE_MS = 6000;

/** Measures a busy link, lease renewals and idle links. */
export const linksBench: Bench = {
  name: 'links',
  text: 'requests over one link; idle links and renewals: memory, CPU, bytes',
  run: async signal => ({
    oneMessageAFrame: await measureBusyLink(1, signal),
    oneTurnAFrame: await measureBusyLink(undefined, signal),
    renewals: await measureRenewals(signal),
    acceptedIdleLinks: await measureIdleSeries('accepted', signal),
    dialledIdleLinks: await measureIdleSeries('dialled', signal),
  }),
};

async function measureBusyLink(
  batchBytes: number | undefined,
  signal: AbortSignal,
): Promise<Measurements> {
  printProgress(
    `  ${OUTSTANDING_REQUESTS} outstanding, batch ${batchBytes ?? 'default'}`,
  );
  const driver = startWorker(WORKER, signal);
  const server = startWorker(WORKER, signal);
  const options = {batchBytes};
  const from = await driver.call<Peer>('open', {member: 'd#1', ...options});
  const to = await server.call<Peer>('open', {member: 's#1', ...options});
  await server.call('echo', from);
  const driveOptions: DriveOptions = {
    to,
    requests: REQUESTS,
    outstanding: OUTSTANDING_REQUESTS,
  };
  await driver.call('drive', {...driveOptions, requests: WARM_UP_REQUESTS});
  const before = await server.call<Usage>('usage');
  const result = await driver.call<DriveResult>('drive', driveOptions);
  const after = await server.call<Usage>('usage');
  await Promise.all([driver.stop(), server.stop()]);
  const seconds = result.durationMs / 1000;
  return {
    requestsPerSecond: Math.round(REQUESTS / seconds),
    messagesPerSecond: Math.round((REQUESTS * MESSAGES_PER_REQUEST) / seconds),
    p50Ms: result.p50Us / 1000,
    p99Ms: result.p99Us / 1000,
    driverCpuUsPerRequest: round(result.cpuUs / REQUESTS),
    serverCpuUsPerRequest: round((after.cpuUs - before.cpuUs) / REQUESTS),
    serverRssMb: megabytes(after.rssBytes),
  };
}

async function measureIdleSeries(
  side: 'accepted' | 'dialled',
  signal: AbortSignal,
): Promise<Measurements[]> {
  const measurements: Measurements[] = [];
  for (const count of LINK_COUNTS) {
    printProgress(`  ${count} idle links, ${side}`);
    measurements.push(await measureIdleLinks(side, count, signal));
  }
  return measurements;
}

async function measureIdleLinks(
  side: 'accepted' | 'dialled',
  count: number,
  signal: AbortSignal,
): Promise<Measurements> {
  const hub = startWorker(WORKER, signal);
  const to = await hub.call<Peer>('open', {member: 'hub#1'});
  const empty = await hub.call<Usage>('held');
  const others = await startPeers(side, count, hub, to, signal);
  await sleep(SETTLE_MS);
  const begin = await hub.call<Usage>('usage');
  await sleep(IDLE_MS);
  const end = await hub.call<Usage>('usage');
  const held = await hub.call<Usage>('held');
  const open = await hub.call<number>('size');
  const lost = await hub.call<number>('losses');
  await Promise.all([hub, ...others].map(worker => worker.stop()));
  const cpuShare = (end.cpuUs - begin.cpuUs) / 1000 / (end.atMs - begin.atMs);
  return {
    links: open,
    lost,
    rssMb: megabytes(held.rssBytes),
    rssKbPerLink: round((held.rssBytes - empty.rssBytes) / 1024 / count),
    cpuPercentOfCore: round(cpuShare * 100),
    cpuUsPerLinkAndSecond: round((cpuShare * 1_000_000) / count),
  };
}

/**
 * Opens links between the hub and members in other processes. The members dial
 * (the hub accepts), or the hub dials.
 */
async function startPeers(
  side: 'accepted' | 'dialled',
  count: number,
  hub: Worker,
  to: Peer,
  signal: AbortSignal,
): Promise<Worker[]> {
  const others: Worker[] = [];
  for (let left = count; left > 0; left -= MEMBERS_PER_WORKER) {
    const part = Math.min(left, MEMBERS_PER_WORKER);
    const other = startWorker(WORKER, signal);
    others.push(other);
    if (side === 'accepted') {
      await other.call('openFromMany', {count: part, to});
    } else {
      const peers = await other.call<Peer[]>('listenAsMany', {count: part});
      await hub.call('openToAll', peers);
    }
  }
  return others;
}

function megabytes(bytes: number): number {
  return round(bytes / 1024 / 1024);
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
