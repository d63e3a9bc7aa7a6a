/**
 * @fileoverview A fleet of daemons with quotas and model clocks, links, leases
 * and members, for tests of quotas.
 */

import type {MemberId, TenantName} from '../ids/types.js';
import type {Message} from '../messages/types.js';
import {QUOTAS} from '../quotas/definition.js';
import {createQuotaState} from '../quotas/state.js';
import type {QuotaMembership} from '../quotas/types.js';
import {createQuotaGate} from '../quotas/view.js';
import {deriveRandom} from '../retry/logic.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import type {Tenant, Workspace} from '../workspace/types.js';

/** Length of a step of the model. */
export const STEP_MS = 10;
const TICK_MS = 50;
const MAX_DELAY_MS = 30;
const RENEW_MS = 500;
const {leaseMs, marginMs} = DEFAULT_TUNING.leases;
/** Time from the end of a lease to the removal of its member. */
const EVICTION_MS = 600;
const WINDOW_MS = DEFAULT_TUNING.tenants.quotaWindowMs;

/** One daemon of the fleet. */
export class QuotaDaemon {
  readonly state = createQuotaState();
  monotonic: number;
  /** Number of log entries that it has applied. */
  members: readonly MemberId[] = [];
  workspace: Workspace;
  configuration = 1;
  leaseSince = {monotonic: -leaseMs, wall: -leaseMs};
  leaseSentAt = -Infinity;
  frozen = false;
  stopped = false;
  /** Daemons reach each other and the store (group 0) within a group. */
  group = 0;
  /** Whether its grantors are in its group. */
  keepsLease = true;
  private readonly membership: QuotaMembership;
  private readonly gate;

  constructor(
    readonly fleet: QuotaFleet,
    readonly id: MemberId,
  ) {
    this.monotonic = fleet.now;
    this.workspace = fleet.workspace;
    // eslint-disable-next-line @typescript-eslint/no-this-alias
    const daemon = this;
    this.membership = {
      get self() {
        return daemon.members.includes(id) ? id : null;
      },
      get members() {
        return daemon.members;
      },
      get hasFormerMembers() {
        return fleet.hasFormerMembers;
      },
      get workspace() {
        return daemon.workspace;
      },
      get configuration() {
        return daemon.configuration;
      },
      addressOf: member =>
        daemon.members.includes(member) ? ('' as never) : null,
      holdsLease: at =>
        at.monotonic - daemon.leaseSince.monotonic < leaseMs &&
        at.wall - daemon.leaseSince.wall < leaseMs,
    };
    this.gate = createQuotaGate(this.state, this.membership);
  }

  get at() {
    return {monotonic: this.monotonic, wall: this.fleet.now};
  }

  /** Offers a request; returns whether it was admitted. */
  offer(tenant: TenantName): boolean {
    if (this.frozen || this.stopped) return false;
    this.handle({kind: 'requestAccepted', accepted: {tenant} as never});
    return this.gate.admit(tenant, this.at) === null;
  }

  handle(event: Parameters<typeof QUOTAS.reduce>[1]['event']): void {
    const input = {at: this.at, random: this.fleet.random(), event};
    const {membership} = this;
    const dependencies = {membership, tuning: DEFAULT_TUNING};
    for (const effect of QUOTAS.reduce(this.state, input, dependencies)) {
      if (effect.kind !== 'send') continue;
      this.fleet.send(this, effect.to, effect.message);
    }
  }
}

interface Delivery {
  readonly at: number;
  readonly from: QuotaDaemon;
  readonly to: MemberId;
  readonly message: Message;
}

/** The fleet, and counts of what it admitted of each tenant. */
export class QuotaFleet {
  now = 100_000;
  hasFormerMembers = false;
  readonly daemons: QuotaDaemon[] = [];
  readonly admittedAt = new Map<TenantName, number[]>();
  readonly sent = new Map<MemberId, number>();
  workspace: Workspace;
  private configuration = 1;
  private members: MemberId[] = [];
  private deliveries: Delivery[] = [];
  private draws = 0;
  private incarnations = 0;

  constructor(
    size: number,
    tenants: readonly Tenant[],
    private readonly seed = 0.5,
  ) {
    this.workspace = {tenants} as unknown as Workspace;
    for (let i = 0; i < size; i++) this.start();
    this.hasFormerMembers = false;
  }

