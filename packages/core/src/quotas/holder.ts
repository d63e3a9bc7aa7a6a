/**
 * @fileoverview The part of a member that uses permits: it admits requests,
 * reports them and their rate to the divider, and applies the shares it gets.
 */

import type {Instant} from '../clock/types.js';
import type {TenantName} from '../ids/types.js';
import {isUnexpired} from '../leases/logic.js';
import type {ControlMessage} from '../messages/types.js';
import type {Tuning} from '../settings/defaults.js';
import {COUNT_MODULUS, SHARE_MS, createTenantUsage} from './state.js';
import type {
  Holder,
  QuotaMembership,
  QuotaState,
  TenantQuota,
  TenantUsage,
} from './types.js';

type Demand = Extract<ControlMessage, {kind: 'quotaDemand'}>;
type Shares = Extract<ControlMessage, {kind: 'quotaShares'}>;

/** Time between two reports of all tenants. */
export const REPORT_INTERVAL_MS = 500;
/** Minimum time between two reports if permits of a tenant run out. */
const URGENT_INTERVAL_MS = 100;
/**
 * The same for each tenant with requests, so that the messages of a
 * daemon with requests of 80 tenants stay under 4 KB/s.
 */
const URGENT_INTERVAL_PER_TENANT_MS = 4;
/** Maximum number of tenants in a report between the regular ones. */
const MAX_URGENT_TENANTS = 4;
/** Part of the permits that is left when a tenant is reported as urgent. */
const URGENT_SHARE = 0.25;
/** Time for which a tenant without requests is still reported. */
const RECENT_MS = 30_000;
/** Part of the measured rate that remains at each report if requests cease. */
const RATE_DECAY = 0.5;
/** Weight of a measured rate in the rate over a longer time. */
const LONG_TERM_WEIGHT = 0.04;
/**
 * Maximum of the longer rate that is reported, per second. It is for members that
 * get a request every few seconds; permits for more would stay after demand moves.
 */
const MAX_LONG_TERM = 1;
/** Minimum time over which a rate is measured. */
const MIN_MEASURE_MS = 100;
/** Reports carry rates as integers, in this part of a request per second. */
export const RATE_UNIT = 0.1;
/** Maximum rate in a report, in requests per second. */
const MAX_RATE = 1e6;
/** Maximum number of reports without an answer that are kept. */
const MAX_SENT_REPORTS = 16;
const MS_PER_S = 1000;

/**
 * Takes a permit for a request.
 *
 * @param state - State of quotas.
 * @param tenant - The tenant that sent the request.
 * @param at - The current time.
 * @param hasLease - Whether this daemon has a lease; without one, it admits
 *   nothing beyond its share.
 * @returns Null if the request is admitted, otherwise the reason.
 */
export function admitRequest(
  state: QuotaState,
  tenant: TenantName,
  at: Instant,
  hasLease: boolean,
): string | null {
  const {holder, quotas} = state;
  if (state.workspace === null) return 'no configuration is in force';
  const quota = quotas.get(tenant);
  if (quota === undefined) return null;
  const now = at.monotonic;
  const usage = usageOf(holder, tenant, now);
  usage.offered += 1;
  usage.lastOfferedAt = now;
  const left = permitsLeft(usage, at);
  const {allowance} = usage;
  const used = usage.admitted - (usage.reported ?? 0);
  if (left <= Math.max(1, URGENT_SHARE * (left + used))) {
    holder.urgent.add(tenant);
  }
  if (left > 0) {
    usage.admitted += 1;
    holder.admittedTotal += 1;
    return null;
  }
  if (hasLease && usage.evenPermits >= 1) {
    usage.evenPermits -= 1;
    usage.returnableAfter = now;
    holder.admittedTotal += 1;
    return null;
  }
  holder.rejectedTotal += 1;
  const expired = allowance !== null && !isCurrent(usage, at);
  const cause = expired ? 'the share expired' : 'the share is used up';
  return (
    `${allowance === null ? 'no share was received' : cause}; ` +
    `rate ${quota.ratePerSecond}, burst ${quota.burst}, ` +
    `here ${usage.offeredPerSecond.toFixed(1)} a second`
  );
}

/**
 * Returns the permit of a request that was not run. A permit that was reported
 * as used is not returned, since the divider may have given out another for it;
 * nor one that may have been an even permit, which the share doesn't count.
 *
 * @param holder - State of the holder.
 * @param tenant - The tenant that sent the request.
 * @param admittedAt - Monotonic time at which it was admitted.
 */
export function giveBackPermit(
  holder: Holder,
  tenant: TenantName,
  admittedAt: number,
): void {
  const usage = holder.usage.get(tenant);
  if (usage === undefined || admittedAt <= usage.returnableAfter) return;
  if (usage.admitted > (usage.reported ?? 0)) usage.admitted -= 1;
}

