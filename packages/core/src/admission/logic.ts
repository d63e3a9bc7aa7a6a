/**
 * @fileoverview How much work the backend server beside this daemon gets.
 * The limit starts at one and grows by completed work; shedding, a new
 * instance or a jump in latency set it back to one. Reports of load or health
 * play no part.
 */

import type {AttemptId} from '../ids/types.js';
import type {Announcement, ColdStart} from '../loop/types.js';
import {isCold, knownUntil, mayStartCold} from './cold.js';
import {keptFree, noteArrival} from './ranks.js';
import type {Claim} from './ranks.js';
import type {Priority} from '../workspace/types.js';
import type {
  Admission,
  AdmissionPolicy,
  Asking,
  Completion,
  Decision,
  RelapseCause,
  Waiting,
} from './types.js';

const MAX_CAUTION = 8;
/** Fewest completions that a latency decision is taken from. */
const MIN_WINDOW = 16;
/** Shorter latencies count as this one, in milliseconds. */
const LEAST_MS = 1;
/** Least step of a baseline towards a sample, as a share of itself. */
const BASELINE_STEP = 0.01;
/** Part of the usual wait that shared work is given. */
const SHARED_WAIT = 0.5;
/** A queue that was never empty for so long is not a burst. */
const STANDING_MS = 100;
/** Weight of a sample in the mean. */
const MEAN_WEIGHT = 0.05;

/**
 * Creates a gate that admits nothing until a server announces itself.
 *
 * @param policy - Settings.
 * @returns The gate.
 */
export function createAdmission(policy: AdmissionPolicy): Admission {
  return {
    policy,
    instance: null,
    ceiling: 0,
    limit: 0,
    arrivals: new Map(),
    running: 0,
    coldStarts: [],
    runningDeferrable: 0,
    completions: 0,
    caution: 1,
    ramping: true,
    relapsedAt: -Infinity,
    ratios: [],
    emptyAt: -Infinity,
    meanMs: 0,
    cold: null,
    baselines: new Map(),
    queues: {interactive: [], deferrable: []},
  };
}

/**
 * Takes in what the server says of itself.
 *
 * @param gate - The gate.
 * @param said - The announcement.
 * @param now - Monotonic time, in milliseconds.
 * @returns The cause of a relapse, or null.
 */
export function announce(
  gate: Admission,
  said: Announcement,
  now: number,
): RelapseCause | null {
  gate.ceiling = Math.max(0, Math.min(said.slots, said.connections));
  gate.limit = Math.min(gate.limit, gate.ceiling);
  if (said.coldStart !== null) {
    takeReport(gate, said, said.coldStart, now);
    return null;
  }
  gate.cold = null;
  if (gate.instance === said.instance) return null;
  gate.instance = said.instance;
  gate.caution = 1;
  relapse(gate, now);
  return 'instance';
}

/** A server that tells its cold start is given its slots from the start. */
function takeReport(
  gate: Admission,
  said: Announcement,
  {remainingMs, perSecond}: ColdStart,
  now: number,
): void {
  if (gate.instance !== said.instance) gate.baselines.clear();
  const until = Math.max(now + remainingMs, knownUntil(gate, said));
  gate.instance = said.instance;
  gate.limit = gate.ceiling;
  gate.ramping = false;
  gate.cold = {until, perSecond};
}

/**
 * Closes the gate: the server is gone.
 *
 * @param gate - The gate.
 */
export function close(gate: Admission): void {
  gate.instance = null;
  gate.ceiling = 0;
  gate.limit = 0;
}

/**
 * Decides about an attempt that arrives.
 *
 * @param gate - The gate.
 * @param asking - The attempt.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether it starts, waits in the gate's queue, or is refused.
 */
export function offer(gate: Admission, asking: Asking, now: number): Decision {
  const {attempt, priority, deadline, urgency, objectiveMs} = asking;
  const queue = gate.queues[priority];
  noteEmpty(gate, now);
  noteArrival(gate, asking, now);
  if (queue.length === 0 && hasSlot(gate, asking, now)) return 'start';
  if (queue.length >= gate.ceiling * gate.policy.queueFactor) return 'refuse';
  const queueMs = queueTimeMs(gate, asking, now);
  const until = Math.min(deadline, now + queueMs);
  const due = now + objectiveMs;
  const waiting = {attempt, since: now, until, urgency, objectiveMs, due};
  const ahead = queue.findLastIndex(each => !goesBefore(waiting, each)) + 1;
  if (expectedWaitMs(gate, ahead) > queueMs) return 'refuse';
  queue.splice(ahead, 0, waiting);
  return 'wait';
}

