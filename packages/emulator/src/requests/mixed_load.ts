/**
 * @fileoverview Simulates requests of kinds that differ in cost, on servers of
 * uneven speed, with scheduling by count or by cost. The arrivals, the kinds and
 * the work of each request depend on the seed alone, so that both see the same
 * load.
 */

import type {
  AcceptedRequest,
  CostClass,
  RequestId,
  Scheduling,
  Slice,
} from '@jackdawfall/core';
import {DEFAULT_TUNING} from '@jackdawfall/core';

import {scheduleArrivals} from './load.js';
import {SERVICE} from './map_copy.js';
import {Schedule} from './schedule.js';
import {RequestSimulation} from './simulation.js';

/** One kind of request. */
export interface Kind {
  readonly name: string;
  /** Mean run time at a server of speed 1, in milliseconds. */
  readonly meanMs: number;
  /** Latency objective and deadline, in milliseconds. */
  readonly objectiveMs: number;
  readonly timeoutMs: number;
}

/** The kinds; each has the same share of the requests. */
export const KINDS: readonly Kind[] = [
  {name: 'k78', meanMs: 78, objectiveMs: 300, timeoutMs: 1000},
  {name: 'k100', meanMs: 100, objectiveMs: 400, timeoutMs: 1500},
  {name: 'k268', meanMs: 268, objectiveMs: 900, timeoutMs: 3000},
  {name: 'k310', meanMs: 310, objectiveMs: 1300, timeoutMs: 4000},
  {name: 'k351', meanMs: 351, objectiveMs: 2600, timeoutMs: 8000},
];
/** Speeds of the servers. */
const SPEEDS: readonly number[] = [0.6, 1, 1.6, 0.6, 1, 1.6];
const SLOTS = 10;
const LINK_DELAY_MS = 2;
/** Share of the runs in the tail, and their multiple of the mean. */
const TAIL_SHARE = 0.03;
const TAIL_RATIO = 7;
/** Mean of the runs outside of the tail, as a share of the mean. */
const BODY_MEAN = (1 - TAIL_SHARE * TAIL_RATIO) / (1 - TAIL_SHARE);
/** Least run time outside of the tail, as a share of their mean. */
const BODY_LEAST = 0.6;
/** Neighbours slow a server by this factor, this long, in each period. */
const NEIGHBOUR_RATIO = 3;
const NEIGHBOUR_MS = 400;
const NEIGHBOUR_PERIOD_MS = 2000;
/**
 * Share of the nominal capacity that is left by the neighbours: a run takes the
 * speed of the time at which it starts.
 */
const NEIGHBOUR_CAPACITY =
  1 - (NEIGHBOUR_MS / NEIGHBOUR_PERIOD_MS) * (1 - 1 / NEIGHBOUR_RATIO);
/** Time after the start that isn't measured, in milliseconds. */
const RAMP_MS = 5000;

/** Parameters of a load. */
export interface MixedLoad {
  readonly seed: number;
  readonly scheduling: Scheduling;
  /** Offered load as a multiple of the capacity. */
  readonly factor: number;
  /** Whether each request has an owner; else any server may run it. */
  readonly keyed: boolean;
  /** Duration in milliseconds, the ramp included. */
  readonly durationMs: number;
}

