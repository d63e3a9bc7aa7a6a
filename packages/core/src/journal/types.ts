/** @fileoverview The way of entries to and from the table. */

import type {Instant} from '../clock/types.js';
import type {Version, WriteId} from '../ids/types.js';
import type {Entry} from '../log/types.js';
import type {Transaction} from '../store/types.js';

/** The one entry that this daemon is writing. */
export interface PendingAppend {
  readonly entry: Entry;
  readonly transaction: Transaction;
  /** When the first try was sent; a promise counts from here at best. */
  readonly firstSentAt: Instant;
  inFlight: boolean;
  /** True when some try may still take effect. */
  unresolved: boolean;
  tries: number;
  /** Monotonic time of the next try. */
  retryAt: number;
  /** Monotonic time since which no try can succeed any more, or null. */
  conflictedAt: number | null;
}

/** Writing of entries. */
export interface LogWriter {
  append: PendingAppend | null;
  /** Monotonic time before which no new entry is begun. */
  notBefore: number;
  /** Failures in a row; sets the wait. */
  failures: number;
  /** Newest write ids of this daemon with their versions. */
  readonly recentWrites: Map<WriteId, Version>;
}

/** Reading of the log from the platform. */
export interface LogReader {
  /** Whether the daemon should read the table. */
  readNeeded: boolean;
  /** Whether the snapshot is to be read before the tail. */
  needsSnapshot: boolean;
  inFlight: boolean;
  /** Monotonic time of the next read. */
  notBefore: number;
  failures: number;
  /** Whether the log was read to its end at least once. */
  caughtUp: boolean;
  /** Monotonic time at which the newest read was sent. */
  lastReadSentAt: number;
  /** Monotonic time of the last complete read or news from a peer. */
  upToDateAt: number;
}
