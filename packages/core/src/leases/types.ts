/**
 * @fileoverview Leases: the one a member holds, and what a grantor keeps about
 * the members to which it grants leases.
 */

import type {Instant} from '../clock/types.js';
import type {Address, MemberId, WriteId, ZoneName} from '../ids/types.js';

/** Value of a member's row in the platform's table. */
export interface MemberRow {
  readonly member: MemberId;
  readonly zone: ZoneName;
  readonly address: Address;
  readonly grantors: readonly MemberId[];
  readonly writeId: WriteId;
}

/** A write of the member's own row that may have taken effect or still may. */
export interface RowWrite {
  readonly writeId: WriteId;
  readonly grantors: readonly MemberId[];
  readonly sentAt: Instant;
  inFlight: boolean;
}

/** Whether one current or possible grantor answers and still grants. */
export interface GrantorStatus {
  /** Monotonic time of the oldest request without an answer, or null. */
  unansweredSince: number | null;
  /**
   * Monotonic time at which the grantor was marked silent, or null; any message
   * from it clears this.
   */
  silentSince: number | null;
  /** The grantor has closed this incarnation: it never grants it again. */
  closed: boolean;
}

/** State of the lease that this member holds. */
export interface LeaseState {
  /**
   * Revision of this member's row in the platform's table; 0 before it joined.
   */
  revision: number;
  /** Grantors that the row names at this revision. */
  grantors: readonly MemberId[];
  /**
   * Writes of the row, conditional on `revision`, that may have taken effect or
   * still may.
   */
  unresolvedWrites: RowWrite[];
  /**
   * When the newest confirmed write of the row was sent, or null. Such a write
   * counts as a lease granted by the platform (R8).
   */
  touchedAt: Instant | null;
  /** When the newest renewal that was granted was sent, by grantor. */
  readonly grantedRenewals: Map<MemberId, Instant>;
  /** Renewals without an answer, by round. */
  readonly pendingRenewals: Map<number, {to: MemberId; sentAt: Instant}>;
  nextRound: number;
  /** Monotonic time at which the next renewals are sent. */
  nextRenewalAt: number;
  /** Monotonic time before which the row isn't written again. */
  nextRowWriteAt: number;
  /** Row writes since the last confirmed one that failed; sets the backoff. */
  failures: number;
  readonly grantorStatuses: Map<MemberId, GrantorStatus>;
  /**
   * Monotonic time since which the ring names grantors other than the row does,
   * plus up to one random second so that members don't write at once, or null.
   */
  ringDiffersSince: number | null;
  /** Monotonic time at which silent grantors are asked again. */
  nextProbeAt: number;
  /** Monotonic time at which a lease from a grantor was last valid. */
  lastGrantedAt: number;
  /** Monotonic time at which a member last answered this one. */
  lastAnsweredAt: number;
  /** Whether a lease was valid at the last check; a change is logged. */
  held: boolean;
}

/**
 * Where a lease comes from: a grantor, a confirmed write of the own row
 * (`touch`), or no valid source.
 */
export type LeaseSource = 'grantor' | 'touch' | 'none';

/** The lease that is valid at one instant, if any. */
export interface CurrentLease {
  readonly source: LeaseSource;
  /** End of the lease by both clocks; meaningless if the source is `none`. */
  readonly until: Instant;
}

/**
 * A member whose silence this daemon reports: one that renews its lease here,
 * or whose first choice of grantors in the ring includes this daemon.
 */
export interface WatchedMember {
  /**
   * Monotonic time at which the last lease granted to it expires, margin
   * included; 0 if none was granted.
   */
  leaseExpiresAt: number;
  /** Monotonic time of its last renewal. */
  lastHeardAt: number;
  /** Monotonic time before which its silence isn't reported again. */
  nextReportAt: number;
  /** Reports of its silence since its last renewal. */
  reports: number;
  /** Monotonic time since which its configuration is outdated, or null. */
  behindSince: number | null;
  /** Log version in its last renewal. */
  version: number;
  /** Number of its configuration in its last renewal. */
  configuration: number;
  /** Highest revision of its row that a renewal named; 0 if none did. */
  row: number;
  /** Monotonic time at which a renewal first named this revision. */
  rowLearnedAt: number;
}
