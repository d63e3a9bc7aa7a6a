/**
 * @fileoverview Simulates callers that return after a refusal, at load above
 * the capacity in waves, in virtual time.
 */

import type {Failure, RequestId, Scheduling, Slice} from '@jackdawfall/core';
import {DEFAULT_TUNING, NO_COST_CLASS} from '@jackdawfall/core';

import type {CallerOutcome} from './daemon.js';
import {scheduleArrivals} from './load.js';
import {SERVICE, SLICES} from './map_copy.js';
import type {Schedule} from './schedule.js';
import {RequestSimulation} from './simulation.js';

/** One kind of requests. */
export interface RequestKind {
  readonly name: string;
  /** Lower values go first. */
  readonly urgency: number;
  /** Share of the first tries. */
  readonly share: number;
  readonly meanRunMs: number;
  readonly timeoutMs: number;
  readonly objectiveMs: number;
}

/** Parameters of the simulation. */
export interface ReturnsExperiment {
  readonly seed: number;
  readonly scheduling: Scheduling;
  /** Whether each request has an owner; else any server may run it. */
  readonly keyed: boolean;
  /** Mean rate of first tries, as a multiple of the capacity. */
  readonly load: number;
  readonly durationMs: number;
  /** Share of the first tries that go to the first slice. */
  readonly hotShare: number;
  readonly servers: number;
}

/** What became of the first tries of one kind, and of those that they led to. */
export interface KindResult {
  calls: number;
  /** Answered within the objective, counted from the first try. */
  good: number;
  /** Answered after it. */
  late: number;
  /** Told at last that it has not run. */
  rejected: number;
  /** Told at last anything else. */
  failed: number;
}

/** The result of a simulation. */
export interface ReturnsResult {
  readonly kinds: ReadonlyMap<string, KindResult>;
  /** Of callers that repeat at once. */
  readonly repeating: KindResult;
  /** Of callers that wait for `Retry-After`. */
  readonly waiting: KindResult;
  /** Of each slice. */
  readonly slices: ReadonlyMap<number, KindResult>;
  readonly tries: number;
  /** Attempts that origins sent, for each first try. */
  readonly attemptsPerCall: number;
  /** Runs on servers, for each first try. */
  readonly runsPerCall: number;
  readonly mostRunning: number;
}

/** Kinds as in the deployments under heavy load. */
export const KINDS: readonly RequestKind[] = [
  {
    name: 'urgent',
    urgency: 0,
    share: 0.3,
    meanRunMs: 220,
    timeoutMs: 1500,
    objectiveMs: 700,
  },
  {
    name: 'usual',
    urgency: 1,
    share: 0.4,
    meanRunMs: 150,
    timeoutMs: 3000,
    objectiveMs: 1200,
  },
  {
    name: 'patient',
    urgency: 2,
    share: 0.3,
    meanRunMs: 80,
    timeoutMs: 8000,
    objectiveMs: 2600,
  },
];

const SLOTS = 10;
const LINK_DELAY_MS = 1;
/** The load swings by this share, in cycles of this length. */
const SWING = 0.55;
const CYCLE_MS = 13_000;
/** Run times have a tail: this share takes so many times the mean. */
const TAIL_SHARE = 0.03;
const TAIL_FACTOR = 7;
/** Servers are slowed by neighbours for a fifth of the time. */
const SLOW_MS = 400;
const SLOW_CYCLE_MS = 2000;
const SLOW_FACTOR = 3;
/** Share of the callers that repeat at once, and how often. */
const REPEATING_SHARE = 1 / 3;
const REPEATS = 3;
const REPEAT_MS = 2;
/** The wait that callers are told where the origin decides none. */
const DEFAULT_WAIT_MS = 150;
const DEFAULT_WAIT_SHARE = 0.3;
/** Callers ignore a longer wait than this share of the time left. */
const MAX_WAIT_SHARE = 1 / 3;

