/** @fileoverview State of admission control for one backend server. */

import type {AttemptId, InstanceId} from '../ids/types.js';
import type {Tuning} from '../settings/defaults.js';
import type {Priority} from '../workspace/types.js';

/** Tuning of admission. */
export type AdmissionTuning = Tuning['admission'];

/** One attempt that waits for a slot. */
export interface QueuedAttempt {
  readonly attempt: AttemptId;
  /** Order in the queue; 0 goes first. */
  readonly urgency: number;
  /** Latency objective of the response, in milliseconds; 0 if none. */
  readonly objectiveMs: number;
  /**
   * Monotonic time by which it goes before others of its urgency, in
   * milliseconds: its deadline by the latency objective or, by cost, the latest
   * start to meet it.
   */
  readonly startBy: number;
  /** Expected run time, in milliseconds; 0 if it is queued by count. */
  readonly expectedMs: number;
  /** Monotonic time at which it is rejected, in milliseconds. */
  readonly expiresAt: number;
}

/**
 * Running estimate of the median latency of one class of runs (stochastic
 * approximation): each sample moves it up or down by a relative step.
 */
export interface LatencyBaseline {
  latencyMs: number;
  /** Number of runs it was learnt from. */
  samples: number;
}

/** Arrivals of work of one rank, counted in windows of a second. */
export interface ArrivalCount {
  /** Monotonic time at which the window began, in milliseconds. */
  windowStart: number;
  count: number;
  /**
   * Whether the previous window had at least `MIN_FREQUENT_ARRIVALS` arrivals.
   */
  frequent: boolean;
}

/** Cold start (warm-up) of a server that reports one. */
export interface ColdPhase {
  /** Monotonic time at which the server is warm, in milliseconds. */
  readonly warmAt: number;
  /** Maximum number of runs that may start in a second before that. */
  readonly perSecond: number;
}

/**
 * Why the limit was reset to one, as the log event `limitFellBack` tells: a new
 * instance of the server, a run that the server refused (`shed`; this daemon
 * itself rejected nothing), or a jump in latency.
 */
export type LimitResetCause = 'instance' | 'shed' | 'latency';

/** Concurrency limit of the backend server, and the queues before it. */
export interface Admission {
  readonly tuning: AdmissionTuning;
  instance: InstanceId | null;
  /** Upper bound of the limit: the lesser of slots and connections. */
  maxLimit: number;
  /** Runs allowed at the same time now. */
  limit: number;
  /** Recent arrivals of each rank. */
  readonly arrivals: Map<number, ArrivalCount>;
  /** Runs started on the server and not yet over. */
  running: number;
  /** Monotonic times of the starts in the last second of a cold start. */
  recentStarts: number[];
  /** Deferrable ones among the runs in `running`. */
  runningDeferrable: number;
  /** Completions since the limit last changed. */
  completions: number;
  /**
   * Factor on the completions needed before the limit grows. It doubles when
   * the server refuses a run, so the limit grows more slowly after that.
   */
  growthPenalty: number;
  /**
   * True during slow start: from a reset of the limit until it is back at
   * `maxLimit`.
   */
  inSlowStart: boolean;
  /**
   * Monotonic time of the last reset; runs that started before it cause no
   * further reset.
   */
  limitResetAt: number;
  /** Ratios of latency to baseline in the current window. */
  latencyRatios: number[];
  /** Latest monotonic time at which the interactive queue was empty. */
  queueEmptyAt: number;
  /** Moving mean of the time of a run, in milliseconds; 0 before the first. */
  meanRunMs: number;
  /** Number of runs in `meanRunMs`; the first ones have equal weights. */
  meanSamples: number;
  /**
   * Reported cold start; null if the server reports none. The limit is then
   * learnt.
   */
  cold: ColdPhase | null;
  /** Baselines by latency class of the runs. */
  readonly baselines: Map<string, LatencyBaseline>;
  readonly queues: Record<Priority, QueuedAttempt[]>;
  /** Starts since one that is late had its turn, see `nextByCost`. */
  lateSkips: number;
}

/** What is expected of the runs at a server, for scheduling by cost. */
export interface SlotCost {
  /** Expected run time of the attempt, in milliseconds, above 0. */
  readonly expectedMs: number;
  /** Expected remaining times of what runs, in milliseconds. */
  readonly remainingMs: readonly number[];
}

/** An attempt that asks for a slot. */
export interface SlotRequest {
  readonly attempt: AttemptId;
  readonly priority: Priority;
  /** Monotonic time of its deadline, in milliseconds. */
  readonly deadline: number;
  /** Whether another server may run it. */
  readonly shared: boolean;
  /** Order in the queue; 0 goes first. */
  readonly urgency: number;
  /** Latency objective of the response, in milliseconds; 0 if none. */
  readonly objectiveMs: number;
  /** Absent: the decision goes by counts. */
  readonly cost?: SlotCost | undefined;
}

/**
 * The decision on an attempt that asks for a slot; `refuse` means that this
 * daemon rejects it.
 */
export type AdmissionDecision = 'start' | 'wait' | 'refuse';

/** A run that is over. */
export interface CompletedRun {
  readonly priority: Priority;
  /** Runs of the same class have comparable latencies. */
  readonly latencyClass: string;
  /** Monotonic time at which it started, in milliseconds. */
  readonly startedAt: number;
}
