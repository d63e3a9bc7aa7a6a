/**
 * @fileoverview The tail bench with real processes: four daemons with a backend
 * server each, and a shared lookup service of which one server is slow for a
 * while.
 */

import type {Workspace} from '@jackdawfall/core';

import {sleep} from '../../control/logic.js';
import {sendControlCommand, startCluster} from '../../deployment/cluster.js';
import {
  applyUntilAccepted,
  buildCityDocument,
  loadRoutesOf,
  waitUntilServed,
} from '../../deployment/operations.js';
import {startLoad} from '../../load/definition.js';
import type {CallRecord} from '../../load/types.js';
import {percentile} from '../../requests/overload.js';
import {printProgress} from '../progress.js';
import type {Bench, Measurements} from '../types.js';

const SERVICE = 'records';
const HOST_NAMES = ['a1', 'b1', 'c1', 'a2'];
const SLOTS = 20;
const SERVICE_MS = 6;
const REQUESTS_PER_SECOND = 800;
const START_TIMEOUT_MS = 30_000;
const WARM_UP_MS = 10_000;
const MEASURE_MS = 10_000;
const SLOW_FACTOR = 20;
const KEYS = 50;

/** Measures tail latency with one slow server, with real processes. */
export const tailProcessesBench: Bench = {
  name: 'tail-processes',
  text: 'latency with one of four servers 20 times slower for 10 s, processes',
  async run(signal) {
    const done = new AbortController();
    const until = AbortSignal.any([signal, done.signal]);
    try {
      return await measure(until);
    } finally {
      done.abort();
    }
  },
};

async function measure(signal: AbortSignal): Promise<Measurements> {
  const hosts = HOST_NAMES.map(host => ({
    host,
    zone: host[0],
    service: SERVICE,
  }));
  const server = {
    slots: SLOTS,
    serviceMs: SERVICE_MS,
    coldSlots: SLOTS,
    checksGrants: false,
  };
  const plan = {workspace: 'taipei', hosts, relays: false, tuning: {}, seed: 1};
  const cluster = await startCluster({...plan, server}, signal);
  const running = [...cluster.hosts.values()];
  const document = await createLookupDocument();
  await applyUntilAccepted(running[0], document, 0, START_TIMEOUT_MS);
  await waitUntilServed(running, [SERVICE], KEYS, START_TIMEOUT_MS);
  const load = startLoad(
    {
      targets: running.map(({callers}) => callers),
      arrivals: {kind: 'open', perSecond: REQUESTS_PER_SECOND},
      durationMs: WARM_UP_MS + 2 * MEASURE_MS,
      maxRequests: 100_000,
      seed: 1,
      keys: KEYS,
      zipf: 0,
      routes: loadRoutesOf(document, [SERVICE]),
      bodyBytes: 0,
    },
    signal,
  );
  await sleep(WARM_UP_MS, signal);
  const healthyMs = Date.now();
  await sleep(MEASURE_MS, signal);
  printProgress('  one server is 20 times slower');
  const straggle = {kind: 'straggle', factor: SLOW_FACTOR, forMs: MEASURE_MS};
  await sendControlCommand(running[0].serverControlAddress, straggle);
  const slowMs = Date.now();
  await load.finished;
  const runs = cluster.serverRecords.filter(({kind}) => kind === 'run').length;
  return {
    requests: load.records.length,
    runsForEachRequest: round(runs / load.records.length),
    healthy: measurementsOf(load.records, healthyMs, slowMs),
    straggler: measurementsOf(load.records, slowMs, slowMs + MEASURE_MS),
  };
}

/** Changes the history service so it only serves interactive lookups. */
async function createLookupDocument(): Promise<Workspace> {
  const document = await buildCityDocument({});
  const route = document.routes.find(
    ({service, method}) => service === SERVICE && method === 'GET',
  );
  if (route === undefined) throw new Error(`no lookup of ${SERVICE}`);
  const path = `/${SERVICE}/{key}`;
  const lookup = {...route, path, priority: 'interactive' as const};
  const others = document.routes.filter(({service}) => service !== SERVICE);
  return {...document, routes: [...others, lookup]};
}

function measurementsOf(
  records: readonly CallRecord[],
  fromMs: number,
  untilMs: number,
): Measurements {
  const selected = records.filter(
    ({sentMs}) => sentMs >= fromMs && sentMs < untilMs,
  );
  const latencies = selected.map(({sentMs, endedMs}) => endedMs - sentMs);
  return {
    requests: selected.length,
    notDone: selected.filter(({outcome}) => outcome !== 'done').length,
    p50Ms: round(percentile(latencies, 0.5)),
    p99Ms: round(percentile(latencies, 0.99)),
    p999Ms: round(percentile(latencies, 0.999)),
  };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
