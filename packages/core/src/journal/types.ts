/** @fileoverview State of appending to the replicated log and reading it. */

import type {Instant} from '../clock/types.js';
import type {Version, WriteId} from '../ids/types.js';
import type {Entry} from '../log/types.js';
import type {Transaction} from '../store/types.js';

/** The entry that this daemon is appending; there is one at a time. */
export interface PendingAppend {
  readonly entry: Entry;
  readonly transaction: Transaction;
  /**
   * When the first try was sent. For the daemon's own `joined` entry, which
   * also writes its row, the lease granted by the platform starts here (R8).
   */
  readonly firstSentAt: Instant;
  inFlight: boolean;
  /** True while an earlier try without a reply may still take effect. */
  unresolved: boolean;
  tries: number;
  /** Monotonic time of the next try. */
  retryAt: number;
  /**
   * Monotonic time at which a changed row showed that no further try can
   * succeed, or null.
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
  /** This daemon's most recent write ids with the versions they were for. */
  readonly recentWrites: Map<WriteId, Version>;
}

/** State of reading the log from the store. */
export interface LogReader {
  /** Whether a read was requested. */
  readNeeded: boolean;
  /** Whether the snapshot is to be loaded before log rows are read. */
  needsSnapshot: boolean;
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
}
