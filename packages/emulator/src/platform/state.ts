/** @fileoverview State of the stand-in platform. */

import type {PlatformFaults, PlatformLedger} from './types.js';
import type {Row} from '@jackdawfall/core';

const NO_LIMIT = Number.POSITIVE_INFINITY;

/** Everything the stand-in keeps. */
export interface PlatformState {
  revision: number;
  readonly rows: Map<string, Row>;
  readonly objects: Map<string, string>;
  faults: PlatformFaults;
  readonly ledger: PlatformLedger;
}

/**
 * Makes the state without faults.
 *
 * @returns Faults that do nothing.
 */
export function noFaults(): PlatformFaults {
  return {
    latencyMs: 0,
    writesPerSecond: NO_LIMIT,
    readsPerSecond: NO_LIMIT,
    outage: 'none',
    lostReplies: 0,
    delayedWrites: 0,
    delayMs: 0,
  };
}

/**
 * Makes an empty platform.
 *
 * @returns Its state.
 */
export function emptyPlatform(): PlatformState {
  return {
    revision: 0,
    rows: new Map(),
    objects: new Map(),
    faults: noFaults(),
    ledger: {
      commits: 0,
      conflicts: 0,
      reads: 0,
      objectReads: 0,
      objectWrites: 0,
      refused: 0,
      lostReplies: 0,
      delayedWrites: 0,
      hung: 0,
      seconds: [],
    },
  };
}