/** A caller with one request, which it may try several times. */
interface Caller {
  readonly kind: RequestKind;
  readonly startedAt: number;
  readonly daemon: number;
  readonly slice: Slice | null;
  readonly repeats: boolean;
  retriesLeft: number;
}

/**
 * Simulates the callers.
 *
 * @param experiment - The parameters.
 * @returns What became of their requests.
 */
export function runReturns(experiment: ReturnsExperiment): ReturnsResult {
  const run = new ReturnsRun(experiment);
  return run.run();
}

class ReturnsRun {
  private readonly callers = new Map<RequestId, Caller>();
  private readonly kinds = new Map(
    KINDS.map(({name}) => [name, emptyResult()] as const),
  );
  private readonly repeating = emptyResult();
  private readonly waiting = emptyResult();
  private readonly slices = new Map<number, KindResult>();
  private readonly simulation: RequestSimulation;
  private tries = 0;

  constructor(private readonly experiment: ReturnsExperiment) {
    this.simulation = new RequestSimulation({
      seed: experiment.seed,
      daemons: experiment.servers,
      slots: SLOTS,
      linkDelayMs: LINK_DELAY_MS,
      settings: DEFAULT_TUNING,
      maxMapLagMs: 0,
      scheduling: experiment.scheduling,
      reportsColdStart: true,
      onOutcome: outcome => this.handleOutcome(outcome),
      behaviour: (schedule, server) => ({
        serviceMs: request => this.drawRunMs(schedule, server, request),
        maxRuns: () => SLOTS,
      }),
    });
  }

  run(): ReturnsResult {
    const {experiment, simulation} = this;
    const {schedule} = simulation;
    const meanMs = KINDS.reduce(
      (sum, {share, meanRunMs}) => sum + share * meanRunMs,
      0,
    );
    const slowShare = SLOW_MS / SLOW_CYCLE_MS;
    const speed = 1 - slowShare + slowShare / SLOW_FACTOR;
    const capacity = (experiment.servers * SLOTS * 1000 * speed) / meanMs;
    const {durationMs, load} = experiment;
    // Thinning: arrivals at the highest rate, of which the wave keeps a part.
    const rate = capacity * load * (1 + SWING);
    scheduleArrivals(schedule, {rate, durationMs}, () => {
      const phase = (2 * Math.PI * schedule.now) / CYCLE_MS;
      const wave = (1 + SWING * Math.sin(phase)) / (1 + SWING);
      if (schedule.random() < wave) this.start();
    });
    schedule.run(durationMs + Math.max(...KINDS.map(each => each.timeoutMs)));
    return this.resultOf();
  }

  private resultOf(): ReturnsResult {
    const {simulation, kinds, repeating, waiting, tries} = this;
    const calls = repeating.calls + waiting.calls;
    const sum = (values: number[]) => values.reduce((a, b) => a + b, 0);
    const attempts = sum(simulation.daemons.map(each => each.routing.sequence));
    const runs = sum(
      simulation.servers.flatMap(({runCounts}) => [...runCounts.values()]),
    );
    return {
      kinds,
      repeating,
      waiting,
      slices: this.slices,
      tries,
      attemptsPerCall: attempts / calls,
      runsPerCall: runs / calls,
      mostRunning: Math.max(
        ...simulation.servers.map(({mostRunning}) => mostRunning),
      ),
    };
  }

  private start(): void {
    const {schedule} = this.simulation;
    const kind = drawKind(schedule.random());
    const repeats = schedule.random() < REPEATING_SHARE;
    const isHot = schedule.random() < this.experiment.hotShare;
    const slice = Math.floor(schedule.random() * SLICES);
    const retriesLeft = repeats ? REPEATS : 1 + Math.round(schedule.random());
    const caller = {
      kind,
      repeats,
      retriesLeft,
      startedAt: schedule.now,
      daemon: Math.floor(schedule.random() * this.experiment.servers),
      slice: this.experiment.keyed ? ((isHot ? 0 : slice) as Slice) : null,
    };
    this.count(caller, 'calls');
    this.try(caller);
  }

