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
    holds: new Map(),
    predecessorGrantsUntil: 0,
    unconfirmed: new Map(),
    unconfirmedBySlice: new Map(),
    unproven: new Map(),
    round: 0,
    schedule: new Map(),
    queue: [],
    underWay: new Map(),
  };
}
