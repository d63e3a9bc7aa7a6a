/** @fileoverview What a daemon knows about silent members that it evicts. */

import type {MemberId} from '../ids/types.js';

/** The newest revision of a member's row that this daemon has read. */
export interface KnownRow {
  /** 0 if a restored store has lost the row. */
  readonly revision: number;
  /** Revision and era, comparable with those of reports. */
  readonly rank: number;
  /**
   * Whether the row was written in the present era, or the store has none. A row
   * of an earlier era may be older than the member's last one, so that any
   * member may be a grantor.
   */
  readonly namesGrantors: boolean;
  readonly grantors: readonly MemberId[];
  /**
   * Earliest monotonic time at which this revision is known to have existed.
   */
  readonly revisionSeenAt: number;
}

/**
 * The newest revision of a silent member's row that a reporter knows from the
 * member's renewals.
 */
export interface ReportedRevision {
  /** Revision of the row, or 0 if no renewal named one. */
  readonly row: number;
  /** Milliseconds since the reporter first saw this revision. */
  readonly quietMs: number;
}

/** An attempt to evict one silent member. */
export interface Eviction {
  readonly member: MemberId;
  /** Monotonic time at which it began. */
  readonly begunAt: number;
  /**
   * The operator who confirms that the member has stopped, or null. Grantors
   * are then not asked to revoke it.
   */
  readonly confirmedBy: string | null;
  /** The member's row, or null before it was read. */
  row: KnownRow | null;
  /** Revisions named in reports, each with the earliest time seen. */
  readonly reportedRevisions: Map<number, number>;
  readInFlight: boolean;
  /** Monotonic time of the next read of the row. */
  nextReadAt: number;
  /**
   * Monotonic time of the next step; no read or request to revoke is sent
   * before it.
   */
  nextStepAt: number;
  /** Grantors that have revoked the member. */
  readonly revokedBy: Set<MemberId>;
  /** Members that reported it silent and have not been sent `cleared` since. */
  readonly reporters: Set<MemberId>;
  /** Monotonic time of the newest report. */
  lastReportedAt: number;
}
