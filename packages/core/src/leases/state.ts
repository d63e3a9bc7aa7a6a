/** @fileoverview Initial state of leases. */

import type {Lease, Ward} from './types.js';

/**
 * Creates the lease of a member that has not joined.
 *
 * @returns The lease.
 */
export function createLease(): Lease {
  return {
    revision: 0,
    grantors: [],
    pending: [],
    touched: null,
    promises: new Map(),
    rounds: new Map(),
    nextRound: 1,
    renewAt: 0,
    writeAfter: 0,
    failures: 0,
    contacts: new Map(),
    ringDiffersSince: null,
    probeAt: 0,
    grantedAt: 0,
    answeredAt: 0,
    held: false,
  };
}

/**
 * Creates a ward that holds no promise.
 *
 * @param now - Monotonic time, in milliseconds.
 * @returns The ward.
 */
export function createWard(now: number): Ward {
  return {
    promisedUntil: 0,
    heard: now,
    suspectAt: 0,
    reports: 0,
    behindSince: null,
    version: 0,
    configuration: 0,
    row: 0,
    rowSince: now,
  };
}