  private try(caller: Caller): void {
    const {kind, daemon, slice, startedAt} = caller;
    const timeoutMs = startedAt + kind.timeoutMs - this.simulation.schedule.now;
    this.tries += 1;
    const request = `r${this.tries}` as RequestId;
    this.callers.set(request, caller);
    this.simulation.call(daemon, {
      request,
      service: SERVICE,
      slice,
      idempotent: false,
      priority: 'interactive',
      timeoutMs,
      objectiveMs: kind.objectiveMs,
      maxAttempts: null,
      idempotencyKey: null,
      tenant: null,
      costClass: NO_COST_CLASS,
      urgency: kind.urgency,
    });
  }

  private handleOutcome({request, failure}: CallerOutcome): void {
    const caller = this.callers.get(request);
    if (caller === undefined) return;
    this.callers.delete(request);
    const {schedule} = this.simulation;
    const ageMs = schedule.now - caller.startedAt;
    if (failure === null) {
      this.count(caller, ageMs <= caller.kind.objectiveMs ? 'good' : 'late');
      return;
    }
    const waitMs = waitBeforeRetry(caller, failure, ageMs);
    if (waitMs === null) {
      this.count(caller, failure.run === 'not-run' ? 'rejected' : 'failed');
      return;
    }
    caller.retriesLeft -= 1;
    schedule.after(waitMs, () => this.try(caller));
  }

  private count(caller: Caller, field: keyof KindResult): void {
    this.kinds.get(caller.kind.name)![field] += 1;
    if (caller.slice !== null) {
      const slice = this.slices.get(caller.slice) ?? emptyResult();
      this.slices.set(caller.slice, slice);
      slice[field] += 1;
    }
    const group = caller.repeats ? this.repeating : this.waiting;
    group[field] += 1;
  }

  private drawRunMs(
    schedule: Schedule,
    server: number,
    request: RequestId,
  ): number {
    const meanMs = this.callers.get(request)?.kind.meanRunMs ?? 0;
    // The mean of all runs is `meanMs`; those of the tail take longer.
    const bulkMs = (meanMs * (1 - TAIL_SHARE * TAIL_FACTOR)) / (1 - TAIL_SHARE);
    const isTail = schedule.random() < TAIL_SHARE;
    const drawnMs = isTail
      ? meanMs * TAIL_FACTOR
      : bulkMs / 2 + schedule.exponential(bulkMs / 2);
    const shiftMs = (server * SLOW_CYCLE_MS) / this.experiment.servers;
    const isSlow = (schedule.now + shiftMs) % SLOW_CYCLE_MS < SLOW_MS;
    return drawnMs * (isSlow ? SLOW_FACTOR : 1);
  }
}

/** Returns the time until the caller's next try, or null if it gives up. */
function waitBeforeRetry(
  {kind, repeats, retriesLeft}: Caller,
  {run, retryAfterMs}: Failure,
  ageMs: number,
): number | null {
  const leftMs = kind.timeoutMs - ageMs;
  if (retriesLeft === 0 || leftMs <= 0 || run !== 'not-run') return null;
  if (repeats) return REPEAT_MS;
  if (retryAfterMs === null) return null;
  const waitMs =
    retryAfterMs ?? Math.min(DEFAULT_WAIT_MS, leftMs * DEFAULT_WAIT_SHARE);
  return waitMs <= leftMs * MAX_WAIT_SHARE ? waitMs : null;
}

function drawKind(random: number): RequestKind {
  let rest = random;
  for (const kind of KINDS) {
    if (rest < kind.share) return kind;
    rest -= kind.share;
  }
  return KINDS[0];
}

function emptyResult(): KindResult {
  return {calls: 0, good: 0, late: 0, rejected: 0, failed: 0};
}
