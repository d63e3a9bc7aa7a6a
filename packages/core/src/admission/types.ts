/** @fileoverview State of admission control for one backend server. */

import type {AttemptId, InstanceId} from '../ids/types.js';
import type {Tuning} from '../settings/defaults.js';
import type {Priority} from '../workspace/types.js';

/** Settings of admission. */
export type AdmissionPolicy = Tuning['admission'];

/** One attempt that waits for a slot. */
export interface QueuedAttempt {
  readonly attempt: AttemptId;
  /** Monotonic time at which it was queued, in milliseconds. */
  readonly queuedAt: number;
  /** Order in the queue; 0 goes first. */
  readonly urgency: number;
  /** Latency objective of the response, in milliseconds; 0 if none. */
  readonly objectiveMs: number;
  /** Monotonic time at which the objective ends, in milliseconds. */
  readonly dueAt: number;
  /** Monotonic time at which it is refused, in milliseconds. */
  readonly expiresAt: number;
}

/** Running estimate of the median latency of runs with one label. */
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
  /** Whether the previous window had frequent arrivals. */
  frequent: boolean;
}

/** Cold start of a server that reports one. */
export interface ColdPhase {
  /** Monotonic time at which the server is warm, in milliseconds. */
  readonly warmAt: number;
  /** Most runs that may start in a second before that. */
  readonly perSecond: number;
}

/** Why the limit was reset to one. */
export type LimitResetCause = 'instance' | 'shed' | 'latency';

/** Concurrency limit of the backend server, and the queues before it. */
export interface Admission {
  readonly policy: AdmissionPolicy;
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
  /** Factor on the completions needed to grow; doubles when a run is shed. */
  growthPenalty: number;
  /** True from a reset of the limit until it is back at `maxLimit`. */
  ramping: boolean;
  /** Time of the last reset; runs that started before it cause no other. */
  limitResetAt: number;
  /** Ratios of latency to baseline in the current window. */
  latencyRatios: number[];
  /** Latest monotonic time at which the interactive queue was empty. */
  queueEmptyAt: number;
  /** Moving mean of the time of a run, in milliseconds; 0 before the first. */
  meanRunMs: number;
  /** Reported cold start; null if the server reports none, so limits are learnt. */
  cold: ColdPhase | null;
  /** Baselines by label of the runs. */
  readonly baselines: Map<string, LatencyBaseline>;
  readonly queues: Record<Priority, QueuedAttempt[]>;
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
}

/** The decision on an attempt that asks for a slot. */
export type AdmissionDecision = 'start' | 'wait' | 'refuse';

/** A run that is over. */
export interface CompletedRun {
  readonly priority: Priority;
  /** Runs with the same label have comparable latencies. */
  readonly label: string;
  /** Monotonic time at which it started, in milliseconds. */
  readonly startedAt: number;
}
