/** @fileoverview Initial state of the snapshot writer. */

import type {SnapshotWriter} from './types.js';

/**
 * Creates the state of a daemon that knows no snapshot.
 *
 * @returns The state.
 */
export function createSnapshotWriter(): SnapshotWriter {
  return {
    version: 0,
    revision: 0,
    trimmedTo: 1,
    busy: false,
    forced: false,
    notBefore: 0,
  };
}
