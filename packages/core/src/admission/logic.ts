/**
 * @fileoverview How much work the backend server beside this daemon gets.
 * The limit starts at one and grows by completed work; shedding, a new
 * instance or a jump in latency set it back to one. Reports of load or health
 * play no part.
 */

import type {AttemptId} from '../ids/types.js';
import type {Announcement, ColdStart} from '../loop/types.js';
import {isCold, knownWarmAt, hasColdStartCapacity} from './cold_start.js';
import {reservedSlots, recordArrival} from './ranks.js';
import type {SlotClaim} from './ranks.js';
import type {Priority} from '../workspace/types.js';
import type {
  Admission,
  AdmissionPolicy,
  SlotRequest,
  CompletedRun,
  AdmissionDecision,
  LimitResetCause,
  QueuedAttempt,
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
    maxLimit: 0,
    limit: 0,
    arrivals: new Map(),
    running: 0,
    recentStarts: [],
    runningDeferrable: 0,
    completions: 0,
    growthPenalty: 1,
    ramping: true,
    limitResetAt: -Infinity,
    latencyRatios: [],
    queueEmptyAt: -Infinity,
    meanRunMs: 0,
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
export function applyAnnouncement(
  gate: Admission,
  said: Announcement,
  now: number,
): LimitResetCause | null {
  gate.maxLimit = Math.max(0, Math.min(said.slots, said.connections));
  gate.limit = Math.min(gate.limit, gate.maxLimit);
  if (said.coldStart !== null) {
    takeReport(gate, said, said.coldStart, now);
    return null;
  }
  gate.cold = null;
  if (gate.instance === said.instance) return null;
  gate.instance = said.instance;
  gate.growthPenalty = 1;
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
  const until = Math.max(now + remainingMs, knownWarmAt(gate, said));
  gate.instance = said.instance;
  gate.limit = gate.maxLimit;
  gate.ramping = false;
  gate.cold = {warmAt: until, perSecond};
}

/**
 * Closes the gate: the server is gone.
 *
 * @param gate - The gate.
 */
export function close(gate: Admission): void {
  gate.instance = null;
  gate.maxLimit = 0;
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
export function offer(
  gate: Admission,
  asking: SlotRequest,
  now: number,
): AdmissionDecision {
  const {attempt, priority, deadline, urgency, objectiveMs} = asking;
  const queue = gate.queues[priority];
  noteEmpty(gate, now);
  recordArrival(gate, asking, now);
  if (queue.length === 0 && hasSlot(gate, asking, now)) return 'start';
  if (queue.length >= gate.maxLimit * gate.policy.queueFactor) return 'refuse';
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
function goesBefore(a: QueuedAttempt, b: QueuedAttempt): boolean {
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
export function recordStart(
  gate: Admission,
  priority: Priority,
  now: number,
): void {
  gate.running += 1;
  if (isCold(gate, now)) gate.recentStarts.push(now);
  if (priority === 'deferrable') gate.runningDeferrable += 1;
}

/**
 * Takes the next attempt that may start.
 *
 * @param gate - The gate.
 * @param now - Monotonic time, in milliseconds.
 * @returns The attempt with its class, or null.
 */
export function dequeueNext(
  gate: Admission,
  now: number,
): {readonly waiting: QueuedAttempt; readonly priority: Priority} | null {
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
export function dequeueExpired(gate: Admission, now: number): AttemptId[] {
  if (nextExpiry(gate) > now) return [];
  return dequeueWhere(gate, waiting => waiting.until <= now);
}

/**
 * Removes waiting attempts.
 *
 * @param gate - The gate.
 * @param chosen - Which to remove.
 * @returns The attempts removed.
 */
export function dequeueWhere(
  gate: Admission,
  chosen: (waiting: QueuedAttempt) => boolean,
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
export function releaseSlot(gate: Admission, priority: Priority): void {
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
export function recordShed(
  gate: Admission,
  run: CompletedRun,
  now: number,
): LimitResetCause | null {
  releaseSlot(gate, run.priority);
  if (run.startedAt < gate.limitResetAt || gate.cold !== null) return null;
  gate.growthPenalty = Math.min(MAX_CAUTION, gate.growthPenalty * 2);
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
export function recordCompletion(
  gate: Admission,
  run: CompletedRun,
  now: number,
): LimitResetCause | null {
  const busy = gate.running * 2 >= gate.limit;
  releaseSlot(gate, run.priority);
  if (run.startedAt < gate.limitResetAt) return null;
  const latencyMs = now - run.startedAt;
  const weight = gate.meanRunMs === 0 ? 1 : MEAN_WEIGHT;
  gate.meanRunMs += (latencyMs - gate.meanRunMs) * weight;
  learn(gate, run.label, latencyMs);
  if (busy) gate.completions += 1;
  if (gate.cold !== null) {
    gate.latencyRatios = [];
    return null;
  }
  const window = Math.max(MIN_WINDOW, gate.limit);
  if (gate.latencyRatios.length < window) return null;
  const ratio = medianOf(gate.latencyRatios);
  gate.latencyRatios = [];
  return adapt(gate, ratio, now);
}

/**
 * Finds the usual latency of runs with a label.
 *
 * @param gate - The gate.
 * @param label - The label.
 * @returns Milliseconds, or 0 if unknown.
 */
export function baselineLatencyMs(gate: Admission, label: string): number {
  return gate.baselines.get(label)?.latencyMs ?? 0;
}

function adapt(
  gate: Admission,
  ratio: number,
  now: number,
): LimitResetCause | null {
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
  const needed =
    gate.limit * gate.policy.growthCompletions * gate.growthPenalty;
  if (gate.completions < needed) return;
  gate.completions = 0;
  gate.limit = Math.min(gate.maxLimit, gate.limit + 1);
  if (gate.limit < gate.maxLimit) return;
  gate.ramping = false;
  gate.growthPenalty = 1;
}

/** The baseline starts anew: what follows is measured at a limit of one. */
function relapse(gate: Admission, now: number): void {
  gate.limit = Math.min(1, gate.maxLimit);
  gate.ramping = true;
  gate.completions = 0;
  gate.latencyRatios = [];
  gate.limitResetAt = now;
  gate.baselines.clear();
}

/** Medians throughout: a few long runs say nothing about the server. */
function learn(gate: Admission, label: string, latencyMs: number): void {
  const baseline = gate.baselines.get(label);
  if (baseline === undefined) {
    gate.baselines.set(label, {latencyMs, samples: 1});
    gate.latencyRatios.push(1);
    return;
  }
  gate.latencyRatios.push(latencyMs / Math.max(baseline.latencyMs, LEAST_MS));
  baseline.samples += 1;
  const step = Math.max(BASELINE_STEP, 1 / baseline.samples);
  const rises = latencyMs > baseline.latencyMs;
  baseline.latencyMs *= rises ? 1 + step : 1 - step;
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}

function hasSlot(gate: Admission, claim: SlotClaim, now: number): boolean {
  const {priority} = claim;
  if (gate.running >= gate.limit - reservedSlots(gate, claim, now)) {
    return false;
  }
  if (isCold(gate, now) && !hasColdStartCapacity(gate, now)) return false;
  if (priority === 'interactive') return true;
  if (gate.queues.interactive.length > 0) return false;
  const share = Math.floor(gate.limit * gate.policy.deferrableShare);
  return gate.runningDeferrable < Math.max(1, share);
}

/** What would wait in vain is refused at once, so that others may take it. */
function expectedWaitMs(gate: Admission, ahead: number): number {
  if (gate.limit === 0) return 0;
  return (ahead * gate.meanRunMs) / gate.limit;
}

/**
 * A queue that lasts means overload: waiting longer would only add to the
 * latency of every answer. Shared work waits half as long, since it may have
 * to wait at another server as well.
 */
function queueTimeMs(
  gate: Admission,
  asking: SlotRequest,
  now: number,
): number {
  const {policy} = gate;
  if (asking.priority === 'deferrable') return policy.deferrableQueueMs;
  const share = asking.shared ? SHARED_WAIT : 1;
  if (gate.cold !== null && asking.objectiveMs > 0) {
    const shareMs = policy.objectiveShare * asking.objectiveMs;
    return Math.max(policy.leastQueueMs, shareMs);
  }
  if (gate.ramping) return policy.rampQueueMs * share;
  if (now - gate.queueEmptyAt > STANDING_MS) return policy.queueMs * share;
  return Math.max(policy.queueMs, gate.meanRunMs) * share;
}

function noteEmpty(gate: Admission, now: number): void {
  if (gate.queues.interactive.length === 0) gate.queueEmptyAt = now;
}
