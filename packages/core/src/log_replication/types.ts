/** @fileoverview State of appending to the replicated log and reading it. */

import type {Instant} from '../clock/types.js';
import type {Entry} from '../log/types.js';
import type {Transaction} from '../store/types.js';

/** The entry that this daemon is appending; there is one at a time. */
export interface PendingAppend {
  readonly entry: Entry;
  readonly transaction: Transaction;
  /**
   * When the first try was sent. The `joined` entry of this daemon also writes
   * its row, and a confirmed row write counts as a lease, which starts here
   * (R8).
   */
  readonly firstSentAt: Instant;
  inFlight: boolean;
  /** True while an earlier try without a reply may still take effect. */
  unresolved: boolean;
  tries: number;
  /** Monotonic time of the next try. */
  retryAt: number;
  /**
   * Monotonic time at which a changed row showed that retries can't succeed,
   * or null.
   */
  conflictedAt: number | null;
}

/** State of appending entries to the log. */
export interface LogWriter {
  append: PendingAppend | null;
  /** Monotonic time before which no new append starts. */
  notBefore: number;
  /** Consecutive failures; determines the backoff. */
  failures: number;
}

/**
 * State of reading the log from the store. The reader starts with
 * `needsSnapshot` and returns to it after a gap. Once the snapshot is loaded,
 * or there is none to load, it reads the log rows after the map's version, one
 * batch at a time. A batch that isn't full is the last: the reader has caught
 * up and waits until `readNeeded` is set or `pollMs` pass without news.
 */
export interface LogReader {
  /** Whether to read as soon as no read is in flight and backoff is over. */
  readNeeded: boolean;
  /** Whether the next read is of the snapshot rather than of log rows. */
  needsSnapshot: boolean;
  /** Whether a read awaits its reply. */
  inFlight: boolean;
  /** Monotonic time before which no read is sent. */
  notBefore: number;
  /** Consecutive failures; determines the backoff. */
  failures: number;
  /** Whether the log has been read to its end at least once. */
  caughtUp: boolean;
  /** Monotonic time at which the latest read was sent. */
  lastReadSentAt: number;
  /**
   * Monotonic time at which a read to the end of the log, or a peer that is not
   * ahead, last confirmed that the map is up to date.
   */
  upToDateAt: number;
  /** Newest version of peers whose address isn't known. */
  heardVersion: number;
  /** Monotonic time at which the first such version ahead of the map came. */
  heardAt: number;
}
