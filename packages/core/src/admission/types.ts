/** @fileoverview State of the gate before one backend server. */

import type {AttemptId, InstanceId} from '../ids/types.js';
import type {Tuning} from '../settings/defaults.js';
import type {Priority} from '../workspace/types.js';

/** Settings of admission. */
export type AdmissionPolicy = Tuning['admission'];

/** One attempt that waits for a slot. */
export interface QueuedAttempt {
  readonly attempt: AttemptId;
  readonly since: number;
  readonly urgency: number;
  readonly objectiveMs: number;
  /** Monotonic time by which its answer is worth most, in milliseconds. */
  readonly due: number;
  /** Monotonic time at which it is refused, in milliseconds. */
  readonly until: number;
}

/** Median latency of one class of runs when the server is well. */
export interface LatencyBaseline {
  latencyMs: number;
  samples: number;
}

/** How often work of one rank arrived. */
export interface ArrivalCount {
  /** Monotonic time at which counting began, in milliseconds. */
  windowStart: number;
  count: number;
  /** Whether it arrived often in the second before. */
  frequent: boolean;
}

/** The cold start of a server that reports it. */
export interface ColdPhase {
  /** Monotonic time at which it is warm, in milliseconds. */
  readonly warmAt: number;
  /** Most starts in any second before that. */
  readonly perSecond: number;
}

/** Why the limit was set back to one. */
export type LimitResetCause = 'instance' | 'shed' | 'latency';

/** The gate: how much the backend server gets, and who waits. */
export interface Admission {
  readonly policy: AdmissionPolicy;
  instance: InstanceId | null;
  /** Upper bound of the limit: slots and connections. */
  maxLimit: number;
  /** Runs allowed at the same time. */
  limit: number;
  /** Arrivals of each rank in the present second. */
  readonly arrivals: Map<number, ArrivalCount>;
  /** Runs given to the server and not yet over. */
  running: number;
  /** Monotonic times of the starts in the last second of a cold start. */
  recentStarts: number[];
  /** Those of them that are deferrable. */
  runningDeferrable: number;
  /** Completions since the limit last changed. */
  completions: number;
  /** Factor on the completions needed to grow; doubles at a relapse. */
  growthPenalty: number;
  /** True until the limit has reached its ceiling after a relapse. */
  ramping: boolean;
  /** Runs that started before this moment don't cause another relapse. */
  limitResetAt: number;
  /** Latencies over their baselines in the current window. */
  latencyRatios: number[];
  /** Monotonic time at which no interactive attempt waited, last. */
  queueEmptyAt: number;
  /** Mean time of a run; 0 before the first. */
  meanRunMs: number;
  /** What the server says of its cold start; null if limits are learnt. */
  cold: ColdPhase | null;
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
  /** Rank among what waits; 0 goes first. */
  readonly urgency: number;
  /** Time within which its answer is worth most, in milliseconds; 0 if none. */
  readonly objectiveMs: number;
}

/** What becomes of an attempt that asks for a slot. */
export type AdmissionDecision = 'start' | 'wait' | 'refuse';

/** One run that is over, as the gate sees it. */
export interface CompletedRun {
  readonly priority: Priority;
  /** Runs with the same label have comparable latencies. */
  readonly label: string;
  /** Monotonic time at which it started, in milliseconds. */
  readonly startedAt: number;
}
