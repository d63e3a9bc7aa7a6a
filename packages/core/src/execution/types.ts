/** @fileoverview State of the attempts at the daemon beside a backend server. */

import type {Instant} from '../clock/types.js';
import type {Admission} from '../admission/types.js';
import type {ErrorKind, RunState} from '../errors/types.js';
import type {
  AttemptId,
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

/** An attempt that gets its response from another attempt's run. */
export interface JoinedAttempt {
  readonly attempt: AttemptId;
  readonly origin: MemberId;
}

/** One attempt that is queued or runs at this daemon. */
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
  /** Key of the index `AttemptHistory.keys`, or null. */
  readonly key: string | null;
  /** Method and path; requests with one idempotency key must agree on it. */
  readonly fingerprint: string;
  /** Monotonic time of arrival and of the deadline, in milliseconds. */
  readonly arrivedAt: number;
  readonly deadline: number;
  stage: AttemptStage;
  /** Monotonic time of the `run` effect, in milliseconds; 0 before it. */
  startedAt: number;
  generation: Generation;
  /** False once its origin has cancelled it. */
  wanted: boolean;
  /** Attempts with the same idempotency key that share this run. */
  readonly joined: JoinedAttempt[];
}

/** How an attempt ended; kept to reply to inquiries and to replay responses. */
export type AttemptOutcome =
  /** Tombstone: an inquiry came before the dispatch, so it must never start. */
  | {readonly kind: 'never'}
  /** The response was complete; `kept` if it can be sent again. */
  | {readonly kind: 'done'; readonly kept: boolean}
  | {
      readonly kind: 'failed';
      readonly error: ErrorKind;
      readonly run: RunState;
      readonly detail: string;
    }
  /** The run of another attempt served it. */
  | {readonly kind: 'joined'; readonly original: AttemptId};

/** An outcome as stored in the history. */
export interface OutcomeRecord {
  readonly outcome: AttemptOutcome;
  /** Monotonic time at which it is dropped, in milliseconds. */
  readonly expiresAt: number;
  readonly key: string | null;
  readonly fingerprint: string;
}

/** Highest sequence number among an origin's dropped attempts. */
export interface Watermark {
  sequence: number;
  /** Monotonic time of the last change, in milliseconds. */
  at: number;
}

/** Outcomes of finished attempts; bounded in time and number. */
export interface AttemptHistory {
  /** Two maps, each oldest first, because their times to live differ. */
  readonly unkeyed: Map<AttemptId, OutcomeRecord>;
  readonly keyed: Map<AttemptId, OutcomeRecord>;
  readonly watermarks: Map<MemberId, Watermark>;
  /** The attempt that ran or runs for each idempotency key. */
  readonly keys: Map<string, AttemptId>;
  /**
   * Non-idempotent requests that must not be dispatched again, with the
   * monotonic time until which that is checked.
   */
  readonly dispatched: Map<RequestId, number>;
}

/** State of the execution subsystem. */
export interface ExecutionState {
  readonly settings: Tuning;
  server: Announcement | null;
  /** Monotonic time at which the server or daemon began to leave, or null. */
  leavingSince: number | null;
  /** True once the process was asked to stop. */
  stopping: boolean;
  /** Monotonic time at which a stopping daemon begins to leave. */
  stopAt: number;
  /** Concurrency limit and queues of the backend server. */
  readonly admission: Admission;
  readonly jobs: Map<AttemptId, Job>;
  /** Runs in flight for each slice. */
  readonly running: Map<string, number>;
  /** Run time of each slice since the last report, in milliseconds. */
  busyMs: Map<Slice, number>;
  /** Monotonic time at which a slice with runs in flight began to move. */
  readonly movingSince: Map<string, number>;
  readonly history: AttemptHistory;
  /** Monotonic and wall time of the last input, in milliseconds. */
  lastInputAt: Instant | null;
  /** Length of the latest stall of the process, in milliseconds. */
  stallMs: number;
  /** Monotonic time until which inputs may have waited through that stall. */
  stallUntil: number;
  /** Monotonic time at which the runner's timer fires, or Infinity. */
  runnerTimerAt: number;
  /** Latest start time among the runs that completed. */
  latestCompletedStart: number;
}
