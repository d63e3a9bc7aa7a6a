/** @fileoverview Initial state of the journal. */

import type {LogWriter, LogReader} from './types.js';

/**
 * Creates a journal that writes nothing.
 *
 * @returns The journal.
 */
export function createLogWriter(): LogWriter {
  return {append: null, notBefore: 0, failures: 0, recentWrites: new Map()};
}

/**
 * Creates a reader that begins with the snapshot.
 *
 * @returns The reader.
 */
export function createLogReader(): LogReader {
  return {
    readNeeded: true,
    needsSnapshot: true,
    inFlight: false,
    notBefore: 0,
    failures: 0,
    caughtUp: false,
    lastReadSentAt: 0,
    upToDateAt: 0,
  };
}
