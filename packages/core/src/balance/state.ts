/** @fileoverview Initial state of load balancing. */

import type {Balance} from './types.js';

/**
 * Creates the state of a daemon that has not measured any load yet.
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
    mergeNotBefore: 0,
  };
}
