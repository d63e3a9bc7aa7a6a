/** @fileoverview State of the work at the daemon beside a backend server. */

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

/** An attempt that is answered from another attempt's run. */
export interface JoinedAttempt {
  readonly attempt: AttemptId;
  readonly origin: MemberId;
}

/** One attempt that waits or runs here. */
export interface Job {
  readonly attempt: AttemptId;
  readonly origin: MemberId;
  readonly request: RequestId;
  readonly service: ServiceName;
  readonly slice: Slice | null;
  readonly idempotent: boolean;
  readonly priority: Priority;
  /** Rank among what waits; 0 goes first. */
  readonly urgency: number;
  /** Time within which its answer is worth most, in milliseconds; 0 if none. */
  readonly objectiveMs: number;
  /** Entry in the index of idempotency keys, or null. */
  readonly key: string | null;
  /** Method and path, to compare requests with one idempotency key. */
  readonly signature: string;
  /** Monotonic time of arrival and of the deadline, in milliseconds. */
  readonly arrivedAt: number;
  readonly deadline: number;
  stage: AttemptStage;
  /** Monotonic time at which it was given to the runner; 0 before. */
  startedAt: number;
  generation: Generation;
  /** False once its origin has cancelled it. */
  wanted: boolean;
  readonly joined: JoinedAttempt[];
}

/** How an attempt ended, as remembered for inquiries and replays. */
export type AttemptOutcome =
  /** An inquiry came first: the attempt must never start. */
  | {readonly kind: 'never'}
  /** The answer was whole; `kept` if it can be sent again. */
  | {readonly kind: 'done'; readonly kept: boolean}
  | {
      readonly kind: 'failed';
      readonly error: ErrorKind;
      readonly run: RunState;
      readonly detail: string;
    }
  /** It was answered from the run of another attempt. */
  | {readonly kind: 'joined'; readonly original: AttemptId};

/** A remembered ending. */
export interface OutcomeRecord {
  readonly outcome: AttemptOutcome;
  /** Monotonic time at which it is forgotten, in milliseconds. */
  readonly expiresAt: number;
  readonly key: string | null;
  readonly signature: string;
}

/** The highest attempt number of an origin that was forgotten. */
export interface Watermark {
  sequence: number;
  /** Monotonic time of the last change, in milliseconds. */
  at: number;
}

/** Everything remembered of attempts that are over; bounded. */
export interface AttemptHistory {
  /** Oldest first; two, since their times differ. */
  readonly unkeyed: Map<AttemptId, OutcomeRecord>;
  readonly keyed: Map<AttemptId, OutcomeRecord>;
  readonly watermarks: Map<MemberId, Watermark>;
  /** From idempotency key to the attempt that ran or runs for it. */
  readonly keys: Map<string, AttemptId>;
  /** Requests that must not be dispatched again, and until when. */
  readonly dispatched: Map<RequestId, number>;
}

/** State of the subject. */
export interface ExecutionState {
  readonly settings: Tuning;
  server: Announcement | null;
  /** Monotonic time at which the server began to leave, or null. */
  leavingSince: number | null;
  /** True once the process was asked to stop. */
  stopping: boolean;
  /** Monotonic time from which a stopping daemon takes no new work. */
  stopAt: number;
  readonly admission: Admission;
  readonly jobs: Map<AttemptId, Job>;
  /** Runs in flight for each slice. */
  readonly running: Map<string, number>;
  /** Time spent on runs of each slice since it was last asked for. */
  busyMs: Map<Slice, number>;
  /** Monotonic time at which a slice with runs began to move. */
  readonly movingSince: Map<string, number>;
  readonly history: AttemptHistory;
  /** Monotonic and wall time of the last input, in milliseconds. */
  lastInputAt: Instant | null;
  /** Time the process stood still before the current inputs. */
  stallMs: number;
  /** Until when inputs may be that old. */
  stallUntil: number;
  /** Moment of the `wake` that is outstanding, or Infinity. */
  wakeAt: number;
  /** Moment the newest run that gave an answer had started. */
  latestAnsweredStart: number;
}
