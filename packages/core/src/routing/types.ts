/**
 * @fileoverview State of the routing subsystem: the requests that this daemon
 * has accepted from callers, and their attempts.
 */

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
import type {OverloadState} from '../overload/types.js';
import type {RetryBudget} from '../retry/logic.js';
import type {Tuning} from '../settings/defaults.js';
import type {TimerQueue} from '../timers/logic.js';

/** How far an attempt has come, as seen by its origin. */
export type AttemptProgress =
  /** Sent; nothing received for it yet. */
  | 'sent'
  /** Its response head arrived; the response is being relayed to the caller. */
  | 'relaying'
  /** The last byte of its response arrived at the origin. */
  | 'complete';

/** One attempt that has not ended. */
export interface Attempt {
  readonly id: AttemptId;
  readonly request: RequestId;
  /** The daemon it was sent to: that of the owner or of the selected server. */
  readonly to: MemberId;
  readonly address: Address;
  /** Monotonic time, in milliseconds. */
  readonly sentAt: number;
  progress: AttemptProgress;
  /**
   * Monotonic time of the next inquiry (query for its status); Infinity before
   * the first one.
   */
  nextInquiryAt: number;
  /** True after its link was lost, until the peer reports what became of it. */
  inquiring: boolean;
  /**
   * True after its link was lost, until the peer sends the response from its
   * start: what arrives before that isn't the whole response.
   */
  interrupted: boolean;
}

/** One request from a caller that has no complete response yet. */
export interface RoutedRequest {
  readonly accepted: AcceptedRequest;
  /** Monotonic time, in milliseconds. */
  readonly acceptedAt: number;
  /** Monotonic time of the deadline, in milliseconds. */
  readonly deadline: number;
  /** Attempts that have not ended. */
  readonly attempts: Map<AttemptId, Attempt>;
  /** Attempts sent so far, the ended ones included. */
  attemptsSent: number;
  /**
   * Retries that were charged to the retry budget; redirects and hedges don't
   * count.
   */
  chargedRetries: number;
  /** The attempt whose response goes to the caller, or null. */
  relayedAttempt: AttemptId | null;
  /** True once an attempt that may have run has failed. */
  mayHaveRun: boolean;
  /** True while it waits for an owner or a server. */
  waiting: boolean;
  /** Monotonic time since which it waits, or null. */
  waitingSince: number | null;
  /** True once the deadline has passed and attempts were cancelled. */
  deadlinePassed: boolean;
  /** Servers at which an attempt failed; avoided until all were tried. */
  excludedServers: MemberId[];
  /**
   * Owner named by a daemon that rejected an attempt; used for the next one.
   */
  ownerHint: MemberId | null;
  /** The latest failure of an attempt. */
  lastFailure: Failure | null;
}

/** An action scheduled for a request. */
export interface RequestTimer {
  readonly kind: 'retry' | 'hedge';
  readonly request: RequestId;
}

/** State of the subsystem. */
export interface RoutingState {
  readonly tuning: Tuning;
  /** Availability zone of the daemon, or null if unknown. */
  readonly zone: ZoneName | null;
  /** Every pending request. */
  readonly requests: Map<RequestId, RoutedRequest>;
  /** Attempts of all requests that have not ended. */
  readonly attempts: Map<AttemptId, Attempt>;
  /** Requests that wait for an owner or a server. */
  readonly waiting: Set<RequestId>;
  readonly timers: TimerQueue<RequestTimer>;
  readonly budget: RetryBudget;
  /** Pays for redirects after rejections for want of room. */
  readonly redirectBudget: RetryBudget;
  readonly selection: SelectionState;
  /** Used only where the workspace schedules by cost. */
  readonly overload: OverloadState;
  /** Number of the latest attempt; part of its id. */
  sequence: number;
  /**
   * Version of the map when this subsystem handled its latest input. Waiting
   * requests are tried again when it changes.
   */
  lastSeenMapVersion: Version;
  /**
   * Monotonic time at which the runtime's earliest timer fires, or Infinity.
   */
  runtimeTimerAt: number;
  /**
   * Retries (redirects included) and hedges since the start, shown to
   * operators.
   */
  retries: number;
  hedges: number;
}
