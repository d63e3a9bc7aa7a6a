/**
 * @fileoverview Adaptive concurrency limit and queues for the local backend
 * server. The limit starts at one and grows with completed runs (slow start); a
 * run that the server refused, a new instance or a jump in latency resets it to
 * one. The server's own reports of load or health are not used. A server that
 * reports its cold start gets all its slots immediately, at a limited start
 * rate while it is cold.
 */

import type {AttemptId} from '../ids/types.js';
import type {Announcement, ColdStart} from '../loop/types.js';
import {
  expectedStartMs,
  latestStartAt,
  maxUsefulWaitMs,
  missesDeadline,
  nextByCost,
} from './cost_order.js';
import {hasColdStartCapacity, isCold, knownWarmAt} from './cold_start.js';
import {recordArrival, reservedSlots} from './ranks.js';
import type {SlotClaim} from './ranks.js';
import type {Priority} from '../workspace/types.js';
import type {
  Admission,
  AdmissionDecision,
  AdmissionTuning,
  CompletedRun,
  LimitResetCause,
  QueuedAttempt,
  SlotRequest,
} from './types.js';

/** Maximum of `Admission.growthPenalty`. */
const MAX_GROWTH_PENALTY = 8;
/** Minimum number of completions that decide about a change in latency. */
const MIN_WINDOW_COMPLETIONS = 16;
/** Minimum baseline used in ratios, in milliseconds. */
const MIN_LATENCY_MS = 1;
/** Minimum relative adjustment of a baseline per sample. */
const MIN_BASELINE_STEP = 0.01;
/** Factor on the maximum queue time for work of shared services. */
const SHARED_WAIT_FACTOR = 0.5;
/** A queue that was not empty for this time is overload rather than a burst. */
const STANDING_QUEUE_MS = 100;
/** Minimum weight of a sample in the moving mean of run times. */
const MIN_MEAN_SAMPLE_WEIGHT = 0.05;
/** Factor by which a wait in a burst may exceed the estimate. */
const BURST_WAIT_MARGIN = 2;

/**
 * Creates an admission state that admits nothing until a server announces
 * itself.
 *
 * @param tuning - Tuning of admission.
 * @returns The state.
 */
export function createAdmission(tuning: AdmissionTuning): Admission {
  return {
    tuning,
    instance: null,
    maxLimit: 0,
    limit: 0,
    arrivals: new Map(),
    running: 0,
    recentStarts: [],
    runningDeferrable: 0,
    completions: 0,
    growthPenalty: 1,
    inSlowStart: true,
    limitResetAt: -Infinity,
    latencyRatios: [],
    queueEmptyAt: -Infinity,
    meanRunMs: 0,
    meanSamples: 0,
    cold: null,
    baselines: new Map(),
    queues: {interactive: [], deferrable: []},
    lateSkips: 0,
  };
}

/**
 * Applies an announcement of the server.
 *
 * @param admission - The admission state.
 * @param announcement - The announcement.
 * @param now - Monotonic time, in milliseconds.
 * @returns The cause if the limit was reset, or null.
 */
export function applyAnnouncement(
  admission: Admission,
  announcement: Announcement,
  now: number,
): LimitResetCause | null {
  admission.maxLimit = Math.max(
    0,
    Math.min(announcement.slots, announcement.connections),
  );
  admission.limit = Math.min(admission.limit, admission.maxLimit);
  if (announcement.coldStart !== null) {
    applyColdStart(admission, announcement, announcement.coldStart, now);
    return null;
  }
  admission.cold = null;
  if (admission.instance === announcement.instance) {
    // The limit grows only with completed runs, of which 0 allows none.
    if (admission.limit === 0) resetLimit(admission, now);
    return null;
  }
  admission.instance = announcement.instance;
  admission.growthPenalty = 1;
  resetLimit(admission, now);
  return 'instance';
}

/** A server that reports its cold start gets its full limit immediately. */
function applyColdStart(
  admission: Admission,
  announcement: Announcement,
  {remainingMs, perSecond}: ColdStart,
  now: number,
): void {
  if (admission.instance !== announcement.instance) admission.baselines.clear();
  const warmAt = Math.max(
    now + remainingMs,
    knownWarmAt(admission, announcement),
  );
  admission.instance = announcement.instance;
  admission.limit = admission.maxLimit;
  admission.inSlowStart = false;
  admission.cold = {warmAt, perSecond};
}

/**
 * Admits nothing more, because the server no longer announces itself.
 *
 * @param admission - The admission state.
 */
export function stopAdmission(admission: Admission): void {
  admission.instance = null;
  admission.maxLimit = 0;
  admission.limit = 0;
}

/**
 * Decides about an attempt that arrives, and queues it if it has to wait.
 *
 * @param admission - The admission state.
 * @param request - The attempt.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether it starts, waits in a queue, or is rejected.
 */