/**
 * Counts the permits that a share still allows.
 *
 * @param usage - Use of a tenant's permits.
 * @param at - The current time.
 * @returns The number of permits; 0 once the share has expired.
 */
export function permitsLeft(usage: TenantUsage, at: Instant): number {
  if (usage.allowance === null || !isCurrent(usage, at)) return 0;
  return Math.max(0, usage.allowance.limit - usage.admitted);
}

function isCurrent({allowance}: TenantUsage, at: Instant): boolean {
  return allowance !== null && isUnexpired(allowance.since, at, SHARE_MS);
}

/**
 * Follows the configuration and the membership: permits of an earlier
 * incarnation, of tenants without a limit and of those whose limits were lowered
 * are dropped.
 *
 * @param state - State of quotas.
 * @param before - The quotas of the previous configuration.
 * @param membership - The membership.
 */
export function updateHolder(
  state: QuotaState,
  before: ReadonlyMap<TenantName, TenantQuota>,
  membership: QuotaMembership,
): void {
  const {holder, quotas} = state;
  if (holder.self !== membership.self) {
    holder.self = membership.self;
    holder.usage.clear();
    holder.urgent.clear();
    forgetDivider(holder);
  }
  const [divider = null] = membership.members;
  if (holder.divider !== divider) {
    forgetDivider(holder);
    holder.divider = divider;
  }
  if (before === quotas) return;
  for (const [tenant, usage] of holder.usage) {
    const quota = quotas.get(tenant);
    const old = before.get(tenant);
    if (quota === undefined) {
      holder.usage.delete(tenant);
      holder.urgent.delete(tenant);
    } else if (old !== undefined && isLower(quota, old)) {
      usage.allowance = null;
      usage.evenPermits = 0;
      holder.urgent.add(tenant);
    }
  }
}

function isLower(quota: TenantQuota, old: TenantQuota): boolean {
  return quota.ratePerSecond < old.ratePerSecond || quota.burst < old.burst;
}

/** Permits stay valid; whoever divides next waits until they expire. */
function forgetDivider(holder: Holder): void {
  holder.divider = null;
  holder.appliedRound = 0;
  holder.sentReports = [];
  holder.confirmsShares = false;
  for (const usage of holder.usage.values()) usage.reported = null;
}

/**
 * Counts the permits for times without a share. Members in consecutive places
 * get them, other members for each tenant: whole permits for all members would
 * exceed the quota of a small tenant.
 *
 * @param state - State of quotas.
 * @param membership - The membership.
 * @param now - Monotonic time, in milliseconds.
 * @param tuning - Tuning of tenants.
 */
export function countEvenPermits(
  state: QuotaState,
  membership: QuotaMembership,
  now: number,
  tuning: Tuning['tenants'],
): void {
  const {members, self} = membership;
  const place = self === null ? -1 : members.indexOf(self);
  for (const [tenant, usage] of state.holder.usage) {
    const quota = state.quotas.get(tenant);
    const elapsedMs = now - usage.evenCountedAt;
    usage.evenCountedAt = now;
    if (quota === undefined || place < 0) continue;
    const part = evenPartOf(quota, place, members.length);
    // Half of the permits may be held, the other half comes in each window.
    const gained = (part * elapsedMs) / tuning.quotaWindowMs;
    usage.evenPermits = Math.min(part, usage.evenPermits + gained);
  }
}

/** Returns the even part of a member: at least one permit or none. */
function evenPartOf(
  quota: TenantQuota,
  place: number,
  members: number,
): number {
  const permits = quota.evenPermits / 2;
  const places = Math.min(members, Math.floor(permits));
  const isChosen = (place + quota.index) % members < places;
  return isChosen ? permits / places : 0;
}

/**
 * Builds the report that is due, if any: one of all tenants with requests at
 * regular times, and one of those whose permits run out in between.
 *
 * @param state - State of quotas.
 * @param configuration - Version of the configuration in force.
 * @param at - The current time.
 * @param random - Uniform in [0, 1); spreads the reports of the members.
 * @returns The report, or null.
 */
export function nextReport(
  state: QuotaState,
  configuration: number,
  at: Instant,
  random: number,
): Demand | null {
  const {holder, quotas} = state;
  const now = at.monotonic;
  if (holder.nextReportAt === 0) {
    holder.nextReportAt = now + random * REPORT_INTERVAL_MS;
  }
  if (now >= holder.nextReportAt) {
    holder.nextReportAt = now + REPORT_INTERVAL_MS;
    measureRates(holder, now);
    const reported = [...quotas.values()].filter(({tenant}) =>
      isReported(holder.usage.get(tenant), now),
    );
    return buildReport(holder, configuration, at, false, reported);
  }
  const isWanted = holder.urgent.size > 0 || holder.confirmsShares;
  const intervalMs = Math.max(
    URGENT_INTERVAL_MS,
    holder.usage.size * URGENT_INTERVAL_PER_TENANT_MS,
  );
  if (!isWanted || now < holder.lastReportAt + intervalMs) return null;
  const urgent: TenantQuota[] = [];
  for (const tenant of holder.urgent) {
    if (urgent.length >= MAX_URGENT_TENANTS) break;
    holder.urgent.delete(tenant);
    const quota = quotas.get(tenant);
    if (quota !== undefined) urgent.push(quota);
  }
  return buildReport(holder, configuration, at, true, urgent);
}

