/**
 * @fileoverview The path bench: bookings sent directly to the backend server,
 * through the owner's daemon, and through another daemon that forwards them to
 * the owner. It runs on two hosts, so in the last variant each daemon both
 * forwards and serves requests at the measured rate.
 */

import {loadavg} from 'node:os';
import {setTimeout as sleep} from 'node:timers/promises';
import type {MapView, ServiceName} from '@jackdawfall/core';
import {sliceByHash} from '@jackdawfall/core';
import {startCluster} from '../../deployment/cluster.js';
import {
  applyUntilAccepted,
  buildCityDocument,
  sendCommand,
  waitUntilServed,
} from '../../deployment/operations.js';
import type {Host} from '../../deployment/types.js';
import {readProcessUsage} from '../process_usage.js';
import {printProgress} from '../progress.js';
import type {Bench, Measurements} from '../types.js';
import {startWorker} from '../workers.js';
import type {Usage, Worker} from '../workers.js';
import type {LoadOptions, LoadResult} from './types.js';

const WORKER = new URL('./worker.js', import.meta.url);
const SERVICE = 'pairing' as ServiceName;
const SLICES = 256;
const KEYS = 500;
const REQUEST_RATES = [500, 1000, 2500];
const WARM_UP_MS = 3000;
/** Time without a change of owners before a measurement starts. */
const STABLE_MS = 1500;
const MEASURE_MS = 8000;
const START_TIMEOUT_MS = 30_000;
const SLOTS = 100;
/** More connections than callers and daemon use together. */
const CONNECTIONS = 400;
const SERVICE_MS = 5;

/** How requests reach the backend server. */
type Variant = 'direct' | 'oneDaemon' | 'twoDaemons';

const VARIANTS: readonly Variant[] = ['direct', 'oneDaemon', 'twoDaemons'];

/** The hosts under test and the processes that send requests to them. */
interface Setup {
  readonly hosts: readonly Host[];
  readonly callers: readonly Worker[];
}

/** Measures the overhead of one and of two daemons in the request path. */
export const pathBench: Bench = {
  name: 'path',
  text: 'a booking direct, through one daemon and through two',
  run: async signal => {
    const stop = new AbortController();
    const both = AbortSignal.any([signal, stop.signal]);
    try {
      return await measureAll(await setUp(both), both);
    } finally {
      stop.abort();
    }
  },
};

async function measureAll(
  setup: Setup,
  signal: AbortSignal,
): Promise<Measurements> {
  const rates: Record<string, Measurements> = {};
  for (const variant of VARIANTS) {
    await runLoad(setup, variant, REQUEST_RATES[0] ?? 0, WARM_UP_MS);
  }
  for (const rate of REQUEST_RATES) {
    const ways: Partial<Record<Variant, PathMeasurements>> = {};
    for (const variant of VARIANTS) {
      signal.throwIfAborted();
      printProgress(`  ${rate}/s on each of two hosts, ${variant}`);
      await runLoad(setup, variant, rate, WARM_UP_MS);
      ways[variant] = await runLoad(setup, variant, rate, MEASURE_MS);
      await sleep(STABLE_MS, undefined, {signal});
    }
    rates[`${rate}PerSecondOnEach`] = {...ways, ratios: ratiosOf(ways)};
  }
  return rates;
}

interface PathMeasurements extends Measurements {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly daemonCpuUsPerRequest: number;
}

async function runLoad(
  setup: Setup,
  variant: Variant,
  perSecond: number,
  durationMs: number,
): Promise<PathMeasurements> {
  const {hosts, callers} = setup;
  const paths = await waitForStablePaths(hosts);
  const before = await readUsages(hosts);
  const startMs = performance.now();
  const results = await Promise.all(
    callers.map((caller, index) => {
      const options: LoadOptions = {
        target: targetOf(hosts[index], variant),
        paths: paths[variant === 'twoDaemons' ? 1 - index : index] ?? [],
        perSecond,
        durationMs,
      };
      return caller.call<LoadResult>('drive', options);
    }),
  );
  const seconds = (performance.now() - startMs) / 1000;
  const measurements = measurementsOf(
    results,
    before,
    await readUsages(hosts),
    seconds,
  );
  const keysMoved = countMoved(paths, await listPathsByOwner(hosts));
  return {...measurements, keysMoved, loadAverage: round(loadavg()[0] ?? 0)};
}

