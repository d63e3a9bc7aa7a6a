/**
 * @fileoverview Times of leases that depend on one another. They are derived
 * from the tuning or checked against it, so that a slow reply on a calm day
 * neither makes a lease run low nor a member look lost.
 */

import type {Tuning} from './defaults.js';

/** Remaining lease time below which a row write extends the lease. */
export const ROW_RENEWAL_THRESHOLD_MS = 800;
/** Maximum share by which the clock of a backend server runs slow. */
export const SERVER_CLOCK_ERROR = 0.02;
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
 * Returns by how much slice grants end before the lease that backs them. The
 * server counts the time from the arrival of the call, by a slow clock; a call
 * that arrives just before it is given up has to end with the lease and its
 * margin, for which evictions wait.
 *
 * @param leases - Tuning of leases.
 * @returns Milliseconds.
 */
export function grantReserveMs(leases: Tuning['leases']): number {
  const {leaseMs, marginMs, grantCallMs} = leases;
  const clockErrorMs = leaseMs * SERVER_CLOCK_ERROR;
  return Math.max(0, grantCallMs + clockErrorMs - marginMs);
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
  const grantMs = leaseMs - grantReserveMs(tuning.leases);
  if (faults.length === 0 && renewMs * 2 > grantMs) {
    const message = 'must leave grants that last for two renewals';
    faults.push({name: 'grantCallMs', message});
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