function isReported(usage: TenantUsage | undefined, now: number): boolean {
  if (usage === undefined) return false;
  if (now - usage.lastOfferedAt < RECENT_MS) return true;
  return usage.admitted !== (usage.reported ?? 0);
}

function buildReport(
  holder: Holder,
  configuration: number,
  at: Instant,
  partial: boolean,
  reported: readonly TenantQuota[],
): Demand {
  holder.sequence += 1;
  holder.lastReportAt = at.monotonic;
  holder.confirmsShares = false;
  if (!partial) holder.urgent.clear();
  const usages = reported.map(({tenant}) =>
    usageOf(holder, tenant, at.monotonic),
  );
  for (const usage of usages) {
    usage.reported = usage.admitted;
    usage.returnableAfter = at.monotonic;
  }
  const admitted = new Map<TenantName, number>();
  for (const [tenant, usage] of holder.usage) {
    admitted.set(tenant, usage.admitted);
  }
  const {sequence} = holder;
  holder.sentReports.push({sequence, sentAt: at, admitted});
  if (holder.sentReports.length > MAX_SENT_REPORTS) holder.sentReports.shift();
  const elapsedMs = at.monotonic - holder.measuredAt;
  return {
    kind: 'quotaDemand',
    configuration,
    sequence,
    applied: holder.appliedRound,
    partial,
    tenants: reported.map(({index}) => index),
    admitted: usages.map(usage => usage.admitted % COUNT_MODULUS),
    rates: usages.map(usage => rateForReport(usage, elapsedMs)),
  };
}

/** Measures the rates; they rise at once and fall slowly. */
function measureRates(holder: Holder, now: number): void {
  const elapsedMs = now - holder.measuredAt;
  if (elapsedMs < MIN_MEASURE_MS) return;
  holder.measuredAt = now;
  for (const usage of holder.usage.values()) {
    const measured = (usage.offered * MS_PER_S) / elapsedMs;
    const remaining = usage.offeredPerSecond * RATE_DECAY;
    usage.offeredPerSecond = Math.max(measured, remaining);
    usage.longTermPerSecond +=
      LONG_TERM_WEIGHT * (measured - usage.longTermPerSecond);
    usage.offered = 0;
  }
}

/** Returns the rate in units of a report, with requests not yet measured. */
function rateForReport(usage: TenantUsage, elapsedMs: number): number {
  const recent =
    (usage.offered * MS_PER_S) / Math.max(elapsedMs, MIN_MEASURE_MS);
  const longTerm = Math.min(MAX_LONG_TERM, usage.longTermPerSecond);
  const rate = Math.max(usage.offeredPerSecond, recent, longTerm);
  return Math.ceil(Math.min(MAX_RATE, rate) / RATE_UNIT);
}

/**
 * Applies shares. Those that answer no current report of this daemon, or come
 * from a former divider, are ignored. If an earlier message was lost, the
 * permits that this one doesn't name are dropped, since the divider takes them
 * as replaced.
 *
 * @param state - State of quotas.
 * @param shares - The message.
 * @param at - The current time.
 */
export function applyShares(
  state: QuotaState,
  shares: Shares,
  at: Instant,
): void {
  const {holder} = state;
  if (shares.round <= holder.appliedRound) return;
  const report = holder.sentReports.find(
    ({sequence}) => sequence === shares.sequence,
  );
  if (report === undefined) return;
  if (shares.round !== holder.appliedRound + 1) {
    for (const usage of holder.usage.values()) usage.allowance = null;
  }
  holder.appliedRound = shares.round;
  holder.answeredAt = at.monotonic;
  const {sequence, sentAt} = report;
  holder.sentReports = holder.sentReports.filter(
    each => each.sequence >= sequence,
  );
  for (const [position, index] of shares.tenants.entries()) {
    const tenant = state.byIndex[index]?.tenant;
    if (tenant === undefined) continue;
    const usage = usageOf(holder, tenant, at.monotonic);
    const base = report.admitted.get(tenant) ?? 0;
    const limit = base + shares.permits[position];
    if (limit < (usage.allowance?.limit ?? 0)) holder.confirmsShares = true;
    usage.allowance = {limit, since: sentAt};
  }
}

function usageOf(holder: Holder, tenant: TenantName, now: number): TenantUsage {
  let usage = holder.usage.get(tenant);
  if (usage === undefined) {
    usage = createTenantUsage(now);
    holder.usage.set(tenant, usage);
  }
  return usage;
}