export function admitOrQueue(
  admission: Admission,
  request: SlotRequest,
  now: number,
): AdmissionDecision {
  const {attempt, priority, deadline, urgency, objectiveMs} = request;
  const queue = admission.queues[priority];
  recordEmptyQueue(admission, now);
  recordArrival(admission, request, now);
  if (queue.length === 0 && hasSlot(admission, request, now)) return 'start';
  if (queue.length >= admission.maxLimit * admission.tuning.queueFactor) {
    return 'refuse';
  }
  const startBy = startByOf(request, now);
  const ahead =
    queue.findLastIndex(each => !precedes({urgency, startBy}, each)) + 1;
  const expectedMs = expectedWaitMs(admission, request, ahead);
  const queueMs = maxWaitMs(admission, request, expectedMs, now);
  if (expectedMs > queueMs) return 'refuse';
  const {cost} = request;
  const budgetMs = deadline - now;
  if (cost !== undefined && missesDeadline(cost, expectedMs, budgetMs)) {
    return 'refuse';
  }
  const expiresAt = Math.min(deadline, now + queueMs);
  queue.splice(ahead, 0, {
    attempt,
    expiresAt,
    urgency,
    objectiveMs,
    startBy,
    expectedMs: cost?.expectedMs ?? 0,
  });
  return 'wait';
}

/**
 * Without an objective, work by cost is due at its deadline: otherwise it would
 * go before all work that has one.
 */
function startByOf(
  {cost, objectiveMs, deadline}: SlotRequest,
  now: number,
): number {
  if (cost === undefined) return now + objectiveMs;
  return latestStartAt(cost, objectiveMs > 0 ? now + objectiveMs : deadline);
}

/** The more urgent goes first; of equal urgency, the earliest `startBy`. */
function precedes(
  a: Pick<QueuedAttempt, 'urgency' | 'startBy'>,
  b: QueuedAttempt,
): boolean {
  if (a.urgency !== b.urgency) return a.urgency < b.urgency;
  return a.startBy < b.startBy;
}

/**
 * Counts a run that starts.
 *
 * @param admission - The admission state.
 * @param priority - Priority of the run.
 * @param now - Monotonic time, in milliseconds.
 */
export function recordStart(
  admission: Admission,
  priority: Priority,
  now: number,
): void {
  admission.running += 1;
  if (isCold(admission, now)) admission.recentStarts.push(now);
  if (priority === 'deferrable') admission.runningDeferrable += 1;
}

/**
 * Removes the next attempt that may start from its queue.
 *
 * @param admission - The admission state.
 * @param now - Monotonic time, in milliseconds.
 * @returns The attempt with its priority, or null.
 */
export function dequeueNext(
  admission: Admission,
  now: number,
): {readonly waiting: QueuedAttempt; readonly priority: Priority} | null {
  for (const priority of ['interactive', 'deferrable'] as const) {
    const queue = admission.queues[priority];
    if (queue.length === 0) continue;
    const {index, skipsLate} = nextInQueue(admission, queue, now);
    const waiting = queue[index];
    if (!hasSlot(admission, {...waiting, priority}, now)) continue;
    queue.splice(index, 1);
    admission.lateSkips = skipsLate ? admission.lateSkips + 1 : 0;
    return {waiting, priority};
  }
  return null;
}

/** A queue whose head was queued by count goes in its order. */
function nextInQueue(
  admission: Admission,
  queue: readonly QueuedAttempt[],
  now: number,
): {readonly index: number; readonly skipsLate: boolean} {
  if (queue[0].expectedMs === 0) return {index: 0, skipsLate: false};
  return nextByCost(queue, admission.lateSkips, now);
}

/**
 * Returns whether the queue of interactive work is overload rather than a burst.
 *
 * @param admission - The admission state.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether it was not empty for `STANDING_QUEUE_MS`.
 */
export function hasStandingQueue(admission: Admission, now: number): boolean {
  return now - admission.queueEmptyAt > STANDING_QUEUE_MS;
}

/**
 * Removes the attempts whose time in the queue has expired.
 *
 * @param admission - The admission state.
 * @param now - Monotonic time, in milliseconds.
 * @returns The attempts removed.
 */
export function dequeueExpired(admission: Admission, now: number): AttemptId[] {
  if (nextExpiry(admission) > now) return [];
  return dequeueWhere(admission, waiting => waiting.expiresAt <= now);
}

/**
 * Removes attempts from the queues.
 *
 * @param admission - The admission state.
 * @param matches - Selects the attempts to remove.
 * @returns The attempts removed.
 */
