/**
 * @fileoverview The path bench: a booking straight to the backend server,
 * through its owner's daemon, and through another daemon, in one run. Two
 * hosts; each daemon takes the rate and serves the rate.
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
import {usageOf} from '../process_usage.js';
import {printProgress} from '../progress.js';
import type {Bench, Measurements} from '../types.js';
import {startWorker} from '../workers.js';
import type {Usage, Worker} from '../workers.js';
import type {PathOrder, PathResult} from './types.js';

const WORKER = new URL('./worker.js', import.meta.url);
const SERVICE = 'pairing' as ServiceName;
const SLICES = 256;
const KEYS = 500;
const RATES = [500, 1000, 2500];
const WARM_UP_MS = 3000;
/** Time for which no key changes its owner before a measurement. */
const QUIET_MS = 1500;
const DURATION_MS = 8000;
const START_MS = 30_000;
const SLOTS = 100;
/** More than callers and daemon hold together. */
const CONNECTIONS = 400;
const SERVICE_MS = 5;

type Way = 'direct' | 'oneDaemon' | 'twoDaemons';

const WAYS: readonly Way[] = ['direct', 'oneDaemon', 'twoDaemons'];

/** What the bench drives and watches. */
interface Setup {
  readonly hosts: readonly Host[];
  readonly callers: readonly Worker[];
}

/** Cost of the way through daemons. */
export const pathBench: Bench = {
  name: 'path',
  text: 'a booking direct, through one daemon and through two',
  run: async signal => {
    const stop = new AbortController();
    const both = AbortSignal.any([signal, stop.signal]);
    try {
      return await measure(await setUp(both), both);
    } finally {
      stop.abort();
    }
  },
};

async function measure(
  setup: Setup,
  signal: AbortSignal,
): Promise<Measurements> {
  const rates: Record<string, Measurements> = {};
  for (const way of WAYS) await drive(setup, way, RATES[0] ?? 0, WARM_UP_MS);
  for (const rate of RATES) {
    const ways: Partial<Record<Way, PathFigures>> = {};
    for (const way of WAYS) {
      signal.throwIfAborted();
      printProgress(`  ${rate}/s on each of two hosts, ${way}`);
      await drive(setup, way, rate, WARM_UP_MS);
      ways[way] = await drive(setup, way, rate, DURATION_MS);
      await sleep(QUIET_MS, undefined, {signal});
    }
    rates[`${rate}PerSecondOnEach`] = {...ways, ratios: ratiosOf(ways)};
  }
  return rates;
}

interface PathFigures extends Measurements {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly daemonCpuUsPerRequest: number;
}

async function drive(
  setup: Setup,
  way: Way,
  perSecond: number,
  durationMs: number,
): Promise<PathFigures> {
  const {hosts, callers} = setup;
  const paths = await quietPaths(hosts);
  const before = await usages(hosts);
  const startMs = performance.now();
  const results = await Promise.all(
    callers.map((caller, at) => {
      const order: PathOrder = {
        target: targetOf(hosts[at], way),
        paths: paths[way === 'twoDaemons' ? 1 - at : at] ?? [],
        perSecond,
        durationMs,
      };
      return caller.call<PathResult>('drive', order);
    }),
  );
  const seconds = (performance.now() - startMs) / 1000;
  const figures = figuresOf(results, before, await usages(hosts), seconds);
  const keysMoved = countMoved(paths, await pathsByOwner(hosts));
  return {...figures, keysMoved, loadAverage: round(loadavg()[0] ?? 0)};
}

function figuresOf(
  results: readonly PathResult[],
  before: readonly Usage[],
  after: readonly Usage[],
  seconds: number,
): PathFigures {
  const done = results.reduce((sum, result) => sum + result.done, 0);
  const failed = results.reduce((sum, result) => sum + result.failed, 0);
  const cpuUs = after.map(
    (usage, at) => usage.cpuUs - (before[at]?.cpuUs ?? 0),
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

function ratiosOf(ways: Partial<Record<Way, PathFigures>>): Measurements {
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
  await applyUntilAccepted(hosts[0], document, 0, START_MS);
  await waitUntilServed(hosts, [SERVICE], KEYS, START_MS);
  const callers = hosts.map(() => startWorker(WORKER, signal));
  return {hosts, callers};
}

/** Waits until each host owns keys and none has moved for a while. */
async function quietPaths(hosts: readonly Host[]): Promise<string[][]> {
  const untilMs = performance.now() + START_MS;
  let before = await pathsByOwner(hosts);
  for (;;) {
    await sleep(QUIET_MS);
    const paths = await pathsByOwner(hosts);
    const quiet = countMoved(before, paths) === 0;
    if (quiet && paths.every(own => own.length > KEYS / 4)) return paths;
    if (performance.now() > untilMs) throw new Error('slices do not settle');
    before = paths;
  }
}

/** Paths of keys owned by each host, in the order of `hosts`. */
async function pathsByOwner(hosts: readonly Host[]): Promise<string[][]> {
  const owners = await ownersOf(hosts[0]);
  return hosts.map(({plan}) =>
    keysOf(owner => owner.startsWith(`${plan.host}#`), owners),
  );
}

function countMoved(
  before: readonly (readonly string[])[],
  after: readonly (readonly string[])[],
): number {
  const moved = after.map((paths, at) => {
    const known = new Set(before[at]);
    return paths.filter(path => !known.has(path)).length;
  });
  return moved.reduce((sum, count) => sum + count, 0);
}

function keysOf(
  isOwner: (owner: string) => boolean,
  owners: readonly string[],
): string[] {
  return Array.from({length: KEYS}, (_, at) => `key-${at}`)
    .filter(key => isOwner(owners[sliceByHash(key, SLICES)] ?? ''))
    .map(key => `/${SERVICE}/${key}`);
}

async function ownersOf(host: Host): Promise<string[]> {
  const result = await sendCommand(host, {kind: 'map', service: SERVICE});
  if (result.kind !== 'ok') throw new Error(`map: ${JSON.stringify(result)}`);
  const {runs} = JSON.parse(result.body) as MapView;
  return runs.flatMap(({count, owner}) =>
    Array.from({length: count}, () => owner ?? ''),
  );
}

function targetOf(host: Host, way: Way): string {
  return way === 'direct' ? `127.0.0.1:${host.serverPort}` : host.callers;
}

function usages(hosts: readonly Host[]): Promise<Usage[]> {
  return Promise.all(hosts.map(({daemon}) => usageOf(daemon?.pid ?? 0)));
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
