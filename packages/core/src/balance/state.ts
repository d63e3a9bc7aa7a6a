/** @fileoverview Initial state of balancing. */

import type {Balance} from './types.js';

/**
 * Creates the state of a daemon that has measured nothing.
 *
 * @returns The state.
 */
export function createBalance(): Balance {
  return {
    meter: {
      busyMs: new Map(),
      rates: new Map(),
      service: null,
      windowStartedAt: 0,
      reportedTotal: 0,
      reportedAt: 0,
    },
    reports: new Map(),
    moved: new Map(),
    notBefore: 0,
  };
}