export function dequeueWhere(
  admission: Admission,
  matches: (waiting: QueuedAttempt) => boolean,
): AttemptId[] {
  const removed: AttemptId[] = [];
  for (const queue of Object.values(admission.queues)) {
    const kept = queue.filter(waiting => !matches(waiting));
    if (kept.length === queue.length) continue;
    removed.push(...queue.filter(matches).map(waiting => waiting.attempt));
    queue.splice(0, queue.length, ...kept);
  }
  return removed;
}

/**
 * Returns when the next queued attempt must be rejected.
 *
 * @param admission - The admission state.
 * @returns Monotonic time in milliseconds, or Infinity.
 */
export function nextExpiry(admission: Admission): number {
  let next = Infinity;
  for (const queue of Object.values(admission.queues)) {
    for (const {expiresAt} of queue) next = Math.min(next, expiresAt);
  }
  return next;
}

/**
 * Frees the slot of a run that ended without a latency to learn from.
 *
 * @param admission - The admission state.
 * @param priority - Priority of the run.
 */
export function releaseSlot(admission: Admission, priority: Priority): void {
  admission.running -= 1;
  if (priority === 'deferrable') admission.runningDeferrable -= 1;
}

/**
 * Counts a run that the server refused to start. This resets the limit, unless
 * the run started before the last reset, or the server reports its cold start,
 * in which case its limit isn't learnt.
 *
 * @param admission - The admission state.
 * @param run - The run.
 * @param now - Monotonic time, in milliseconds.
 * @returns The cause if the limit was reset, or null.
 */
export function recordRefused(
  admission: Admission,
  run: CompletedRun,
  now: number,
): LimitResetCause | null {
  releaseSlot(admission, run.priority);
  if (run.startedAt < admission.limitResetAt || admission.cold !== null) {
    return null;
  }
  admission.growthPenalty = Math.min(
    MAX_GROWTH_PENALTY,
    admission.growthPenalty * 2,
  );
  resetLimit(admission, now);
  return 'shed';
}

/**
 * Counts a run with a complete response, and adjusts the limit.
 *
 * @param admission - The admission state.
 * @param run - The run.
 * @param now - Monotonic time, in milliseconds.
 * @returns The cause if the limit was reset, or null.
 */
export function recordCompletion(
  admission: Admission,
  run: CompletedRun,
  now: number,
): LimitResetCause | null {
  const busy = admission.running * 2 >= admission.limit;
  releaseSlot(admission, run.priority);
  if (run.startedAt < admission.limitResetAt) return null;
  const latencyMs = now - run.startedAt;
  admission.meanSamples += 1;
  const weight = Math.max(MIN_MEAN_SAMPLE_WEIGHT, 1 / admission.meanSamples);
  admission.meanRunMs += (latencyMs - admission.meanRunMs) * weight;
  recordLatency(admission, run.latencyClass, latencyMs);
  if (busy) admission.completions += 1;
  if (admission.cold !== null) {
    admission.latencyRatios = [];
    return null;
  }
  const window = Math.max(MIN_WINDOW_COMPLETIONS, admission.limit);
  if (admission.latencyRatios.length < window) return null;
  const ratio = medianOf(admission.latencyRatios);
  admission.latencyRatios = [];
  return adjustLimit(admission, ratio, now);
}

/**
 * Returns the baseline latency of a class of runs.
 *
 * @param admission - The admission state.
 * @param latencyClass - The latency class of the runs.
 * @returns Milliseconds, or 0 if unknown.
 */
export function baselineLatencyMs(
  admission: Admission,
  latencyClass: string,
): number {
  return admission.baselines.get(latencyClass)?.latencyMs ?? 0;
}

function adjustLimit(
  admission: Admission,
  ratio: number,
  now: number,
): LimitResetCause | null {
  const {tuning} = admission;
  if (ratio >= tuning.jumpRatio && admission.limit > 1) {
    resetLimit(admission, now);
    return 'latency';
  }
  if (ratio >= tuning.slowRatio) {
    admission.limit = Math.max(
      1,
      Math.floor(admission.limit * tuning.decrease),
    );
    admission.completions = 0;
    return null;
  }
  growLimit(admission);
  return null;
}

function growLimit(admission: Admission): void {
  const needed =
    admission.limit *
    admission.tuning.growthCompletions *
    admission.growthPenalty;
  if (admission.completions < needed) return;
  admission.completions = 0;
  admission.limit = Math.min(admission.maxLimit, admission.limit + 1);
  if (admission.limit < admission.maxLimit) return;
  admission.inSlowStart = false;
  admission.growthPenalty = 1;
}

/** Clears the baselines too: they are learnt again at a limit of one. */
function resetLimit(admission: Admission, now: number): void {
  admission.limit = Math.min(1, admission.maxLimit);
  admission.inSlowStart = true;
  admission.completions = 0;
  admission.latencyRatios = [];
  admission.limitResetAt = now;
  admission.baselines.clear();
}

/**
 * Adds a sample to a baseline. Baselines and windows use medians, because a few
 * long runs do not show that the server is slow.
 */
