/** @fileoverview Generates callers' load and records each outcome. */

import type {Call} from './client.js';
import type {CallRecord, LoadOptions, LoadRoute} from './types.js';
import {setMaxListeners} from 'node:events';
import {Agent} from 'node:http';

import {seededRandom, sleep} from '../control/logic.js';
import {perform} from './client.js';
import {keyChooser, routeChooser} from './logic.js';

const MAX_SOCKETS = 256;
const MAX_RECORDS = 1_000_000;
const STEP_MS = 5;
/** Pause between two lookups of a key that is not served. */
const PROBE_MS = 100;
const MAX_PROBES = 600;
const MS_PER_SECOND = 1000;

/** A load under way. */
export interface Load {
  readonly records: CallRecord[];
  /** Number of requests sent so far. */
  readonly sent: () => number;
  /** Resolves when every request has its outcome. */
  readonly finished: Promise<void>;
  /** Sends nothing more; `finished` follows. */
  readonly stop: () => void;
}

interface Generator {
  readonly options: LoadOptions;
  readonly agent: Agent;
  readonly records: CallRecord[];
  readonly nextKey: () => string;
  readonly nextRoute: () => LoadRoute;
  readonly probed: Set<string>;
  readonly open: Set<Promise<void>>;
  sent: number;
}

/**
 * Starts a load in this process.
 *
 * @param options - Targets, mix, rate and seed.
 * @param signal - Stops sending.
 * @returns The load under way.
 */
export function startLoad(options: LoadOptions, signal: AbortSignal): Load {
  const random = seededRandom(options.seed);
  const generator: Generator = {
    options,
    agent: new Agent({keepAlive: true, maxSockets: MAX_SOCKETS}),
    records: [],
    nextKey: keyChooser(options.keys, options.zipf, random),
    nextRoute: routeChooser(options.routes, random),
    probed: new Set(),
    open: new Set(),
    sent: 0,
  };
  const stopping = new AbortController();
  const until = AbortSignal.any([signal, stopping.signal]);
  setMaxListeners(MAX_RECORDS, until);
  return {
    records: generator.records,
    sent: () => generator.sent,
    finished: generate(generator, until),
    stop: () => stopping.abort(),
  };
}

async function generate(
  generator: Generator,
  signal: AbortSignal,
): Promise<void> {
  const {arrivals} = generator.options;
  switch (arrivals.kind) {
    case 'open':
      await sendAtRate(generator, arrivals.perSecond, signal);
      break;
    case 'closed': {
      const callers = Array.from({length: arrivals.callers}, () =>
        sendInTurn(generator, signal),
      );
      await Promise.all(callers);
      break;
    }
  }
  while (generator.open.size > 0) await Promise.all(generator.open);
  generator.agent.destroy();
}

async function sendAtRate(
  generator: Generator,
  perSecond: number,
  signal: AbortSignal,
): Promise<void> {
  const {durationMs, maxRequests} = generator.options;
  const startMs = performance.now();
  while (!signal.aborted && generator.sent < maxRequests) {
    const passedMs = performance.now() - startMs;
    if (passedMs >= durationMs) return;
    const due = Math.floor((passedMs * perSecond) / MS_PER_SECOND);
    while (generator.sent < Math.min(due, maxRequests)) {
      track(generator, sendOne(generator, signal));
    }
    await sleep(STEP_MS, signal);
  }
}

async function sendInTurn(
  generator: Generator,
  signal: AbortSignal,
): Promise<void> {
  const {durationMs, maxRequests} = generator.options;
  const startMs = performance.now();
  while (!signal.aborted && generator.sent < maxRequests) {
    if (performance.now() - startMs >= durationMs) return;
    await sendOne(generator, signal);
  }
}

async function sendOne(
  generator: Generator,
  signal: AbortSignal,
): Promise<void> {
  const route = generator.nextRoute();
  const record = await send(generator, route, generator.nextKey());
  if (record.outcome === 'done') return;
  track(generator, probe(generator, record, signal));
}

/** Looks a key up until it is served, to time how long it was not. */
async function probe(
  generator: Generator,
  failed: CallRecord,
  signal: AbortSignal,
): Promise<void> {
  const {routes} = generator.options;
  const route = routes.find(
    one => one.service === failed.service && one.method === 'GET',
  );
  const name = `${failed.service}/${failed.key}`;
  if (route === undefined || generator.probed.has(name)) return;
  generator.probed.add(name);
  for (let count = 0; count < MAX_PROBES && !signal.aborted; count++) {
    const record = await send(generator, route, failed.key);
    if (record.outcome === 'done') break;
    await sleep(PROBE_MS, signal);
  }
  generator.probed.delete(name);
}

async function send(
  generator: Generator,
  route: LoadRoute,
  key: string,
): Promise<CallRecord> {
  const {options, agent, records} = generator;
  const number = generator.sent++;
  const request = `c${options.seed}-${process.pid}-${number}`;
  const filler = 'x'.repeat(options.bodyBytes);
  const body = route.method === 'GET' ? '' : `${request}:${filler}`;
  const call: Call = {request, route, key, body};
  const record = await perform(call, rotated(options.targets, number), agent);
  if (records.length < MAX_RECORDS) records.push(record);
  return record;
}

function track(generator: Generator, work: Promise<void>): void {
  generator.open.add(work);
  void work.finally(() => generator.open.delete(work));
}

function rotated(targets: readonly string[], by: number): string[] {
  const first = by % targets.length;
  return [...targets.slice(first), ...targets.slice(0, first)];
}
