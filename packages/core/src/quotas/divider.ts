/**
 * @fileoverview The part of a member that divides quotas among all members while
 * it is the divider. For each tenant it keeps a token bucket. Permits that
 * members hold unused never exceed the level of the bucket plus the reserve, so
 * that in any time T no more than burst + rate * T + reserve are used. A tenant
 * whose burst and reserve are too small for all members gets extra permits while
 * it is below its limits. For all tenants, what was used in the last window and
 * what members hold together stays within the quota of a window.
 */

import type {MemberId, TenantName} from '../ids/types.js';
import type {ControlMessage} from '../messages/types.js';
import {RATE_UNIT} from './holder.js';
import {addRecent, countRecent} from './recent.js';
import {COUNT_MODULUS, SHARE_MS, createAccount} from './state.js';
import type {
  Divider,
  MemberReports,
  MemberUsage,
  QuotaState,
  TenantAccount,
  TenantQuota,
} from './types.js';

type Demand = Extract<ControlMessage, {kind: 'quotaDemand'}>;
type Shares = Extract<ControlMessage, {kind: 'quotaShares'}>;

/**
 * Time for which a member with demand gets permits in advance. It asks for more
 * when they run out; more in advance are missing where demand moves to.
 */
const SUPPLY_MS = 350;
/** Standard deviations of a Poisson process that a supply allows for. */
const DEVIATIONS = 1.5;
/** Permits of a member with recent requests, whatever their rate. */
const MIN_NEED = 0.25;
/**
 * Part of the remainder that is given to members beyond their need: half of it
 * by need, half evenly. The rest is kept for demand that moves.
 */
const REMAINDER_SHARE = 0.5;
/**
 * Rate of all requests, as a multiple of the limit, above which there are no
 * extra permits: they would be used at once and be missing later in the window.
 */
const MAX_EXTRA_PERMIT_RATE = 2;
/**
 * Reported rate, per second, up to which half of it counts: it rises at once and
 * falls slowly, so that a single request counts twice.
 */
const MAX_SPARSE_RATE = 4;
/**
 * Part of the remainder that is given to members as a first permit each, so that
 * their first request is admitted.
 */
const FIRST_PERMIT_SHARE = 0.9;
/** Spreads the rounding of first permits over members and tenants. */
const ROUNDING_STEPS = {member: 0.618034, tenant: 0.414214} as const;
/** Interval at which expired permits are searched. */
const CHECK_INTERVAL_MS = 500;
const MS_PER_S = 1000;

/** Times from the tuning, in milliseconds. */
export interface QuotaTimes {
  /** Margin for clocks that run at different rates. */
  readonly marginMs: number;
  /** Length of the window in which a quota holds. */
  readonly windowMs: number;
}

/** What decides whether this daemon divides, and since when. */
export interface DividerRole {
  readonly self: MemberId | null;
  readonly ranksFirst: boolean;
  readonly hasFormerMembers: boolean;
  readonly marginMs: number;
}

/**
 * Updates the role. A new divider waits until all permits of its predecessor
 * have expired. If no member was ever removed, there was none.
 *
 * @param state - State of quotas.
 * @param role - The present role.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether the role changed.
 */
export function updateRole(
  state: QuotaState,
  role: DividerRole,
  now: number,
): boolean {
  const {divider} = state;
  const self = role.ranksFirst ? role.self : null;
  if (divider.self === self) return false;
  divider.self = self;
  divider.accounts.clear();
  divider.members.clear();
  divider.since = now;
  const waitMs = role.hasFormerMembers ? SHARE_MS + role.marginMs : 0;
  divider.readyAt = self === null ? Infinity : now + waitMs;
  return true;
}

/**
 * Handles a report and decides on the shares of its sender.
 *
 * @param state - State of quotas.
 * @param from - The member that reports.
 * @param report - Its report.
 * @param now - Monotonic time, in milliseconds.
 * @param times - Times from the tuning.
 * @param members - Number of members.
 * @returns The shares, or null if there is nothing to send.
 */
export function answerReport(
  state: QuotaState,
  from: MemberId,
  report: Demand,
  now: number,
  times: QuotaTimes,
  members: number,
): Shares | null {
  const {divider} = state;
  const until = now + SHARE_MS + times.marginMs;
  if (now < divider.readyAt) return null;
  const known = reportsOf(divider, from);
  if (report.sequence <= known.sequence) return null;
  known.sequence = report.sequence;
  const listed = new Map(
    report.tenants.map((index, position) => [index, position]),
  );
  const tenants: number[] = [];
  const permits: number[] = [];
  for (const quota of state.quotas.values()) {
    const position = listed.get(quota.index);
    if (position === undefined && report.partial) {
      confirmUnlisted(divider, quota, from, report.applied);
      continue;
    }
    const account = accountOf(divider, quota, now);
    refill(account, quota, now);
    const usage = memberUsageOf(account, from, known, quota);
    recordReport(account, usage, quota, report, position, now);
    const recent = countRecent(account.recent, now, times.windowMs);
    const total = Math.min(
      totalPermits(account, quota),
      quota.maxInWindow - recent,
    );
    const share = shareOf(account, usage, total, members);
    if (share === 0 && usage.outstanding === 0) continue;
    grant(account, usage, known.round + 1, share, until);
    tenants.push(quota.index);
    permits.push(share);
  }
  // A regular report is answered in any case, so that the sender knows that there
  // is a divider.
  if (tenants.length === 0 && report.partial) return null;
  known.round += 1;
  const {configuration, sequence} = report;
  const round = known.round;
  return {
    kind: 'quotaShares',
    configuration,
    sequence,
    round,
    tenants,
    permits,
  };
}

