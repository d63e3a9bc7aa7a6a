/** @fileoverview Generates callers' load and records the outcomes. */

import type {Call} from './client.js';
import type {CallRecord, LoadOptions, LoadRoute} from './types.js';
import {setMaxListeners} from 'node:events';
import {Agent} from 'node:http';

import {seededRandom, sleep} from '../control/logic.js';
import {sendRequest} from './client.js';
import {createKeyChooser, createRouteChooser} from './logic.js';

const MAX_SOCKETS = 256;
const MAX_RECORDS = 1_000_000;
const SEND_INTERVAL_MS = 5;
/** Time between two probes of a key that is not served. */
const PROBE_INTERVAL_MS = 100;
const MAX_PROBES = 600;
const MS_PER_SECOND = 1000;

/** A running load. */
export interface Load {
  readonly records: CallRecord[];
  /** Number of requests sent so far. */
  readonly sent: () => number;
  /** Resolves once every request has an outcome. */
  readonly finished: Promise<void>;
  /** Stops sending; `finished` resolves once open requests have ended. */
  readonly stop: () => void;
}

interface LoadGenerator {
  readonly options: LoadOptions;
  readonly agent: Agent;
  readonly records: CallRecord[];
  readonly nextKey: () => string;
  readonly nextRoute: () => LoadRoute;
  /** Keys that are being probed, as `service/key`. */
  readonly probed: Set<string>;
  /** Requests and probes that are under way. */
  readonly open: Set<Promise<void>>;
  sent: number;
}

/**
 * Starts a load in this process.
 *
 * @param options - Targets, mix, rate and seed.
 * @param signal - Stops sending.
 * @returns The running load.
 */
export function startLoad(options: LoadOptions, signal: AbortSignal): Load {
  const random = seededRandom(options.seed);
  const generator: LoadGenerator = {
    options,
    agent: new Agent({keepAlive: true, maxSockets: MAX_SOCKETS}),
    records: [],
    nextKey: createKeyChooser(options.keys, options.zipf, random),
    nextRoute: createRouteChooser(options.routes, random),
    probed: new Set(),
    open: new Set(),
    sent: 0,
  };
  const stopping = new AbortController();
  const stopSignal = AbortSignal.any([signal, stopping.signal]);
  setMaxListeners(MAX_RECORDS, stopSignal);
  return {
    records: generator.records,
    sent: () => generator.sent,
    finished: runLoad(generator, stopSignal),
    stop: () => stopping.abort(),
  };
}

async function runLoad(
  generator: LoadGenerator,
  signal: AbortSignal,
): Promise<void> {
  const {arrivals} = generator.options;
  switch (arrivals.kind) {
    case 'open':
      await sendAtRate(generator, arrivals.perSecond, signal);
      break;
    case 'closed': {
      const callers = Array.from({length: arrivals.callers}, () =>
        sendSequentially(generator, signal),
      );
      await Promise.all(callers);
      break;
    }
  }
  while (generator.open.size > 0) await Promise.all(generator.open);
  generator.agent.destroy();
}

/** Open loop: sends requests at a fixed rate. */
async function sendAtRate(
  generator: LoadGenerator,
  perSecond: number,
  signal: AbortSignal,
): Promise<void> {
  const {durationMs, maxRequests} = generator.options;
  const startMs = performance.now();
  while (!signal.aborted && generator.sent < maxRequests) {
    const elapsedMs = performance.now() - startMs;
    if (elapsedMs >= durationMs) return;
    const due = Math.floor((elapsedMs * perSecond) / MS_PER_SECOND);
    while (generator.sent < Math.min(due, maxRequests)) {
      track(generator, sendOne(generator, signal));
    }
    await sleep(SEND_INTERVAL_MS, signal);
  }
}

/** Closed loop: sends each request after the response to the previous one. */
async function sendSequentially(
  generator: LoadGenerator,
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
  generator: LoadGenerator,
  signal: AbortSignal,
): Promise<void> {
  const route = generator.nextRoute();
  const record = await send(generator, route, generator.nextKey());
  if (record.outcome === 'done') return;
  track(generator, probeUntilServed(generator, record, signal));
}

/**
 * Reads the key of a failed request until it is served again, so the
 * records show for how long it was not.
 */
async function probeUntilServed(
  generator: LoadGenerator,
  failed: CallRecord,
  signal: AbortSignal,
): Promise<void> {
  const {routes} = generator.options;
  const route = routes.find(
    each => each.service === failed.service && each.method === 'GET',
  );
  const name = `${failed.service}/${failed.key}`;
  if (route === undefined || generator.probed.has(name)) return;
  generator.probed.add(name);
  for (let count = 0; count < MAX_PROBES && !signal.aborted; count++) {
    const record = await send(generator, route, failed.key);
    if (record.outcome === 'done') break;
    await sleep(PROBE_INTERVAL_MS, signal);
  }
  generator.probed.delete(name);
}

async function send(
  generator: LoadGenerator,
  route: LoadRoute,
  key: string,
): Promise<CallRecord> {
  const {options, agent, records} = generator;
  const number = generator.sent++;
  const request = `c${options.seed}-${process.pid}-${number}`;
  const filler = 'x'.repeat(options.bodyBytes);
  const body = route.method === 'GET' ? '' : `${request}:${filler}`;
  const call: Call = {request, route, key, body};
  const record = await sendRequest(
    call,
    rotate(options.targets, number),
    agent,
  );
  if (records.length < MAX_RECORDS) records.push(record);
  return record;
}

function track(generator: LoadGenerator, work: Promise<void>): void {
  generator.open.add(work);
  void work.finally(() => generator.open.delete(work));
}

/** Distributes requests over the targets in turn. */
function rotate(targets: readonly string[], by: number): string[] {
  const first = by % targets.length;
  return [...targets.slice(first), ...targets.slice(0, first)];
}
