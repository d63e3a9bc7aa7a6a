/**
 * @fileoverview The tail bench over processes: four daemons with a server
 * each, a shared service of lookups, and one server slow for a time.
 */

import type {Workspace} from '@jackdawfall/core';

import {sleep} from '../../control/logic.js';
import {sendOrder, startCluster} from '../../deployment/cluster.js';
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
const HOSTS = ['a1', 'b1', 'c1', 'a2'];
const SLOTS = 20;
const SERVICE_MS = 6;
const PER_SECOND = 800;
const START_MS = 30_000;
const WARM_UP_MS = 10_000;
const WINDOW_MS = 10_000;
const SLOW_FACTOR = 20;
const KEYS = 50;

/** Tail latency with a straggler, over processes. */
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
  const hosts = HOSTS.map(host => ({host, zone: host[0], service: SERVICE}));
  const server = {
    slots: SLOTS,
    serviceMs: SERVICE_MS,
    coldSlots: SLOTS,
    checksGrants: false,
  };
  const plan = {workspace: 'taipei', hosts, relays: false, tuning: {}, seed: 1};
  const cluster = await startCluster({...plan, server}, signal);
  const running = [...cluster.hosts.values()];
  const document = await lookupsOnly();
  await applyUntilAccepted(running[0], document, 0, START_MS);
  await waitUntilServed(running, [SERVICE], KEYS, START_MS);
  const load = startLoad(
    {
      targets: running.map(({callers}) => callers),
      arrivals: {kind: 'open', perSecond: PER_SECOND},
      durationMs: WARM_UP_MS + 2 * WINDOW_MS,
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
  await sleep(WINDOW_MS, signal);
  printProgress('  one server is 20 times slower');
  const straggle = {kind: 'straggle', factor: SLOW_FACTOR, forMs: WINDOW_MS};
  await sendOrder(running[0].serverControlAddress, straggle);
  const slowMs = Date.now();
  await load.finished;
  const runs = cluster.notes.filter(({kind}) => kind === 'run').length;
  return {
    requests: load.records.length,
    runsForEachRequest: round(runs / load.records.length),
    healthy: figuresOf(load.records, healthyMs, slowMs),
    straggler: figuresOf(load.records, slowMs, slowMs + WINDOW_MS),
  };
}

/** The history service as one of interactive lookups. */
async function lookupsOnly(): Promise<Workspace> {
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

function figuresOf(
  records: readonly CallRecord[],
  fromMs: number,
  untilMs: number,
): Measurements {
  const during = records.filter(
    ({sentMs}) => sentMs >= fromMs && sentMs < untilMs,
  );
  const latencies = during.map(({sentMs, endedMs}) => endedMs - sentMs);
  return {
    requests: during.length,
    notDone: during.filter(({outcome}) => outcome !== 'done').length,
    p50Ms: round(percentile(latencies, 0.5)),
    p99Ms: round(percentile(latencies, 0.99)),
    p999Ms: round(percentile(latencies, 0.999)),
  };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