/** Drops permits that later ones replaced, of a tenant that isn't reported. */
function confirmUnlisted(
  divider: Divider,
  quota: TenantQuota,
  from: MemberId,
  applied: number,
): void {
  const account = divider.accounts.get(quota.tenant);
  const usage = account?.usage.get(from);
  if (account === undefined || usage === undefined) return;
  dropReplaced(usage, applied);
  recount(account, usage);
}

function recordReport(
  account: TenantAccount,
  usage: MemberUsage,
  quota: TenantQuota,
  report: Demand,
  position: number | undefined,
  now: number,
): void {
  dropReplaced(usage, report.applied);
  if (position === undefined) {
    setNeed(account, usage, 0);
    setRate(account, usage, 0);
  } else {
    const used = countUsed(usage, report.admitted[position]);
    usage.admitted += used;
    account.level -= used;
    addRecent(account.recent, used, now);
    const rate = report.rates[position] * RATE_UNIT;
    setNeed(account, usage, needOf(Math.min(rate, quota.ratePerSecond)));
    if (!report.partial) setRate(account, usage, rate);
  }
  recount(account, usage);
}

/**
 * Returns how many permits were used since the previous report. Those that were
 * used before this divider gave any are not charged to it.
 */
function countUsed(usage: MemberUsage, reported: number): number {
  const isFirst = usage.lastReported === null && usage.sent.length === 0;
  const last = isFirst ? reported : (usage.lastReported ?? 0);
  usage.lastReported = reported;
  const used = (reported - last + COUNT_MODULUS) % COUNT_MODULUS;
  return used < COUNT_MODULUS / 2 ? used : 0;
}

/** Returns the permits needed until the report after the next one. */
function needOf(ratePerSecond: number): number {
  const expected = (ratePerSecond * SUPPLY_MS) / MS_PER_S;
  return MIN_NEED + expected + DEVIATIONS * Math.sqrt(expected);
}

/** Returns the permits that all members may hold by the token bucket. */
function totalPermits(account: TenantAccount, quota: TenantQuota): number {
  const isOver = account.rate > MAX_EXTRA_PERMIT_RATE * quota.ratePerSecond;
  if (isOver) return Math.min(account.level, quota.burst) + quota.reserve;
  const fill = Math.min(1, Math.max(0, account.level / maxLevel(quota)));
  return account.level + quota.reserve + (fill > 0 ? quota.extra * fill : 0);
}

/**
 * Returns the maximum level. Where the burst is less than what is used between
 * two reports, the bucket has to be larger for the rate to be reached.
 */
function maxLevel({burst, extra}: TenantQuota): number {
  return burst + extra / 2;
}

/**
 * Returns the permits that a member may hold: its need and a part of the
 * remainder, or a part in proportion to its need if there are too few. Permits
 * that others hold are not available, also if they need them no longer.
 */
function shareOf(
  account: TenantAccount,
  usage: MemberUsage,
  total: number,
  members: number,
): number {
  const free = Math.floor(total - (account.outstanding - usage.outstanding));
  if (free <= 0) return 0;
  const remainder = total - account.need;
  if (remainder < 0) {
    const part = Math.ceil((total * usage.need) / account.need);
    return Math.min(free, part);
  }
  const first = Math.min(1, (FIRST_PERMIT_SHARE * remainder) / members);
  const wanted = Math.max(
    Math.floor(first + usage.rounding),
    Math.ceil(usage.need) + extraOf(account, usage, remainder, members),
  );
  return Math.min(free, wanted);
}

/** Returns the part of the remainder beyond a first permit for each member. */
function extraOf(
  account: TenantAccount,
  usage: MemberUsage,
  remainder: number,
  members: number,
): number {
  const byNeed = account.need > 0 ? usage.need / account.need : 0;
  const part = 0.5 * (byNeed + 1 / members);
  const rest = Math.max(0, remainder - members);
  return Math.floor(REMAINDER_SHARE * rest * part);
}

function grant(
  account: TenantAccount,
  usage: MemberUsage,
  round: number,
  share: number,
  until: number,
): void {
  usage.sent.push({round, limit: usage.admitted + share, until});
  recount(account, usage);
}

/** Drops the permits that the member has replaced by later ones. */
function dropReplaced(usage: MemberUsage, applied: number): void {
  let latest = 0;
  for (const {round} of usage.sent) if (round <= applied) latest = round;
  usage.sent = usage.sent.filter(({round}) => round >= latest);
}

