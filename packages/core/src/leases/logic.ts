/** @fileoverview The lease a member holds: rules R1, R3, R7 and R8. */

import type {Instant} from '../clock/types.js';
import type {MemberId} from '../ids/types.js';
import type {OwnershipState} from '../ownership/state.js';
import {isRuleEnabled} from '../ownership/state.js';
import type {LeaseState, CurrentLease} from './types.js';

const NEVER: Instant = {monotonic: 0, wall: 0};

/**
 * Finds the lease at an instant (R1). A promise counts from the time its
 * renewal was sent and must hold by both clocks.
 *
 * @param state - The state.
 * @param at - The instant.
 * @returns Where the lease comes from and when it ends.
 */
export function currentLease(state: OwnershipState, at: Instant): CurrentLease {
  const {lease} = state;
  const leaseMs = state.settings.tuning.leases.leaseMs;
  let best: CurrentLease = {source: 'none', until: NEVER};
  for (const grantor of certainGrantors(state)) {
    const sent = lease.grantedRenewals.get(grantor);
    if (sent === undefined || !isUnexpired(sent, at, leaseMs)) continue;
    best = later(best, {source: 'grantor', until: after(sent, leaseMs)});
  }
  const {touchedAt: touched} = lease;
  if (best.source === 'none' && touched !== null) {
    if (isUnexpired(touched, at, leaseMs)) {
      best = {source: 'touch', until: after(touched, leaseMs)};
    }
  }
  return best;
}

/**
 * Lists the grantors whose promises count: those that the row names whatever
 * becomes of unresolved writes (R3).
 *
 * @param state - The state.
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
 * Lists the grantors that the row names or may come to name.
 *
 * @param lease - The lease.
 * @returns The grantors, each once.
 */
export function possibleGrantors(lease: LeaseState): MemberId[] {
  const all = new Set(lease.grantors);
  for (const write of lease.unresolvedWrites) {
    for (const grantor of write.grantors) all.add(grantor);
  }
  return [...all];
}

/**
 * Tells whether a promise that was asked for at `sent` still holds.
 *
 * @param sent - When its renewal was sent.
 * @param at - The instant of the question.
 * @param leaseMs - Life of a promise, in milliseconds.
 * @returns Whether it holds by both clocks.
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

function after(sent: Instant, leaseMs: number): Instant {
  return {monotonic: sent.monotonic + leaseMs, wall: sent.wall + leaseMs};
}

function later(a: CurrentLease, b: CurrentLease): CurrentLease {
  if (a.source === 'none') return b;
  return b.until.monotonic > a.until.monotonic ? b : a;
}
