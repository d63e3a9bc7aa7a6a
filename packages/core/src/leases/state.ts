/** @fileoverview Initial lease state of holders and grantors. */

import {NO_ERA} from '../restore/era.js';
import type {LeaseState, WatchedMember} from './types.js';

/**
 * Maximum random delay, beyond `followRingMs`, before a member follows a change
 * of the ring.
 */
export const MAX_FOLLOW_DELAY_MS = 1000;

/**
 * Creates the lease state of a member that hasn't joined.
 *
 * @returns The state, without a lease.
 */
export function createLeaseState(): LeaseState {
  return {
    revision: 0,
    revisionEra: NO_ERA,
    writtenEra: NO_ERA,
    rowLost: false,
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
 * @param heardAt - Monotonic time from which its silence counts.
 * @returns The record.
 */
export function createWatchedMember(heardAt: number): WatchedMember {
  return {
    leaseExpiresAt: 0,
    lastHeardAt: heardAt,
    cleared: false,
    nextReportAt: 0,
    reports: 0,
    outdatedConfigurationSince: null,
    outdatedEraSince: null,
    version: 0,
    configuration: 0,
    rowRevision: 0,
    revisionSeenAt: heardAt,
  };
}