/** Counts the permits that the member may use without a further message. */
function recount(account: TenantAccount, usage: MemberUsage): void {
  const limits = usage.sent.map(({limit}) => limit - usage.admitted);
  const outstanding = Math.max(0, ...limits);
  account.outstanding += outstanding - usage.outstanding;
  usage.outstanding = outstanding;
}

function setNeed(
  account: TenantAccount,
  usage: MemberUsage,
  need: number,
): void {
  account.need = Math.max(0, account.need + need - usage.need);
  usage.need = need;
}

function setRate(
  account: TenantAccount,
  usage: MemberUsage,
  reported: number,
): void {
  const rate = reported <= MAX_SPARSE_RATE ? reported / 2 : reported;
  account.rate = Math.max(0, account.rate + rate - usage.rate);
  usage.rate = rate;
}

/**
 * Takes back permits that have expired. Whether they were used is not known, so
 * they count as used. Members that are gone are forgotten.
 *
 * @param state - State of quotas.
 * @param members - The members.
 * @param now - Monotonic time, in milliseconds.
 */
export function expirePermits(
  state: QuotaState,
  members: ReadonlySet<MemberId>,
  now: number,
): void {
  const {divider} = state;
  if (divider.self === null || now < divider.nextCheckAt) return;
  divider.nextCheckAt = now + CHECK_INTERVAL_MS;
  for (const account of divider.accounts.values()) {
    for (const [member, usage] of account.usage) {
      const before = usage.outstanding;
      usage.sent = usage.sent.filter(({until}) => now < until);
      recount(account, usage);
      const lost = before - usage.outstanding;
      account.level -= lost;
      addRecent(account.recent, lost, now);
      if (usage.sent.length > 0) continue;
      if (before === 0 && members.has(member)) continue;
      setNeed(account, usage, 0);
      setRate(account, usage, 0);
      if (members.has(member)) continue;
      account.usage.delete(member);
    }
  }
  for (const [tenant, account] of divider.accounts) {
    const isUnused = account.outstanding === 0;
    if (isUnused && !state.quotas.has(tenant)) divider.accounts.delete(tenant);
  }
  for (const member of divider.members.keys()) {
    if (!members.has(member)) divider.members.delete(member);
  }
}

/**
 * Follows the configuration: levels are cut to lower bursts. Accounts of tenants
 * without a limit stay until their permits have expired.
 *
 * @param state - State of quotas.
 */
export function updateAccounts(state: QuotaState): void {
  for (const [tenant, account] of state.divider.accounts) {
    const quota = state.quotas.get(tenant);
    const level = quota === undefined ? 0 : maxLevel(quota);
    account.level = Math.min(account.level, level);
  }
}

/** Adds what has come in by the rate. */
function refill(account: TenantAccount, quota: TenantQuota, now: number): void {
  const {ratePerSecond} = quota;
  const gained = ((now - account.countedAt) * ratePerSecond) / MS_PER_S;
  account.countedAt = now;
  account.level = Math.min(maxLevel(quota), account.level + gained);
}

/**
 * Returns the account of a tenant. A new divider doesn't know which permits of
 * its predecessor were used. At worst all were, so that the level was minus the
 * reserve when this daemon began to rank first, or, with extra permits, that all
 * of a window's quota was used just before.
 */
function accountOf(
  divider: Divider,
  quota: TenantQuota,
  now: number,
): TenantAccount {
  const known = divider.accounts.get(quota.tenant);
  if (known !== undefined) return known;
  const hadPredecessor = divider.readyAt > divider.since;
  const account = hadPredecessor
    ? createAccount(-quota.reserve, divider.since)
    : createAccount(maxLevel(quota), now);
  if (hadPredecessor && quota.extra > 0) {
    addRecent(account.recent, quota.maxInWindow, divider.since);
  }
  divider.accounts.set(quota.tenant, account);
  return account;
}

function memberUsageOf(
  account: TenantAccount,
  member: MemberId,
  {place}: MemberReports,
  {index}: TenantQuota,
): MemberUsage {
  let usage = account.usage.get(member);
  if (usage === undefined) {
    const steps = ROUNDING_STEPS;
    usage = {
      rounding: (place * steps.member + index * steps.tenant) % 1,
      lastReported: null,
      admitted: 0,
      sent: [],
      outstanding: 0,
      need: 0,
      rate: 0,
    };
    account.usage.set(member, usage);
  }
  return usage;
}

function reportsOf(divider: Divider, member: MemberId): MemberReports {
  let reports = divider.members.get(member);
  if (reports === undefined) {
    divider.places += 1;
    reports = {place: divider.places, sequence: 0, round: 0};
    divider.members.set(member, reports);
  }
  return reports;
}

/**
 * Returns the level and the permits handed out of a tenant, for operators.
 *
 * @param divider - State of the divider.
 * @param tenant - The tenant.
 * @returns The figures, or null if it has no account.
 */
export function accountFigures(
  divider: Divider,
  tenant: TenantName,
): Pick<TenantAccount, 'level' | 'outstanding' | 'need'> | null {
  const account = divider.accounts.get(tenant);
  if (account === undefined) return null;
  const {level, outstanding, need} = account;
  return {level, outstanding, need};
}
