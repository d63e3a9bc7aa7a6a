/**
 * @fileoverview State of the attempts at the daemon that executes them: the
 * daemon of the owner or, for a shared service, of the selected server.
 */

import type {Instant} from '../clock/types.js';
import type {Admission} from '../admission/types.js';
import type {ServerCosts} from '../costs/types.js';
import type {ErrorKind, RunState} from '../errors/types.js';
import type {
  AttemptId,
  CostClass,
  Generation,
  MemberId,
  RequestId,
  ServiceName,
  Slice,
} from '../ids/types.js';
import type {Announcement} from '../loop/types.js';
import type {AttemptStage} from '../outcomes/types.js';
import type {Tuning} from '../settings/defaults.js';
import type {Priority} from '../workspace/types.js';

/** An attempt that is served from another attempt's run. */
export interface CoalescedAttempt {
  readonly attempt: AttemptId;
  readonly origin: MemberId;
}

/**
 * An attempt at the daemon that executes it: it is queued or runs on the local
 * backend server.
 */
export interface Job {
  readonly attempt: AttemptId;
  readonly origin: MemberId;
  readonly request: RequestId;
  readonly service: ServiceName;
  readonly slice: Slice | null;
  readonly idempotent: boolean;
  readonly priority: Priority;
  /** Order in the queue; 0 goes first. */
  readonly urgency: number;
  /** Latency objective of the response, in milliseconds; 0 if none. */
  readonly objectiveMs: number;
  /** Class of its run time, and the run time that was expected on arrival. */
  readonly costClass: CostClass;
  /** In milliseconds; 0 if unknown, and unless scheduling goes by cost. */
  readonly expectedMs: number;
  /** Key of the index `AttemptHistory.attemptsByIdempotencyKey`, or null. */
  readonly key: string | null;
  /**
   * Method and path; requests with the same idempotency key must agree on both.
   */
  readonly requestLine: string | null;
  /** Monotonic time of arrival and of the deadline, in milliseconds. */
  readonly arrivedAt: number;
  readonly deadline: number;
  stage: AttemptStage;
  /** Monotonic time of the `run` effect, in milliseconds; 0 before it. */
  startedAt: number;
  /** Status code of the server's response; 0 before its head. */
  status: number;
  generation: Generation;
  /** Attempts with the same idempotency key that are served from this run. */
  readonly coalesced: CoalescedAttempt[];
}

/** How an attempt ended; kept to reply to inquiries and to replay responses. */
export type AttemptOutcome =
  /** Tombstone: an inquiry came before the dispatch, so it must never start. */
  | {readonly kind: 'neverStarted'}
  /** The response was complete; `kept` if it can be sent again. */
  | {readonly kind: 'completed'; readonly kept: boolean}
  | {
      readonly kind: 'failed';
      readonly error: ErrorKind;
      readonly run: RunState;
      readonly detail: string;
    }
  /** It was served from the run of another attempt. */
  | {readonly kind: 'coalesced'; readonly original: AttemptId};

/** An outcome as stored in the history. */
export interface OutcomeRecord {
  readonly outcome: AttemptOutcome;
  /** Monotonic time at which it is dropped, in milliseconds. */
  readonly expiresAt: number;
  readonly key: string | null;
  readonly requestLine: string | null;
}

/**
 * Low watermark of an origin: the highest sequence number among its attempts
 * that were dropped from the history.
 */
export interface Watermark {
  sequence: number;
  /** Monotonic time of the last change, in milliseconds. */
  at: number;
}

/** Outcomes of finished attempts; bounded in time and number. */
export interface AttemptHistory {
  /**
   * Attempts without and with an idempotency key. Two maps, each oldest first,
   * because their times to live differ.
   */
  readonly unkeyed: Map<AttemptId, OutcomeRecord>;
  readonly keyed: Map<AttemptId, OutcomeRecord>;
  readonly watermarks: Map<MemberId, Watermark>;
  /** The attempt that ran or runs for each idempotency key. */
  readonly attemptsByIdempotencyKey: Map<string, AttemptId>;
  /**
   * Non-idempotent requests that must not be dispatched again, with the
   * monotonic time until which that is checked.
   */
  readonly dispatchedRequests: Map<RequestId, number>;
}

/** State of the execution subsystem. */
export interface ExecutionState {
  readonly tuning: Tuning;
  server: Announcement | null;
  /**
   * Monotonic time at which the backend server or this daemon began to shut
   * down, or null. Work of shared services is rejected from then on, work on
   * slices after `announcements.leavingMs`.
   */
  leavingSince: number | null;
  /** True once the process was asked to stop. */
  stopping: boolean;
  /** Monotonic time at which a stopping daemon sets `leavingSince`. */
  stopAt: number;
  /** Monotonic time by which a stopping daemon has exited. */
  stopEndsAt: number;
  /** Concurrency limit and queues of the backend server. */
  readonly admission: Admission;
  /** Whether scheduling goes by cost, by the configuration in force. */
  byCost: boolean;
  /** Learned run times; only kept while scheduling goes by cost. */
  costs: ServerCosts;
  readonly jobs: Map<AttemptId, Job>;
  /** Runs in flight for each slice. */
  readonly running: Map<string, number>;
  /** Run time of each slice since the last report, in milliseconds. */
  busyMs: Map<Slice, number>;
  /**
   * Monotonic time since which dispatch is denied as `moving` for a slice with
   * runs in flight.
   */
  readonly movingDeniedSince: Map<string, number>;
  readonly history: AttemptHistory;
  /** Monotonic and wall time of the last input, in milliseconds. */
  lastInputAt: Instant | null;
  /** Length of the latest stall of the process, in milliseconds. */
  stallMs: number;
  /**
   * Monotonic time until which inputs may arrive that were queued during that
   * stall.
   */
  stallUntil: number;
  /** Monotonic time at which the runtime's timer fires, or Infinity. */
  runtimeTimerAt: number;
  /** Latest monotonic start time among the runs that completed. */
  newestCompletedRunStart: number;
}
