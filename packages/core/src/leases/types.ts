/** @fileoverview A member's own lease and the promises it makes to others. */

import type {Instant} from '../clock/types.js';
import type {Address, MemberId, WriteId, ZoneName} from '../ids/types.js';

/** Value of a member's row in the table. */
export interface MemberRow {
  readonly member: MemberId;
  readonly zone: ZoneName;
  readonly address: Address;
  readonly grantors: readonly MemberId[];
  readonly writeId: WriteId;
}

/** A write of the member's own row that may take effect. */
export interface RowWrite {
  readonly writeId: WriteId;
  readonly grantors: readonly MemberId[];
  readonly sentAt: Instant;
  inFlight: boolean;
}

/** What a member knows of one possible grantor. */
export interface GrantorStatus {
  /** Monotonic time of the first renewal without an answer, or null. */
  unansweredSince: number | null;
  /** Monotonic time at which it was found silent, or null once heard. */
  silentSince: number | null;
  /** The peer has closed this incarnation. */
  closed: boolean;
}

/** The lease that a member holds. */
export interface LeaseState {
  /** Revision of the member's row; 0 before it joined. */
  revision: number;
  grantors: readonly MemberId[];
  /** Writes conditional on `revision` that may still take effect. */
  unresolvedWrites: RowWrite[];
  /** When the newest confirmed row write was sent (R8). */
  touchedAt: Instant | null;
  /** When the newest granted renewal was sent, by grantor. */
  readonly grantedRenewals: Map<MemberId, Instant>;
  readonly pendingRenewals: Map<number, {to: MemberId; sentAt: Instant}>;
  nextRound: number;
  /** Monotonic time of the next renewal. */
  nextRenewalAt: number;
  /** Monotonic time before which the row is not written again. */
  nextRowWriteAt: number;
  failures: number;
  readonly grantorStatuses: Map<MemberId, GrantorStatus>;
  /** Monotonic time since which the ring names other grantors. */
  ringDiffersSince: number | null;
  /** Monotonic time of the next question to silent peers. */
  nextProbeAt: number;
  /** Monotonic time at which a grantor's promise last held. */
  lastGrantedAt: number;
  /** Monotonic time at which a peer last answered this member. */
  lastAnsweredAt: number;
  /** For the log: whether a lease was held at the last tick. */
  held: boolean;
}

/** Where a lease comes from. */
export type LeaseSource = 'grantor' | 'touch' | 'none';

/** The lease at one instant. */
export interface CurrentLease {
  readonly source: LeaseSource;
  /** End of the lease by both clocks; meaningless without a lease. */
  readonly until: Instant;
}

/** A member that this daemon grants, or watches as its next in the ring. */
export interface WatchedMember {
  /** Monotonic time at which the last promise has run out; 0 for none. */
  leaseExpiresAt: number;
  lastHeardAt: number;
  /** Monotonic time of the next report that it is silent. */
  nextReportAt: number;
  reports: number;
  /** Monotonic time since which its configuration is behind, or null. */
  behindSince: number | null;
  version: number;
  configuration: number;
  /** Revision of its row as it was last told; 0 for none. */
  row: number;
  /** Monotonic time at which this revision was first told. */
  rowLearnedAt: number;
}
