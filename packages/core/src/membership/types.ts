/** @fileoverview Ending of members by rule R2. */

import type {MemberId} from '../ids/types.js';

/** A member's row as this daemon has known it. */
export interface KnownRow {
  readonly revision: number;
  readonly grantors: readonly MemberId[];
  /** Monotonic time at which this revision was first seen. */
  readonly firstSeenAt: number;
}

/** What a member's grantor was told of its row. */
export interface RowHint {
  /** Revision, or 0 when nothing was told. */
  readonly row: number;
  /** Time for which the grantor has known it, in milliseconds. */
  readonly quietMs: number;
}

/** An attempt to end one member. */
export interface Eviction {
  readonly member: MemberId;
  readonly begunAt: number;
  /** The operator who vouches that it stopped; grantors are then not asked. */
  readonly confirmedBy: string | null;
  row: KnownRow | null;
  /** Revisions that grantors were told, with the earliest time. */
  readonly hintedRevisions: Map<number, number>;
  readInFlight: boolean;
  /** Monotonic time of the next read of the row. */
  nextReadAt: number;
  /** Monotonic time of the next read or request to close. */
  nextActionAt: number;
  /** Grantors that have closed it. */
  readonly closedBy: Set<MemberId>;
  /** Members that reported it silent. */
  readonly reporters: Set<MemberId>;
  /** Monotonic time of the newest report. */
  lastReportedAt: number;
}
