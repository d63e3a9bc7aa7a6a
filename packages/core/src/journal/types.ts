/** @fileoverview The way of entries to and from the table. */

import type {Instant} from '../clock/types.js';
import type {Version, WriteId} from '../ids/types.js';
import type {Entry} from '../log/types.js';
import type {Transaction} from '../store/types.js';

/** The one entry that this daemon is writing. */
export interface Append {
  readonly entry: Entry;
  readonly transaction: Transaction;
  /** When the first try was sent; a promise counts from here at best. */
  readonly firstSent: Instant;
  inFlight: boolean;
  /** True when some try may still take effect. */
  unresolved: boolean;
  tries: number;
  /** Monotonic time of the next try. */
  retryAt: number;
  /** Monotonic time since which no try can succeed any more, or null. */
  doomedAt: number | null;
}

/** Writing of entries. */
export interface Journal {
  append: Append | null;
  /** Monotonic time before which no new entry is begun. */
  notBefore: number;
  /** Failures in a row; sets the wait. */
  failures: number;
  /** Newest write ids of this daemon with their versions. */
  readonly written: Map<WriteId, Version>;
}

/** Reading of the log from the platform. */
export interface Sync {
  /** Whether the daemon should read the table. */
  needed: boolean;
  /** Whether the snapshot is to be read before the tail. */
  wantsSnapshot: boolean;
  inFlight: boolean;
  /** Monotonic time of the next read. */
  notBefore: number;
  failures: number;
  /** Whether the log was read to its end at least once. */
  complete: boolean;
  /** Monotonic time at which the newest read was sent. */
  begunAt: number;
  /** Monotonic time of the last complete read or news from a peer. */
  freshAt: number;
}