function measurementsOf(
  results: readonly LoadResult[],
  before: readonly Usage[],
  after: readonly Usage[],
  seconds: number,
): PathMeasurements {
  const done = results.reduce((sum, result) => sum + result.done, 0);
  const failed = results.reduce((sum, result) => sum + result.failed, 0);
  const cpuUs = after.map(
    (usage, index) => usage.cpuUs - (before[index]?.cpuUs ?? 0),
  );
  const totalCpuUs = cpuUs.reduce((sum, one) => sum + one, 0);
  return {
    requestsPerSecond: Math.round(done / seconds),
    failed,
    failure: results.find(result => result.failure !== '')?.failure ?? '',
    p50Ms: round(Math.max(...results.map(result => result.p50Us)) / 1000),
    p99Ms: round(Math.max(...results.map(result => result.p99Us)) / 1000),
    daemonCpuUsPerRequest: round(totalCpuUs / done),
    daemonCpuPercentOfCore: round(Math.max(...cpuUs) / seconds / 10_000),
    daemonRssMb: Math.round(
      Math.max(...after.map(usage => usage.rssBytes)) / 1024 / 1024,
    ),
  };
}

function ratiosOf(
  ways: Partial<Record<Variant, PathMeasurements>>,
): Measurements {
  const {direct, oneDaemon, twoDaemons} = ways;
  if (!direct || !oneDaemon || !twoDaemons) return {};
  return {
    p50OneToDirect: round(oneDaemon.p50Ms / direct.p50Ms),
    p50TwoToDirect: round(twoDaemons.p50Ms / direct.p50Ms),
    p99OneToDirect: round(oneDaemon.p99Ms / direct.p99Ms),
    p99TwoToDirect: round(twoDaemons.p99Ms / direct.p99Ms),
    p99MsOfTwoOverDirect: round(twoDaemons.p99Ms - direct.p99Ms),
    cpuTwoToOne: round(
      twoDaemons.daemonCpuUsPerRequest / oneDaemon.daemonCpuUsPerRequest,
    ),
  };
}

async function setUp(signal: AbortSignal): Promise<Setup> {
  const cluster = await startCluster(
    {
      workspace: 'taipei',
      hosts: ['a', 'b'].map(zone => ({host: zone, zone, service: SERVICE})),
      relays: false,
      server: {
        slots: SLOTS,
        connections: CONNECTIONS,
        coldSlots: SLOTS,
        serviceMs: SERVICE_MS,
        checksGrants: false,
      },
      tuning: {},
      seed: 1,
    },
    signal,
  );
  const hosts = [...cluster.hosts.values()];
  const document = await buildCityDocument({slices: SLICES});
  await applyUntilAccepted(hosts[0], document, 0, START_TIMEOUT_MS);
  await waitUntilServed(hosts, [SERVICE], KEYS, START_TIMEOUT_MS);
  const callers = hosts.map(() => startWorker(WORKER, signal));
  return {hosts, callers};
}

/** Waits until each host owns keys and none has changed its owner lately. */
async function waitForStablePaths(hosts: readonly Host[]): Promise<string[][]> {
  const untilMs = performance.now() + START_TIMEOUT_MS;
  let before = await listPathsByOwner(hosts);
  for (;;) {
    await sleep(STABLE_MS);
    const paths = await listPathsByOwner(hosts);
    const quiet = countMoved(before, paths) === 0;
    if (quiet && paths.every(own => own.length > KEYS / 4)) return paths;
    if (performance.now() > untilMs) throw new Error('slices do not settle');
    before = paths;
  }
}

/** Paths of keys owned by each host, in the order of `hosts`. */
async function listPathsByOwner(hosts: readonly Host[]): Promise<string[][]> {
  const owners = await listOwners(hosts[0]);
  return hosts.map(({plan}) =>
    listPaths(owner => owner.startsWith(`${plan.host}#`), owners),
  );
}

function countMoved(
  before: readonly (readonly string[])[],
  after: readonly (readonly string[])[],
): number {
  const moved = after.map((paths, index) => {
    const known = new Set(before[index]);
    return paths.filter(path => !known.has(path)).length;
  });
  return moved.reduce((sum, count) => sum + count, 0);
}

function listPaths(
  isOwner: (owner: string) => boolean,
  owners: readonly string[],
): string[] {
  return Array.from({length: KEYS}, (_, index) => `key-${index}`)
    .filter(key => isOwner(owners[sliceByHash(key, SLICES)] ?? ''))
    .map(key => `/${SERVICE}/${key}`);
}

async function listOwners(host: Host): Promise<string[]> {
  const result = await sendCommand(host, {kind: 'map', service: SERVICE});
  if (result.kind !== 'ok') throw new Error(`map: ${JSON.stringify(result)}`);
  const {runs} = JSON.parse(result.body) as MapView;
  return runs.flatMap(({count, owner}) =>
    Array.from({length: count}, () => owner ?? ''),
  );
}

function targetOf(host: Host, variant: Variant): string {
  return variant === 'direct' ? `127.0.0.1:${host.serverPort}` : host.callers;
}

function readUsages(hosts: readonly Host[]): Promise<Usage[]> {
  return Promise.all(
    hosts.map(({daemon}) => readProcessUsage(daemon?.pid ?? 0)),
  );
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