/** The most urgent first; of those alike, the one that is due first. */
function goesBefore(a: Waiting, b: Waiting): boolean {
  if (a.urgency !== b.urgency) return a.urgency < b.urgency;
  return a.due < b.due;
}

/**
 * Counts a run that begins.
 *
 * @param gate - The gate.
 * @param priority - The run's class.
 * @param now - Monotonic time, in milliseconds.
 */
export function begin(gate: Admission, priority: Priority, now: number): void {
  gate.running += 1;
  if (isCold(gate, now)) gate.coldStarts.push(now);
  if (priority === 'deferrable') gate.runningDeferrable += 1;
}

/**
 * Takes the next attempt that may start.
 *
 * @param gate - The gate.
 * @param now - Monotonic time, in milliseconds.
 * @returns The attempt with its class, or null.
 */
export function takeNext(
  gate: Admission,
  now: number,
): {readonly waiting: Waiting; readonly priority: Priority} | null {
  for (const priority of ['interactive', 'deferrable'] as const) {
    const [waiting] = gate.queues[priority];
    if (waiting === undefined) continue;
    if (!hasSlot(gate, {...waiting, priority}, now)) continue;
    gate.queues[priority].shift();
    return {waiting, priority};
  }
  return null;
}

/**
 * Removes the attempts whose time in the queue is over.
 *
 * @param gate - The gate.
 * @param now - Monotonic time, in milliseconds.
 * @returns The attempts removed.
 */
export function takeExpired(gate: Admission, now: number): AttemptId[] {
  if (nextExpiry(gate) > now) return [];
  return takeWhere(gate, waiting => waiting.until <= now);
}

/**
 * Removes waiting attempts.
 *
 * @param gate - The gate.
 * @param chosen - Which to remove.
 * @returns The attempts removed.
 */
export function takeWhere(
  gate: Admission,
  chosen: (waiting: Waiting) => boolean,
): AttemptId[] {
  const taken: AttemptId[] = [];
  for (const queue of Object.values(gate.queues)) {
    const kept = queue.filter(waiting => !chosen(waiting));
    if (kept.length === queue.length) continue;
    taken.push(...queue.filter(chosen).map(waiting => waiting.attempt));
    queue.splice(0, queue.length, ...kept);
  }
  return taken;
}

/**
 * Finds when the next waiting attempt is due to be refused.
 *
 * @param gate - The gate.
 * @returns Monotonic time in milliseconds, or Infinity.
 */
export function nextExpiry(gate: Admission): number {
  let next = Infinity;
  for (const queue of Object.values(gate.queues)) {
    for (const {until} of queue) next = Math.min(next, until);
  }
  return next;
}

/**
 * Counts a run that is over without an answer worth learning from.
 *
 * @param gate - The gate.
 * @param priority - The run's class.
 */
export function release(gate: Admission, priority: Priority): void {
  gate.running -= 1;
  if (priority === 'deferrable') gate.runningDeferrable -= 1;
}

/**
 * Counts a run that the server refused to start.
 *
 * @param gate - The gate.
 * @param run - The run.
 * @param now - Monotonic time, in milliseconds.
 * @returns The cause of a relapse, or null.
 */
export function shed(
  gate: Admission,
  run: Completion,
  now: number,
): RelapseCause | null {
  release(gate, run.priority);
  if (run.startedAt < gate.relapsedAt || gate.cold !== null) return null;
  gate.caution = Math.min(MAX_CAUTION, gate.caution * 2);
  relapse(gate, now);
  return 'shed';
}

/**
 * Counts a run with a whole answer, and adapts the limit.
 *
 * @param gate - The gate.
 * @param run - The run.
 * @param now - Monotonic time, in milliseconds.
 * @returns The cause of a relapse, or null.
 */
