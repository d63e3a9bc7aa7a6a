/**
 * @fileoverview Leases: the one that a member holds, and what a grantor records
 * about the members to which it grants leases.
 */

import type {Instant} from '../clock/types.js';
import type {Address, MemberId, WriteId, ZoneName} from '../ids/types.js';

/** Value of a member's row in the store. */
export interface MemberRow {
  readonly member: MemberId;
  readonly zone: ZoneName;
  readonly address: Address;
  readonly grantors: readonly MemberId[];
  readonly writeId: WriteId;
  /** Era of the store when it was written; absent if the store sends none. */
  readonly era?: number;
}

/** A write of this member's row whose outcome is not known yet. */
export interface RowWrite {
  readonly writeId: WriteId;
  readonly grantors: readonly MemberId[];
  readonly sentAt: Instant;
  /** Era named in the row; `NO_ERA` if the store sends none. */
  readonly era: number;
  inFlight: boolean;
}

/** What is known of this member's row in the store. */
export interface OwnRow {
  readonly revision: number;
  /** Era in which the revision was learnt. */
  readonly era: number;
  /** Era that the row names. */
  readonly writtenEra: number;
}

/** Failure-detection state of one grantor or candidate. */
export interface GrantorStatus {
  /** Monotonic time of the oldest request without a reply, or null. */
  awaitingReplySince: number | null;
  /**
   * Monotonic time at which the grantor was marked silent (it didn't reply in
   * time), or null; any message from it resets this to null.
   */
  silentSince: number | null;
  /** Whether the grantor promised never to grant this incarnation again. */
  revoked: boolean;
}

/** State of the lease that this member holds. */
export interface LeaseState {
  /**
   * Revision of this member's row in the store; 0 before it joined.
   */
  revision: number;
  /** Era of the store in which this revision was learnt. */
  revisionEra: number;
  /** Era named in the row; evictions go by rows of the present era only (R2). */
  writtenEra: number;
  /** Whether a restored store has lost the row: writes require its absence. */
  rowLost: boolean;
  /** Grantors that the row names at this revision. */
  grantors: readonly MemberId[];
  /**
   * Writes of the row, conditional on `revision`, whose outcome is unknown:
   * each may have taken effect or may still do so.
   */
  unresolvedWrites: RowWrite[];
  /**
   * When the newest confirmed write of the row was sent, or null. Such a write
   * counts as a lease granted by the store that begins at this time (R8).
   */
  rowLeaseStart: Instant | null;
  /** When the newest renewal that was granted was sent, by grantor. */
  readonly grantedRenewals: Map<MemberId, Instant>;
  /** Renewals without a reply, by request id (`round` in the messages). */
  readonly pendingRenewals: Map<number, {to: MemberId; sentAt: Instant}>;
  /** Id of the next renewal; each request to one grantor has its own. */
  nextRound: number;
  /** Monotonic time at which the next renewals are sent. */
  nextRenewalAt: number;
  /** Monotonic time before which the row isn't written again. */
  nextRowWriteAt: number;
  /**
   * Row writes since the last confirmed one that were refused or whose outcome
   * is unknown; sets the backoff.
   */
  rowWriteFailures: number;
  readonly grantorStatuses: Map<MemberId, GrantorStatus>;
  /**
   * Monotonic time from which `followRingMs` is counted before the row is
   * changed to the grantors that the ring names, or null while both name the
   * same. It is up to one random second after the difference was seen, so that
   * members don't all write at the same time.
   */
  grantorChangePendingSince: number | null;
  /** Monotonic time at which silent grantors are probed next. */
  nextProbeAt: number;
  /** Monotonic time at which a lease from a grantor was last valid. */
  lastGrantedAt: number;
  /** Monotonic time of the last reply from any other member. */
  lastReplyAt: number;
  /** Whether a lease was valid at the last check; a change is logged. */
  held: boolean;
}

/**
 * Where a lease comes from: a grantor, a confirmed write of this member's row,
 * or no valid source. `touch` means the same as row write.
 */
export type LeaseSource = 'grantor' | 'touch' | 'none';

/** The lease that is valid at one instant, if any. */
export interface CurrentLease {
  readonly source: LeaseSource;
  /** End of the lease by both clocks; meaningless if the source is `none`. */
  readonly until: Instant;
}

/**
 * A member that this daemon monitors, as a grantor of its lease or as one of
 * its preferred grantors in the ring.
 */
export interface WatchedMember {
  /**
   * Monotonic time at which the last lease granted to it expires, margin
   * included; 0 if none was granted.
   */
  leaseExpiresAt: number;
  /**
   * Monotonic time of its last renewal; other messages don't count. Set back by
   * `markUnresponsive`, so that the member counts as silent at once.
   */
  lastHeardAt: number;
  /**
   * Whether it replaced this grantor: its silence isn't reported, and it is no
   * longer watched once the last lease granted here has expired.
   */
  cleared: boolean;
  /** Monotonic time before which its silence isn't reported again. */
  nextReportAt: number;
  /** Reports of its silence since its last renewal. */
  reports: number;
  /**
   * Monotonic time since which its configuration has been older than this
   * daemon's, or null.
   */
  outdatedConfigurationSince: number | null;
  /**
   * Monotonic time since which it hasn't learnt its row's revision in a restored
   * store, or null.
   */
  outdatedEraSince: number | null;
  /** Log version in its last renewal. */
  version: number;
  /** Version of its configuration in its last renewal. */
  configuration: number;
  /** Highest revision of its row named in a renewal; 0 if none was. */
  rowRevision: number;
  /** Monotonic time at which a renewal first named this revision. */
  revisionSeenAt: number;
}
