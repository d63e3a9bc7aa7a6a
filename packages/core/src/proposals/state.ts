/** @fileoverview Initial state of proposals. */

import type {Proposals} from './types.js';

/**
 * Creates the state without proposals.
 *
 * @returns The state.
 */
export function createProposals(): Proposals {
  return {
    received: new Map(),
    sent: null,
    newcomers: [],
    joinRequestedAt: null,
  };
}
