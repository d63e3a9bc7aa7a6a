/** @fileoverview State of the requests a daemon has taken from callers. */

import type {SelectionState} from '../selection/types.js';
import type {Failure} from '../errors/types.js';
import type {
  Address,
  AttemptId,
  MemberId,
  RequestId,
  Version,
  ZoneName,
} from '../ids/types.js';
import type {AcceptedRequest} from '../loop/types.js';
import type {RetryBudget} from '../retry/logic.js';
import type {Tuning} from '../settings/defaults.js';
import type {TimerQueue} from '../timers/logic.js';

/** How far an attempt has come, as seen by its origin. */
export type AttemptProgress =
  /** Sent; nothing heard since. */
  | 'sent'
  /** Its answer is relayed to the caller. */
  | 'relayed'
  /** Its answer is whole here. */
  | 'whole';

/** One attempt without an outcome. */
export interface Attempt {
  readonly id: AttemptId;
  readonly request: RequestId;
  readonly to: MemberId;
  readonly address: Address;
  readonly sentAt: number;
  progress: AttemptProgress;
  /** Time of the next inquiry; Infinity while its link is well. */
  nextInquiryAt: number;
  /** True while its fate is open after a lost link. */
  inquiring: boolean;
}

/** One request without an answer. */
export interface PendingRequest {
  readonly accepted: AcceptedRequest;
  readonly acceptedAt: number;
  /** Monotonic time of the deadline, in milliseconds. */
  readonly deadline: number;
  readonly attempts: Map<AttemptId, Attempt>;
  /** Attempts made so far, and those paid from the retry budget. */
  attemptsSent: number;
  budgetedAttempts: number;
  /** The attempt whose answer goes to the caller. */
  relayedAttempt: AttemptId | null;
  /** True once an attempt has ended that may have run. */
  mayHaveRun: boolean;
  /** True while it waits for an owner or a server. */
  waiting: boolean;
  /** Monotonic time since which it waits, or null. */
  waitingSince: number | null;
  /** True once the deadline has passed and attempts were cancelled. */
  deadlinePassed: boolean;
  /** Servers that refused it. */
  excludedServers: MemberId[];
  /** An owner that a refusing daemon named, to be tried next. */
  ownerHint: MemberId | null;
  /** The latest failure of an attempt. */
  lastFailure: Failure | null;
}

/** Something to be done for a request later. */
export interface RequestTimer {
  readonly kind: 'place' | 'hedge';
  readonly request: RequestId;
}

/** State of the subject. */
export interface RoutingState {
  readonly settings: Tuning;
  /** Availability zone of the daemon, or null if unknown. */
  readonly zone: ZoneName | null;
  readonly requests: Map<RequestId, PendingRequest>;
  readonly attempts: Map<AttemptId, Attempt>;
  /** Requests that wait for an owner or a server. */
  readonly waiting: Set<RequestId>;
  readonly timers: TimerQueue<RequestTimer>;
  readonly budget: RetryBudget;
  readonly selection: SelectionState;
  /** Number of the latest attempt. */
  sequence: number;
  /** Log version at which waiting requests were last placed. */
  version: Version;
  /** Moment of the `wake` that is outstanding, or Infinity. */
  wakeAt: number;
  /** Retries and hedges made, for operators. */
  retries: number;
  hedges: number;
}
