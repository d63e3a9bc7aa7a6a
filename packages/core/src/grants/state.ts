/** @fileoverview Initial state of slice grants. */

import type {Grants} from './types.js';

/**
 * Creates the state of a daemon that has not granted any slice.
 *
 * @returns The state.
 */
export function createGrants(): Grants {
  return {
    confirmed: new Map(),
    mayHoldUntil: new Map(),
    inheritedUntil: 0,
    unconfirmed: new Map(),
    round: 0,
    renewAt: 0,
  };
}