/** Results of one kind, as shares of its requests and in milliseconds. */
export interface KindResult {
  readonly kind: string;
  readonly requests: number;
  readonly withinObjective: number;
  readonly late: number;
  readonly rejected: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** One request of the load; `work` is its run time at speed 1. */
interface PlannedRequest {
  readonly kind: number;
  readonly work: number;
}

/**
 * Simulates a load.
 *
 * @param load - The load.
 * @returns Results by kind, then of all requests.
 */
export function runMixedLoad(load: MixedLoad): readonly KindResult[] {
  const planned = new Map<string, PlannedRequest>();
  const simulation = createSimulation(load, planned);
  const {schedule} = simulation;
  const draws = new Schedule(load.seed + 1);
  const rate = load.factor * capacityPerSecond();
  const arrivals = {rate, durationMs: load.durationMs};
  planArrivals(draws, arrivals, (at, index) => {
    const request = `r${index}` as RequestId;
    const kind = Math.floor(draws.random() * KINDS.length);
    planned.set(request, {kind, work: drawWorkMs(draws, KINDS[kind])});
    const daemon = Math.floor(draws.random() * SPEEDS.length);
    const slice = load.keyed ? drawSlice(draws) : null;
    schedule.after(at, () =>
      simulation.call(daemon, acceptedOf(request, kind, slice)),
    );
  });
  schedule.run(load.durationMs + KINDS[KINDS.length - 1].timeoutMs + 1000);
  return resultsOf(simulation, planned);
}

/** Draws all arrivals before the simulation, which draws values of its own. */
function planArrivals(
  draws: Schedule,
  arrivals: {readonly rate: number; readonly durationMs: number},
  plan: (at: number, index: number) => void,
): void {
  let count = 0;
  scheduleArrivals(draws, arrivals, () => {
    count += 1;
    plan(draws.now, count);
  });
  draws.run(arrivals.durationMs);
}

function createSimulation(
  {seed, scheduling}: MixedLoad,
  planned: ReadonlyMap<string, PlannedRequest>,
): RequestSimulation {
  return new RequestSimulation({
    seed,
    daemons: SPEEDS.length,
    slots: SLOTS,
    linkDelayMs: LINK_DELAY_MS,
    settings: {
      ...DEFAULT_TUNING,
      routing: {...DEFAULT_TUNING.routing, hedges: false, maxAttempts: 2},
    },
    maxMapLagMs: 0,
    scheduling,
    reportsColdStart: true,
    behaviour: (schedule, server) => ({
      serviceMs: request =>
        (planned.get(request)!.work / SPEEDS[server]) *
        neighbourRatio(server, schedule.now),
      maxRuns: () => SLOTS,
    }),
  });
}

/** Each server has its slow times at another part of the period. */
function neighbourRatio(server: number, now: number): number {
  const shiftMs = (server * NEIGHBOUR_PERIOD_MS) / SPEEDS.length;
  const isSlow = (now + shiftMs) % NEIGHBOUR_PERIOD_MS < NEIGHBOUR_MS;
  return isSlow ? NEIGHBOUR_RATIO : 1;
}

function capacityPerSecond(): number {
  const speed = SPEEDS.reduce((a, b) => a + b, 0);
  const meanMs = KINDS.reduce((a, {meanMs: ms}) => a + ms, 0) / KINDS.length;
  return (speed * SLOTS * 1000 * NEIGHBOUR_CAPACITY) / meanMs;
}

function drawWorkMs(draws: Schedule, {meanMs}: Kind): number {
  if (draws.random() < TAIL_SHARE) return TAIL_RATIO * meanMs;
  const spread = draws.exponential(1 - BODY_LEAST);
  return BODY_MEAN * meanMs * (BODY_LEAST + spread);
}

/** Slices get requests in proportion to the speed of their owners. */
function drawSlice(draws: Schedule): Slice {
  const speed = SPEEDS.reduce((a, b) => a + b, 0);
  let left = draws.random() * speed;
  const slice = SPEEDS.findIndex(each => (left -= each) < 0);
  return Math.max(0, slice) as Slice;
}

function acceptedOf(
  request: RequestId,
  index: number,
  slice: Slice | null,
): AcceptedRequest {
  const {timeoutMs, objectiveMs} = KINDS[index];
  return {
    request,
    service: SERVICE,
    slice,
    idempotent: true,
    priority: 'interactive',
    timeoutMs,
    objectiveMs,
    maxAttempts: null,
    idempotencyKey: null,
    tenant: null,
    urgency: 0,
    costClass: ((index + 1) * 4) as CostClass,
  };
}

/** Latency and objective of one request; Infinity if it was rejected. */
interface Result {
  readonly latencyMs: number;
  readonly objectiveMs: number;
}

function resultsOf(
  simulation: RequestSimulation,
  planned: ReadonlyMap<string, PlannedRequest>,
): readonly KindResult[] {
  const all: Result[] = [];
  const byKind = KINDS.map((): Result[] => []);
  for (const {accepted, at, outcomes} of simulation.calls.values()) {
    if (at < RAMP_MS) continue;
    const [outcome] = outcomes;
    const isServed = outcome?.failure === null;
    const latencyMs = isServed ? outcome.at - at : Infinity;
    const result = {latencyMs, objectiveMs: accepted.objectiveMs};
    all.push(result);
    byKind[planned.get(accepted.request)!.kind].push(result);
  }
  const kinds = KINDS.map(({name}, index) => summarize(name, byKind[index]));
  return [...kinds, summarize('all', all)];
}

/** Percentiles are those of the responses. */
function summarize(kind: string, results: readonly Result[]): KindResult {
  const served = results.filter(({latencyMs}) => latencyMs < Infinity);
  const within = served.filter(each => each.latencyMs <= each.objectiveMs);
  const latencies = served.map(each => each.latencyMs).sort((a, b) => a - b);
  const at = (share: number) =>
    latencies[Math.floor(share * (latencies.length - 1))] ?? 0;
  const total = Math.max(1, results.length);
  return {
    kind,
    requests: results.length,
    withinObjective: within.length / total,
    late: (served.length - within.length) / total,
    rejected: (results.length - served.length) / total,
    p50Ms: at(0.5),
    p99Ms: at(0.99),
  };
}
