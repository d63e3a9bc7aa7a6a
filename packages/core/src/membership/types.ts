/** @fileoverview What a daemon knows of the silent members that it evicts. */

import type {MemberId} from '../ids/types.js';

/** The newest revision of a member's row that this daemon has read. */
export interface KnownRow {
  readonly revision: number;
  readonly grantors: readonly MemberId[];
  /**
   * Earliest monotonic time at which this revision is known to have existed.
   */
  readonly firstSeenAt: number;
}

/** What a reporter knows of a silent member's row from its last renewals. */
export interface RowHint {
  /** Revision of the row, or 0 if no renewal named one. */
  readonly row: number;
  /** Time for which the reporter has known this revision, in milliseconds. */
  readonly quietMs: number;
}

/** An attempt to evict one silent member. */
export interface Eviction {
  readonly member: MemberId;
  /** Monotonic time at which it began. */
  readonly begunAt: number;
  /**
   * The operator who confirms that the member has stopped, or null. Grantors
   * are then not asked to close it.
   */
  readonly confirmedBy: string | null;
  /** The member's row, or null before it was read. */
  row: KnownRow | null;
  /** Revisions named in reports, each with the earliest time it was known. */
  readonly hintedRevisions: Map<number, number>;
  readInFlight: boolean;
  /** Monotonic time of the next read of the row. */
  nextReadAt: number;
  /**
   * Monotonic time before which neither reads nor requests to close are sent.
   */
  nextActionAt: number;
  /** Grantors that have closed the member. */
  readonly closedBy: Set<MemberId>;
  /** Members that reported it silent and were not told since that it lives. */
  readonly reporters: Set<MemberId>;
  /** Monotonic time of the newest report. */
  lastReportedAt: number;
}
