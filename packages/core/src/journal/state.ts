/** @fileoverview Initial state of the journal. */

import type {Journal, Sync} from './types.js';

/**
 * Creates a journal that writes nothing.
 *
 * @returns The journal.
 */
export function createJournal(): Journal {
  return {append: null, notBefore: 0, failures: 0, written: new Map()};
}

/**
 * Creates a reader that begins with the snapshot.
 *
 * @returns The reader.
 */
export function createSync(): Sync {
  return {
    needed: true,
    wantsSnapshot: true,
    inFlight: false,
    notBefore: 0,
    failures: 0,
    complete: false,
    begunAt: 0,
    freshAt: 0,
  };
}
