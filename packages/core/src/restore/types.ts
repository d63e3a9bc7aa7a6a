/** @fileoverview What a daemon knows about restores of the store. */

import type {Version} from '../ids/types.js';

/**
 * A restore that is being handled. `rise`: this daemon had a map before it
 * learnt of the restore, and compares its entries with the store's log. `start`:
 * it has read a log whose newest entry is of an earlier era, so that others may
 * be comparing theirs.
 */
export interface Restoration {
  readonly kind: 'rise' | 'start';
  /** Monotonic time at which this daemon learnt of it. */
  readonly notedAt: number;
  /** Monotonic time of the next read of the store's log. */
  checkAt: number;
  /** Whether a read, or a write of lost entries, awaits its reply. */
  inFlight: boolean;
  /**
   * Monotonic time at which the latest read was sent that showed all entries of
   * this daemon in the store's log, or null.
   */
  verifiedAt: number | null;
  /** Whether the log has an entry, not applied here, that ends this member. */
  endsSelf: boolean;
  /**
   * Monotonic time at which the log was seen to contradict this daemon's map, or
   * null. From then on it dispatches nothing.
   */
  contradictedAt: number | null;
}

/** State of restores of the store. */
export interface RestoreState {
  /** Highest era that is known; `NO_ERA` while the store sends none. */
  era: number;
  /** Era up to which restores were handled. */
  settledEra: number;
  /**
   * Whether a lease has been valid without a gap since before this daemon learnt
   * of the era. Otherwise the member may have been ended, and its slices served
   * by others, by entries that the store has lost.
   */
  leaseKept: boolean;
  pending: Restoration | null;
}

/** Versions of the log of this daemon that the store lacks. */
export interface LostEntries {
  /** Last version that both have, and the revision of its row. */
  readonly after: Version;
  readonly revision: number;
}

/** Result of comparing this daemon's entries with rows of the store's log. */
export type LogComparison =
  | {readonly kind: 'same'; readonly revision: number}
  | {readonly kind: 'lacks'; readonly lost: LostEntries}
  | {readonly kind: 'contradicts'; readonly detail: string};