  random(): number {
    this.draws += 1;
    return deriveRandom(this.seed, this.draws);
  }

  /** Starts a daemon, which joins at once. */
  start(): QuotaDaemon {
    this.incarnations += 1;
    const daemon = new QuotaDaemon(this, `h#${this.incarnations}` as MemberId);
    daemon.configuration = this.configuration;
    this.daemons.push(daemon);
    this.members.push(daemon.id);
    return daemon;
  }

  /** Restarts a daemon; its successor replaces it as a member. */
  restart(daemon: QuotaDaemon): QuotaDaemon {
    daemon.stopped = true;
    this.end(daemon.id);
    return this.start();
  }

  /** Puts other limits in force; daemons learn of them with the next entry. */
  configure(tenants: readonly Tenant[]): void {
    this.configuration += 1;
    this.workspace = {tenants} as unknown as Workspace;
  }

  /** Offers a request at a daemon and records it if it was admitted. */
  offer(daemon: QuotaDaemon, tenant: TenantName): boolean {
    const isAdmitted = daemon.offer(tenant);
    if (!isAdmitted) return false;
    const times = this.admittedAt.get(tenant) ?? [];
    times.push(this.now);
    this.admittedAt.set(tenant, times);
    return true;
  }

  /** Returns the maximum of requests admitted in a window since a time. */
  maxInWindow(tenant: TenantName, since = 0): number {
    const times = (this.admittedAt.get(tenant) ?? []).filter(at => at >= since);
    let first = 0;
    let most = 0;
    for (const [index, at] of times.entries()) {
      while (at - times[first] > WINDOW_MS) first += 1;
      most = Math.max(most, index - first + 1);
    }
    return most;
  }

  send(from: QuotaDaemon, to: MemberId, message: Message): void {
    this.sent.set(from.id, (this.sent.get(from.id) ?? 0) + 1);
    this.onSend?.(from, message);
    const at = this.now + this.random() * MAX_DELAY_MS;
    this.deliveries.push({at, from, to, message});
  }

  /** Called for each message. */
  onSend: ((from: QuotaDaemon, message: Message) => void) | null = null;

  /** Lets a step pass. */
  step(): void {
    this.now += STEP_MS;
    const live = this.daemons.filter(({stopped}) => !stopped);
    for (const daemon of live) {
      if (!daemon.frozen) daemon.monotonic += STEP_MS;
    }
    this.deliver(live);
    if (this.now % TICK_MS !== 0) return;
    for (const daemon of live) this.tick(daemon);
    this.evictSilent();
  }

  private tick(daemon: QuotaDaemon): void {
    if (daemon.frozen) return;
    if (daemon.group === 0) {
      daemon.members = [...this.members];
      daemon.workspace = this.workspace;
      daemon.configuration = this.configuration;
    }
    const canRenew = daemon.group === 0 || daemon.keepsLease;
    const isMember = this.members.includes(daemon.id);
    if (canRenew && isMember && this.now >= daemon.leaseSentAt + RENEW_MS) {
      daemon.leaseSince = daemon.at;
      daemon.leaseSentAt = this.now;
    }
    daemon.handle({kind: 'ticked'});
  }

  /** Messages to frozen daemons wait; those to other groups are lost. */
  private deliver(live: readonly QuotaDaemon[]): void {
    const due = this.deliveries.filter(({at}) => at <= this.now);
    this.deliveries = this.deliveries.filter(({at}) => at > this.now);
    for (const delivery of due) {
      const {from, to, message} = delivery;
      const receiver = live.find(({id}) => id === to);
      if (receiver === undefined || receiver.group !== from.group) continue;
      if (receiver.frozen) this.deliveries.push(delivery);
      else receiver.handle({kind: 'messageReceived', from: from.id, message});
    }
  }

  private evictSilent(): void {
    for (const {id, leaseSentAt} of this.daemons) {
      if (!this.members.includes(id) || leaseSentAt < 0) continue;
      const silentMs = this.now - leaseSentAt;
      if (silentMs > leaseMs + marginMs + EVICTION_MS) this.end(id);
    }
  }

  private end(id: MemberId): void {
    this.hasFormerMembers = true;
    this.members = this.members.filter(each => each !== id);
  }
}
