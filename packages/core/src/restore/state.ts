/** @fileoverview State of restores of the store, and the times they take. */

import type {Tuning} from '../settings/defaults.js';
import {NO_ERA} from './era.js';
import type {RestoreState} from './types.js';

/**
 * Maximum age of the latest comparison with the store's log under which a member
 * dispatches while a restore is being handled.
 */
export const VERIFY_MS = 1500;
/** Time in which all reachable members learn of a new era. */
const SPREAD_MS = 1000;

/**
 * Creates the state of a daemon that knows no era.
 *
 * @returns The state.
 */
export function createRestoreState(): RestoreState {
  return {era: NO_ERA, settledEra: NO_ERA, leaseKept: false, pending: null};
}

/**
 * Returns the time for which nobody appends after a restore. At its end, each
 * member that has learnt of the restore has either its entries in the store's
 * log or no lease any more, and each that has not is refused leases for being
 * behind.
 *
 * @param tuning - Tuning of the daemon.
 * @returns Milliseconds.
 */
export function settleMs(tuning: Pick<Tuning, 'leases'>): number {
  const {behindMs, leaseMs, marginMs} = tuning.leases;
  return SPREAD_MS + VERIFY_MS + behindMs + 2 * leaseMs + marginMs;
}

/**
 * Returns whether a member must not use its lease: the log may have gone on
 * without the entries that it has applied, or entries that the store has lost may
 * have ended it. In the latter case its slices have had higher generations, which
 * the first entry of the era exceeds.
 *
 * @param restore - State of restores.
 * @param mapEra - Highest era of an applied entry.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether it is to dispatch nothing and to grant no lease.
 */
export function isLeaseSuspended(
  restore: RestoreState,
  mapEra: number,
  now: number,
): boolean {
  const {pending, era, leaseKept} = restore;
  if (mapEra < era && !leaseKept) return true;
  if (pending === null || pending.kind !== 'rise') return false;
  if (pending.contradictedAt !== null || pending.endsSelf) return true;
  return now - (pending.verifiedAt ?? pending.notedAt) > VERIFY_MS;
}