function recordLatency(
  admission: Admission,
  latencyClass: string,
  latencyMs: number,
): void {
  const baseline = admission.baselines.get(latencyClass);
  if (baseline === undefined) {
    admission.baselines.set(latencyClass, {latencyMs, samples: 1});
    admission.latencyRatios.push(1);
    return;
  }
  admission.latencyRatios.push(
    latencyMs / Math.max(baseline.latencyMs, MIN_LATENCY_MS),
  );
  baseline.samples += 1;
  const step = Math.max(MIN_BASELINE_STEP, 1 / baseline.samples);
  const rises = latencyMs > baseline.latencyMs;
  baseline.latencyMs *= rises ? 1 + step : 1 - step;
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}

function hasSlot(admission: Admission, claim: SlotClaim, now: number): boolean {
  const {priority} = claim;
  if (
    admission.running >=
    admission.limit - reservedSlots(admission, claim, now)
  ) {
    return false;
  }
  if (isCold(admission, now) && !hasColdStartCapacity(admission, now)) {
    return false;
  }
  if (priority === 'interactive') return true;
  if (admission.queues.interactive.length > 0) return false;
  const share = Math.floor(admission.limit * admission.tuning.deferrableShare);
  return admission.runningDeferrable < Math.max(1, share);
}

/**
 * Estimates the wait behind the attempts ahead. An attempt that would expire in
 * the queue is rejected immediately, so that its origin can try another server.
 * A limit of 0 would divide by zero.
 */
function expectedWaitMs(
  admission: Admission,
  {cost, priority}: SlotRequest,
  ahead: number,
): number {
  if (admission.limit === 0) return 0;
  if (cost !== undefined) {
    let aheadMs = 0;
    for (const {expectedMs} of admission.queues[priority].slice(0, ahead)) {
      aheadMs += expectedMs > 0 ? expectedMs : admission.meanRunMs;
    }
    return expectedStartMs(admission.limit, cost.remainingMs, aheadMs);
  }
  return (ahead * admission.meanRunMs) / admission.limit;
}

/**
 * Returns the maximum time in the queue, by the first of these cases that
 * applies:
 *
 * - Deferrable work: `deferrableQueueMs`.
 * - Work with a latency objective at a server that reports its cold start: a
 *   share of the objective, at least `leastQueueMs`. By cost, a
 *   share of the time that the objective leaves besides the run.
 * - Keyed work in slow start, at a queue that was empty within `burstQueueMs`:
 *   see `maxBurstWaitMs`.
 * - Slow start: `rampQueueMs`.
 * - An interactive queue that was not empty for `STANDING_QUEUE_MS`, which
 *   means overload: `queueMs`. A longer wait would only add to the latency of
 *   every response.
 * - Otherwise the mean run time, at least `queueMs`.
 *
 * By cost, and in the last three cases, work of shared services waits half as
 * long, because it may have to wait at another server as well.
 */
function maxWaitMs(
  admission: Admission,
  request: SlotRequest,
  expectedMs: number,
  now: number,
): number {
  const {tuning} = admission;
  if (request.priority === 'deferrable') return tuning.deferrableQueueMs;
  const share = request.shared ? SHARED_WAIT_FACTOR : 1;
  if (admission.cold !== null && request.objectiveMs > 0) {
    const shareMs =
      request.cost === undefined
        ? tuning.objectiveShare * request.objectiveMs
        : maxUsefulWaitMs(request.cost, request.objectiveMs) * share;
    return Math.max(tuning.leastQueueMs, shareMs);
  }
  if (admission.inSlowStart) {
    const isBurst =
      !request.shared && now - admission.queueEmptyAt <= tuning.burstQueueMs;
    if (!isBurst) return tuning.rampQueueMs * share;
    return maxBurstWaitMs(admission, expectedMs, request.deadline - now);
  }
  if (hasStandingQueue(admission, now)) {
    return tuning.queueMs * share;
  }
  return Math.max(tuning.queueMs, admission.meanRunMs) * share;
}

/**
 * Returns the maximum wait of keyed work in a burst: a queue while the limit is
 * low after little work, such as that of the keys of a handover. Only this
 * server may run it, so it may wait for as long as it is expected to end by its
 * deadline. While the estimate is too low, it waits at least `burstQueueMs`.
 */
function maxBurstWaitMs(
  {tuning, meanRunMs}: Admission,
  expectedMs: number,
  remainingMs: number,
): number {
  const leastMs = Math.min(tuning.burstQueueMs, remainingMs);
  if (expectedMs + meanRunMs > remainingMs) return leastMs;
  return Math.max(leastMs, expectedMs * BURST_WAIT_MARGIN);
}

function recordEmptyQueue(admission: Admission, now: number): void {
  if (admission.queues.interactive.length === 0) admission.queueEmptyAt = now;
}
