/** @fileoverview State of the emulated platform. */

import type {PlatformFaults, PlatformLedger} from './types.js';
import type {Row} from '@jackdawfall/core';

const NO_LIMIT = Number.POSITIVE_INFINITY;

/** State of the emulated platform. */
export interface PlatformState {
  revision: number;
  readonly rows: Map<string, Row>;
  readonly objects: Map<string, string>;
  faults: PlatformFaults;
  readonly ledger: PlatformLedger;
}

/**
 * Creates the settings of faults with every fault off.
 *
 * @returns The settings.
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
 * Creates the state of an empty platform.
 *
 * @returns The state.
 */
export function createPlatformState(): PlatformState {
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