export function complete(
  gate: Admission,
  run: Completion,
  now: number,
): RelapseCause | null {
  const busy = gate.running * 2 >= gate.limit;
  release(gate, run.priority);
  if (run.startedAt < gate.relapsedAt) return null;
  const latencyMs = now - run.startedAt;
  const weight = gate.meanMs === 0 ? 1 : MEAN_WEIGHT;
  gate.meanMs += (latencyMs - gate.meanMs) * weight;
  learn(gate, run.label, latencyMs);
  if (busy) gate.completions += 1;
  if (gate.cold !== null) {
    gate.ratios = [];
    return null;
  }
  const window = Math.max(MIN_WINDOW, gate.limit);
  if (gate.ratios.length < window) return null;
  const ratio = medianOf(gate.ratios);
  gate.ratios = [];
  return adapt(gate, ratio, now);
}

/**
 * Finds the usual latency of runs with a label.
 *
 * @param gate - The gate.
 * @param label - The label.
 * @returns Milliseconds, or 0 if unknown.
 */
export function usualLatencyMs(gate: Admission, label: string): number {
  return gate.baselines.get(label)?.latencyMs ?? 0;
}

function adapt(
  gate: Admission,
  ratio: number,
  now: number,
): RelapseCause | null {
  const {policy} = gate;
  if (ratio >= policy.jumpRatio && gate.limit > 1) {
    relapse(gate, now);
    return 'latency';
  }
  if (ratio >= policy.slowRatio) {
    gate.limit = Math.max(1, Math.floor(gate.limit * policy.decrease));
    gate.completions = 0;
    return null;
  }
  grow(gate);
  return null;
}

function grow(gate: Admission): void {
  const needed = gate.limit * gate.policy.growthCompletions * gate.caution;
  if (gate.completions < needed) return;
  gate.completions = 0;
  gate.limit = Math.min(gate.ceiling, gate.limit + 1);
  if (gate.limit < gate.ceiling) return;
  gate.ramping = false;
  gate.caution = 1;
}

/** The baseline starts anew: what follows is measured at a limit of one. */
function relapse(gate: Admission, now: number): void {
  gate.limit = Math.min(1, gate.ceiling);
  gate.ramping = true;
  gate.completions = 0;
  gate.ratios = [];
  gate.relapsedAt = now;
  gate.baselines.clear();
}

/** Medians throughout: a few long runs say nothing about the server. */
function learn(gate: Admission, label: string, latencyMs: number): void {
  const baseline = gate.baselines.get(label);
  if (baseline === undefined) {
    gate.baselines.set(label, {latencyMs, samples: 1});
    gate.ratios.push(1);
    return;
  }
  gate.ratios.push(latencyMs / Math.max(baseline.latencyMs, LEAST_MS));
  baseline.samples += 1;
  const step = Math.max(BASELINE_STEP, 1 / baseline.samples);
  const rises = latencyMs > baseline.latencyMs;
  baseline.latencyMs *= rises ? 1 + step : 1 - step;
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}

function hasSlot(gate: Admission, claim: Claim, now: number): boolean {
  const {priority} = claim;
  if (gate.running >= gate.limit - keptFree(gate, claim, now)) return false;
  if (isCold(gate, now) && !mayStartCold(gate, now)) return false;
  if (priority === 'interactive') return true;
  if (gate.queues.interactive.length > 0) return false;
  const share = Math.floor(gate.limit * gate.policy.deferrableShare);
  return gate.runningDeferrable < Math.max(1, share);
}

/** What would wait in vain is refused at once, so that others may take it. */
function expectedWaitMs(gate: Admission, ahead: number): number {
  if (gate.limit === 0) return 0;
  return (ahead * gate.meanMs) / gate.limit;
}

/**
 * A queue that lasts means overload: waiting longer would only add to the
 * latency of every answer. Shared work waits half as long, since it may have
 * to wait at another server as well.
 */
function queueTimeMs(gate: Admission, asking: Asking, now: number): number {
  const {policy} = gate;
  if (asking.priority === 'deferrable') return policy.deferrableQueueMs;
  const share = asking.shared ? SHARED_WAIT : 1;
  if (gate.cold !== null && asking.objectiveMs > 0) {
    const shareMs = policy.objectiveShare * asking.objectiveMs;
    return Math.max(policy.leastQueueMs, shareMs);
  }
  if (gate.ramping) return policy.rampQueueMs * share;
  if (now - gate.emptyAt > STANDING_MS) return policy.queueMs * share;
  return Math.max(policy.queueMs, gate.meanMs) * share;
}

function noteEmpty(gate: Admission, now: number): void {
  if (gate.queues.interactive.length === 0) gate.emptyAt = now;
}
