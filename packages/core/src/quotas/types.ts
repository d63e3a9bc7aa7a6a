/**
 * @fileoverview Quotas of tenants. One member, the divider, hands out permits to
 * the others; a permit allows one request. See docs/design/quotas.md.
 */

import type {Instant} from '../clock/types.js';
import type {Address, MemberId, TenantName} from '../ids/types.js';
import type {Workspace} from '../workspace/types.js';

/** Limits of one tenant, derived from its configuration. */
export interface TenantQuota {
  readonly tenant: TenantName;
  /** Position in the configuration's list; stands for the tenant in messages. */
  readonly index: number;
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Permits beyond the burst that members may hold unused. */
  readonly reserve: number;
  /**
   * Further permits that they may hold while the tenant is below its limits; 0 if
   * burst and reserve are enough for all members.
   */
  readonly extra: number;
  /** Requests that may be admitted by shares in any window. */
  readonly maxInWindow: number;
  /** Permits that members without a share have together in a window. */
  readonly evenPermits: number;
}

/** What quotas need to know of the membership. */
export interface QuotaMembership {
  /** Member id of this daemon, or null while it isn't a member. */
  readonly self: MemberId | null;
  /** All members, the one that joined first in front. */
  readonly members: readonly MemberId[];
  /** Whether a member was ever removed. */
  readonly hasFormerMembers: boolean;
  readonly workspace: Workspace | null;
  /** Version of the configuration in force; 0 for none. */
  readonly configuration: number;
  addressOf(member: MemberId): Address | null;
  /** Returns whether this daemon has a valid lease and is not removing itself. */
  holdsLease(at: Instant): boolean;
}

/** Decides about requests of tenants, for routing. */
export interface QuotaGate {
  /**
   * Takes a permit for a request.
   *
   * @returns Null if it is admitted, otherwise the reason, for people.
   */
  admit(tenant: TenantName, at: Instant): string | null;
  /**
   * Returns the permit of a request that was not run, if that is safe.
   *
   * @param tenant - The tenant that sent the request.
   * @param admittedAt - Monotonic time at which it was admitted.
   */
  giveBack(tenant: TenantName, admittedAt: number): void;
}

/** The permits that a member may use until they expire. */
export interface Allowance {
  /** Value that `TenantUsage.admitted` may reach. */
  readonly limit: number;
  /** When the report was sent that the divider answered with it. */
  readonly since: Instant;
}

/** Use of one tenant's permits at this daemon. */
export interface TenantUsage {
  /** Requests admitted by shares since the start of this incarnation. */
  admitted: number;
  /** `admitted` in the latest report to the divider, or null before the first. */
  reported: number | null;
  /**
   * Monotonic time of the latest report, or of the latest request that used an
   * even permit. A permit taken until then is not returned.
   */
  returnableAfter: number;
  allowance: Allowance | null;
  /** Requests since the rate was measured last, rejected ones included. */
  offered: number;
  /** Rate of requests, rejected ones included, per second. */
  offeredPerSecond: number;
  /** The same over a longer time, for tenants with few requests. */
  longTermPerSecond: number;
  /** Monotonic time of the latest request. */
  lastOfferedAt: number;
  /** Permits for times without a share, and when they were counted last. */
  evenPermits: number;
  evenCountedAt: number;
}

/** A report that the divider has not answered yet. */
export interface SentReport {
  readonly sequence: number;
  readonly sentAt: Instant;
  /** `admitted` of the tenants at that time. */
  readonly admitted: ReadonlyMap<TenantName, number>;
}

/** The part of a member that uses permits. */
export interface Holder {
  /** Member id under which the permits were received. */
  self: MemberId | null;
  /** The member to which reports go, or null. */
  divider: MemberId | null;
  /** Number of the latest shares that were applied. */
  appliedRound: number;
  sequence: number;
  sentReports: SentReport[];
  readonly usage: Map<TenantName, TenantUsage>;
  /** Tenants whose permits run out. */
  readonly urgent: Set<TenantName>;
  /** Whether shares were lowered that the divider may give to others. */
  confirmsShares: boolean;
  nextReportAt: number;
  lastReportAt: number;
  /** Monotonic time at which the rates were measured last. */
  measuredAt: number;
  /** Monotonic time of the latest answer of the divider. */
  answeredAt: number;
  /** Whether the divider answered lately; a change is logged. */
  answered: boolean;
  /** Requests of tenants with a limit since the start of the process. */
  admittedTotal: number;
  rejectedTotal: number;
}

/** Permits sent to a member that it may still use. */
export interface SentPermits {
  readonly round: number;
  /** Value that `MemberUsage.admitted` may reach. */
  readonly limit: number;
  /** Monotonic time after which the member uses them no longer. */
  readonly until: number;
}

/** What the divider knows of a tenant's requests at one member. */
export interface MemberUsage {
  /** Threshold for rounding permits up, uniform in [0, 1) over members. */
  readonly rounding: number;
  /** Latest reported count as in the message, or null before the first report. */
  lastReported: number | null;
  /** Requests admitted, as far as reported to this divider. */
  admitted: number;
  sent: SentPermits[];
  /** Permits that it may use without a further message. */
  outstanding: number;
  /** Permits that it is expected to need until the next report but one. */
  need: number;
  /** Its rate of requests, per second. */
  rate: number;
}

/** Number of permits used in a time window, counted in short intervals. */
export interface RecentCount {
  readonly intervals: Array<{readonly index: number; count: number}>;
  total: number;
}

/** The divider's account of one tenant. */
export interface TenantAccount {
  /** Level of the token bucket; requests are subtracted when reported. */
  level: number;
  /** Permits used in the last window. */
  readonly recent: RecentCount;
  countedAt: number;
  readonly usage: Map<MemberId, MemberUsage>;
  /** Sums over `usage`. */
  outstanding: number;
  need: number;
  rate: number;
}

/** What the divider knows of a member. */
export interface MemberReports {
  /** Place in the order of first reports. */
  readonly place: number;
  /** Number of its latest report. */
  sequence: number;
  /** Number of the latest shares sent to it. */
  round: number;
}

/** The part of a member that divides quotas while it is the divider. */
export interface Divider {
  /** Member id under which it divides, or null. */
  self: MemberId | null;
  /** Monotonic time since which it ranks first. */
  since: number;
  /** Monotonic time from which it hands out permits. */
  readyAt: number;
  /** Monotonic time of the next check for expired permits. */
  nextCheckAt: number;
  readonly accounts: Map<TenantName, TenantAccount>;
  readonly members: Map<MemberId, MemberReports>;
  /** Number of members that have reported so far. */
  places: number;
}

/** State of quotas in one daemon. */
export interface QuotaState {
  /** Limited tenants of the configuration `workspace`. */
  quotas: ReadonlyMap<TenantName, TenantQuota>;
  /** The same by their index; undefined for tenants without a limit. */
  byIndex: ReadonlyArray<TenantQuota | undefined>;
  workspace: Workspace | null;
  readonly holder: Holder;
  readonly divider: Divider;
}
