/** @fileoverview Initial lease state of holders and grantors. */

import type {LeaseState, WatchedMember} from './types.js';

/**
 * Creates the lease state of a member that hasn't joined.
 *
 * @returns The state, without a lease.
 */
export function createLeaseState(): LeaseState {
  return {
    revision: 0,
    grantors: [],
    unresolvedWrites: [],
    rowLeaseStart: null,
    grantedRenewals: new Map(),
    pendingRenewals: new Map(),
    nextRound: 1,
    nextRenewalAt: 0,
    nextRowWriteAt: 0,
    rowWriteFailures: 0,
    grantorStatuses: new Map(),
    grantorChangePendingSince: null,
    nextProbeAt: 0,
    lastGrantedAt: 0,
    lastReplyAt: 0,
    held: false,
  };
}

/**
 * Creates the record of a member that was granted no lease.
 *
 * @param now - Monotonic time, in milliseconds.
 * @returns The record, with `now` as the time of its last renewal.
 */
export function createWatchedMember(now: number): WatchedMember {
  return {
    leaseExpiresAt: 0,
    lastHeardAt: now,
    nextReportAt: 0,
    reports: 0,
    outdatedConfigurationSince: null,
    version: 0,
    configuration: 0,
    rowRevision: 0,
    revisionSeenAt: now,
  };
}
