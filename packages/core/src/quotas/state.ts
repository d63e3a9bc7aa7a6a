/** @fileoverview Initial state of quotas, and the times of shares. */

import type {MemberId} from '../ids/types.js';
import type {
  Divider,
  Holder,
  QuotaState,
  TenantAccount,
  TenantUsage,
} from './types.js';

/**
 * Time for which permits are valid, from the time at which the report was sent
 * that they answer. A lower limit has to be in force everywhere 2.5 s after its
 * acknowledgement.
 */
export const SHARE_MS = 2000;
/** Counts in reports are given modulo this number, to fit into 32 bits. */
export const COUNT_MODULUS = 2 ** 30;

/**
 * Creates the state of a daemon that knows no tenants.
 *
 * @returns The state.
 */
export function createQuotaState(): QuotaState {
  return {
    quotas: new Map(),
    byIndex: [],
    workspace: null,
    holder: createHolder(),
    divider: createDivider(),
  };
}

function createHolder(): Holder {
  return {
    self: null,
    divider: null,
    appliedRound: 0,
    sequence: 0,
    sentReports: [],
    usage: new Map(),
    urgent: new Set(),
    confirmsShares: false,
    nextReportAt: 0,
    lastReportAt: 0,
    measuredAt: 0,
    answeredAt: 0,
    answered: false,
    admittedTotal: 0,
    rejectedTotal: 0,
  };
}

function createDivider(): Divider {
  return {
    self: null,
    since: 0,
    readyAt: Infinity,
    nextCheckAt: 0,
    accounts: new Map(),
    members: new Map(),
    places: 0,
  };
}

/**
 * Creates the use of a tenant of which there was no request.
 *
 * @param now - Monotonic time, in milliseconds.
 * @returns The use.
 */
export function createTenantUsage(now: number): TenantUsage {
  return {
    admitted: 0,
    reported: null,
    returnableAfter: now,
    allowance: null,
    offered: 0,
    offeredPerSecond: 0,
    longTermPerSecond: 0,
    lastOfferedAt: -Infinity,
    evenPermits: 0,
    evenCountedAt: now,
  };
}

/**
 * Creates the account of a tenant.
 *
 * @param level - Its level.
 * @param now - Monotonic time, in milliseconds.
 * @returns The account, without permits handed out.
 */
export function createAccount(level: number, now: number): TenantAccount {
  return {
    level,
    recent: {intervals: [], total: 0},
    countedAt: now,
    usage: new Map<MemberId, never>(),
    outstanding: 0,
    need: 0,
    rate: 0,
  };
}
