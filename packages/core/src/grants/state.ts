/** @fileoverview Initial state of slice grants. */

import type {SliceGrants} from './types.js';

/**
 * Creates the state of a daemon that has not granted any slice.
 *
 * @returns The state.
 */
export function createSliceGrants(): SliceGrants {
  return {
    confirmed: new Map(),
    mayHoldUntil: new Map(),
    predecessorGrantsUntil: 0,
    unconfirmed: new Map(),
    round: 0,
    renewAt: 0,
    leaseEndsAt: 0,
  };
}
