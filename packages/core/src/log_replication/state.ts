/** @fileoverview Initial state of log reading and writing. */

import type {LogWriter, LogReader} from './types.js';

/**
 * Creates the state of a writer without a pending append.
 *
 * @returns The state.
 */
export function createLogWriter(): LogWriter {
  return {append: null, notBefore: 0, failures: 0};
}

/**
 * Creates the state of a reader that loads the snapshot first.
 *
 * @returns The state.
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
    heardVersion: 0,
    heardAt: 0,
  };
}
