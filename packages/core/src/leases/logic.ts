/** @fileoverview Which lease a member holds at an instant, and from whom. */

import type {Instant} from '../clock/types.js';
import type {MemberId} from '../ids/types.js';
import type {OwnershipState} from '../ownership/state.js';
import {isRuleEnabled} from '../ownership/state.js';
import {isLeaseSuspended} from '../restore/state.js';
import type {LeaseState, CurrentLease} from './types.js';

const NO_LEASE: CurrentLease = {
  source: 'none',
  until: {monotonic: 0, wall: 0},
};

/**
 * Returns the lease that is valid at an instant. A granted lease runs from the
 * time its renewal was sent and must be valid by both clocks. A confirmed write
 * of this member's row counts as a lease only if no grantor's lease is valid
 * (R8).
 *
 * @param state - State of ownership.
 * @param at - The instant.
 * @returns The source and end of the lease; source `none` if there is none.
 */
export function currentLease(state: OwnershipState, at: Instant): CurrentLease {
  const granted = grantedLease(state, at);
  return granted.source === 'none' ? rowLease(state, at) : granted;
}

/**
 * Returns the end of the lease that ends last, be it from a grantor or from a
 * write of the row: the member is evicted only after both.
 *
 * @param state - State of ownership.
 * @param at - The instant.
 * @returns The end, or null without a valid lease.
 */
export function latestLeaseEnd(
  state: OwnershipState,
  at: Instant,
): Instant | null {
  const latest = laterOf(grantedLease(state, at), rowLease(state, at));
  return latest.source === 'none' ? null : latest.until;
}

/** Returns the lease from the latest confirmed write of the row (R8). */
function rowLease(
  {lease, settings, restore, map}: OwnershipState,
  at: Instant,
): CurrentLease {
  if (isLeaseSuspended(restore, map.era, at.monotonic)) return NO_LEASE;
  const {leaseMs} = settings.tuning.leases;
  const {rowLeaseStart} = lease;
  const isValid =
    rowLeaseStart !== null && isUnexpired(rowLeaseStart, at, leaseMs);
  if (!isValid) return NO_LEASE;
  return {source: 'touch', until: expiryOf(rowLeaseStart, leaseMs)};
}

/** Returns the valid lease from a grantor that ends last. */
function grantedLease(state: OwnershipState, at: Instant): CurrentLease {
  const {lease, restore, map} = state;
  if (isLeaseSuspended(restore, map.era, at.monotonic)) return NO_LEASE;
  const {leaseMs} = state.settings.tuning.leases;
  let best = NO_LEASE;
  for (const grantor of certainGrantors(state)) {
    const sent = lease.grantedRenewals.get(grantor);
    if (sent === undefined || !isUnexpired(sent, at, leaseMs)) continue;
    best = laterOf(best, {source: 'grantor', until: expiryOf(sent, leaseMs)});
  }
  return best;
}

/**
 * Lists the grantors whose leases count: those that the row names, whichever
 * of the unresolved writes take effect. An evicting member asks only the
 * grantors that it finds in the row to revoke, so a lease from a grantor that
 * may be missing there must not count (R3).
 *
 * @param state - State of ownership.
 * @returns The grantors.
 */
export function certainGrantors(state: OwnershipState): readonly MemberId[] {
  const {lease} = state;
  if (lease.unresolvedWrites.length === 0) return lease.grantors;
  if (!isRuleEnabled(state, 'R3')) return possibleGrantors(lease);
  return lease.grantors.filter(grantor =>
    lease.unresolvedWrites.every(write => write.grantors.includes(grantor)),
  );
}

/**
 * Lists the grantors that the row names, or would name after any unresolved
 * write.
 *
 * @param lease - State of the lease.
 * @returns The grantors, each once.
 */
export function possibleGrantors(lease: LeaseState): MemberId[] {
  const grantors = new Set(lease.grantors);
  for (const write of lease.unresolvedWrites) {
    for (const grantor of write.grantors) grantors.add(grantor);
  }
  return [...grantors];
}

/**
 * Returns whether a lease whose renewal was sent at `sent` is still valid. If
 * the wall clock is earlier than `sent`, it was set back and the lease's age is
 * unknown; the lease then counts as expired.
 *
 * @param sent - When its renewal was sent.
 * @param at - The instant to check.
 * @param leaseMs - Duration of a lease, in milliseconds.
 * @returns Whether it is valid by both clocks.
 */
export function isUnexpired(
  sent: Instant,
  at: Instant,
  leaseMs: number,
): boolean {
  const wallAge = at.wall - sent.wall;
  return (
    at.monotonic - sent.monotonic < leaseMs && wallAge >= 0 && wallAge < leaseMs
  );
}

/**
 * Returns the revision that this member's row has in the store.
 *
 * @param lease - State of the lease.
 * @returns The revision; 0 if a restored store has lost the row.
 */
export function storedRevision(lease: LeaseState): number {
  return lease.rowLost ? 0 : lease.revision;
}

function expiryOf(sent: Instant, leaseMs: number): Instant {
  return {monotonic: sent.monotonic + leaseMs, wall: sent.wall + leaseMs};
}

function laterOf(a: CurrentLease, b: CurrentLease): CurrentLease {
  if (a.source === 'none') return b;
  return b.until.monotonic > a.until.monotonic ? b : a;
}
