/**
 * @fileoverview Times of leases that depend on one another. They are derived
 * from the tuning or checked against it, so that a slow reply on a calm day
 * neither makes a lease run low nor a member look lost.
 */

import type {Tuning} from './defaults.js';

/** Remaining lease time below which a row write extends the lease. */
export const ROW_RENEWAL_THRESHOLD_MS = 800;
/** Number of ticks by which a renewal or its reply may be late. */
const LATE_TICKS = 3;

/**
 * Returns the time without any reply after which a member counts as partitioned
 * and pauses its row writes. When a renewal is due, the reply to the previous
 * one is nearly as old as the interval, and a few ticks older on a busy host.
 * Beyond that the time has to be short: a row write just before the pause
 * restarts the time for which the row has to be unchanged before an eviction.
 *
 * @param tuning - Tuning of the daemon.
 * @returns Milliseconds.
 */
export function partitionTimeoutMs(
  tuning: Pick<Tuning, 'loop' | 'leases'>,
): number {
  return tuning.leases.renewMs + LATE_TICKS * tuning.loop.tickMs;
}

/**
 * Checks that the times of leases fit together.
 *
 * @param tuning - Complete tuning.
 * @returns The faults: the name of a value in `leases`, and what it must be.
 */
export function checkLeaseTimes(
  tuning: Pick<Tuning, 'loop' | 'leases'>,
): ReadonlyArray<{readonly name: string; readonly message: string}> {
  const {leaseMs, marginMs, renewMs, suspectMs} = tuning.leases;
  const lateMs = partitionTimeoutMs(tuning);
  const faults: Array<{name: string; message: string}> = [];
  if (renewMs * 2 > leaseMs) {
    faults.push({name: 'renewMs', message: 'must be at most half of leaseMs'});
  }
  if (marginMs >= leaseMs) {
    faults.push({name: 'marginMs', message: 'must be less than leaseMs'});
  }
  const leastLeaseMs = lateMs + ROW_RENEWAL_THRESHOLD_MS;
  if (faults.length === 0 && leaseMs < leastLeaseMs) {
    const message = `must be at least ${leastLeaseMs} with this renewMs and tickMs`;
    faults.push({name: 'leaseMs', message});
  }
  if (suspectMs < lateMs) {
    const message = `must be at least ${lateMs} with this renewMs and tickMs`;
    faults.push({name: 'suspectMs', message});
  }
  return faults;
}
