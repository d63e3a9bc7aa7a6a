/**
 * @fileoverview Deterministic simulation of a cluster: real reducers of ownership,
 * with fakes of links, clocks, backend servers and the store that can fail.
 */

import {createHash} from 'node:crypto';
import type {Hash} from 'node:crypto';

import type {
  Address,
  Command,
  CommandResult,
  Effect,
  Event,
  ExternalConfiguration,
  HostName,
  MemberId,
  Message,
  Rule,
  ServiceName,
  Slice,
  SliceGrant,
  StoreCall,
  StoreReply,
  Tuning,
  WorkspaceName,
  ZoneName,
} from '@jackdawfall/core';
import {
  DEFAULT_TUNING,
  createOwnershipState,
  hostOf,
  timeLeftMs,
} from '@jackdawfall/core';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {EventQueue} from './event_queue.js';
import {FakeServers, SERVER_EXCHANGE_MS} from './fake_servers.js';
import {FakeStore} from './fake_store.js';
import {InvariantChecker} from './invariants.js';
import {SimulatedNode} from './node.js';
import {StoreFaults} from './store_faults.js';
import type {StoreCallPlan, StoreMode, Violation} from './types.js';

/** The keyed service of every run. */
export const SERVICE = 'finder' as ServiceName;
/** Names of the availability zones. */
export const ZONES = ['a', 'b', 'c'] as unknown as readonly ZoneName[];

/** Delay of a message over a link. */
const LINK_DELAY_MS = 1.5;
const ANNOUNCE_INTERVAL_MS = 500;
/** Time after which the announcement of a stopped server expires. */
const ANNOUNCEMENT_TTL_MS = 2000;
/** Maximum duration of a run on a backend server. */
const MAX_RUN_MS = 400;
const KEPT_TRACE_LINES = 200;
const UINT32 = 2 ** 32;

type GrantEffect = Extract<Effect, {kind: 'grantSlices'}>;

/** Settings of a cluster. */
export interface ClusterSettings {
  readonly seed: number;
  readonly hosts: number;
  readonly slices: number;
  readonly rulesOff: ReadonlySet<Rule>;
  readonly tuning?: Tuning;
  /** Size of a message on the wire, in bytes; sizes are not counted if absent. */
  readonly sizeOf?: (message: Message) => number;
  /** Maximum delay of a timer, as on a busy host; 0 if absent. */
  readonly maxTickDelayMs?: number;
  /** Whether servers may apply slice grants late; false if absent. */
  readonly lateGrants?: boolean;
  /** Whether invariants are checked after every event; true if absent. */
  readonly checksInvariants?: boolean;
}

/** Traffic over all links. */
export interface Traffic {
  messages: number;
  bytes: number;
}

/** Processes, links, backend servers and a store under one simulated clock. */
export class SimulatedCluster {
  readonly store = new FakeStore();
  /** Every process that was ever started, oldest first. */
  readonly nodes: SimulatedNode[] = [];
  readonly checks: InvariantChecker;
  readonly traffic: Traffic = {messages: 0, bytes: 0};
  readonly results = new Map<number, CommandResult>();
  now = 0;
  /** Newest lines of the trace. */
  lines: string[] = [];
  private readonly queue = new EventQueue();
  private readonly random;
  private readonly hash: Hash = createHash('sha256');
  private readonly cuts = new Map<string, number>();
  private readonly linkDelays = new Map<number, {until: number; ms: number}>();
  private readonly linkFreeAt = new Map<string, number>();
  private readonly storeFaults: StoreFaults;
  private readonly servers: FakeServers;
  private startCount = 0;
  private nextToken = 1;

  constructor(readonly settings: ClusterSettings) {
    this.random = xoroshiro128plus(settings.seed);
    this.storeFaults = new StoreFaults(() => this.uniform());
    this.servers = new FakeServers(settings.seed, settings.lateGrants === true);
    this.checks = new InvariantChecker(settings.slices);
  }

  /**
   * Returns the newest live process of a host.
   *
   * @param host - The host.
   * @returns The process, or null.
   */
  liveNodeOn(host: number): SimulatedNode | null {
    return this.nodes.findLast(n => n.host === host && n.alive) ?? null;
  }

  /**
   * Lists the live processes: those that have not ended, also while frozen.
   *
   * @returns The processes.
   */
  liveNodes(): SimulatedNode[] {
    return this.nodes.filter(node => node.alive);
  }

  /**
   * Starts a process on a host.
   *
   * @param host - The host.
   * @returns The process.
   */
  start(host: number): SimulatedNode {
    this.startCount += 1;
    const state = createOwnershipState({
      workspace: 'w' as WorkspaceName,
      host: `h${host}` as HostName,
      zone: ZONES[host % ZONES.length],
      address: `127.0.0.1:${7000 + host}` as Address,
      incarnation: String(this.startCount),
      tuning: this.settings.tuning ?? DEFAULT_TUNING,
      disabledRules: this.settings.rulesOff,
    });
    const offset = Math.floor(this.uniform() * 2000) - 1000;
    const node = new SimulatedNode(host, state, SERVICE, this.now, offset);
    this.nodes.push(node);
    const phase = this.uniform() * state.settings.tuning.loop.tickMs;
    this.queue.add(this.now + phase, () => this.tick(node));
    this.queue.add(this.now + phase, () => this.announce(node));
    return node;
  }

  /**
   * Ends a process immediately.
   *
   * @param node - The process.
   */
  kill(node: SimulatedNode): void {
    node.alive = false;
  }

  /**
   * Freezes a process for a time.
   *
   * @param node - The process.
   * @param ms - Duration.
   * @param still - Whether its monotonic clock stops as well.
   */
  freeze(node: SimulatedNode, ms: number, still: boolean): void {
    const until = this.now + ms;
    node.freeze(this.now, until, still);
    this.queue.add(node.frozenUntil, () => {
      for (const event of node.takeHeldEvents()) this.deliver(node, event);
    });
  }

  /**
   * Drops every message from one host to another for a time.
   *
   * @param from - Sending host.
   * @param to - Receiving host.
   * @param ms - Duration.
   */
  cut(from: number, to: number, ms: number): void {
    this.cuts.set(`${from}>${to}`, this.now + ms);
  }

  /**
   * Delays every message from and to a host for a time.
   *
   * @param host - The host.
   * @param delayMs - Maximum added delay.
   * @param ms - Duration.
   */
  slowLinks(host: number, delayMs: number, ms: number): void {
    this.linkDelays.set(host, {until: this.now + ms, ms: delayMs});
  }

  /**
   * Changes the mode of the store for a time.
   *
   * @param mode - The mode.
   * @param ms - Duration.
   */
  setStoreMode(mode: StoreMode, ms: number): void {
    this.storeFaults.setMode(mode, this.now + ms);
  }

  /**
   * Restores the store to an older copy, and lets it refuse calls meanwhile.
   *
   * @param ageMs - Minimum age of the copy.
   * @param ms - Duration of the outage before its return.
   */
  restoreStore(ageMs: number, ms: number): void {
    this.store.restore(this.now, ageMs);
    this.checks.recordRestore();
    this.setStoreMode({kind: 'down'}, ms);
  }

  /**
   * Partitions one host from the store for a time.
   *
   * @param host - The host.
   * @param ms - Duration.
   */
  cutStore(host: number, ms: number): void {
    this.storeFaults.cut(host, this.now + ms);
  }

  /**
   * Sends an operator's command to a process.
   *
   * @param node - The process.
   * @param command - The command.
   * @returns The token of its later result in `results`.
   */
  command(node: SimulatedNode, command: Command): number {
    const token = this.nextToken++;
    this.deliver(node, {kind: 'commandReceived', command, token});
    return token;
  }

  /**
   * Has a process read a configuration from its external source.
   *
   * @param node - The process.
   * @param configuration - The configuration.
   */
  readConfiguration(
    node: SimulatedNode,
    configuration: ExternalConfiguration,
  ): void {
    this.deliver(node, {kind: 'configurationRead', configuration});
  }

  /**
   * Ends a poll that a process made of that source.
   *
   * @param node - The process.
   * @param answers - Whether the source has answered.
   */
  pollSource(node: SimulatedNode, answers: boolean): void {
    this.deliver(node, {
      kind: 'sourcePolled',
      answerAgeMs: answers ? 0 : Infinity,
      provesNewest: answers,
      fault: null,
    });
  }

  /**
   * Asks a process to stop.
   *
   * @param node - The process.
   */
  stop(node: SimulatedNode): void {
    this.deliver(node, {kind: 'stopRequested'});
  }

  /**
   * Starts or stops the local backend server of a process.
   *
   * @param node - The process.
   * @param up - Whether it should run.
   */
  setServer(node: SimulatedNode, up: boolean): void {
    if (node.serverUp === up) return;
    node.serverUp = up;
    if (up) node.instance += 1;
    else this.servers.end(node.host);
    if (!up) {
      this.queue.add(this.now + ANNOUNCEMENT_TTL_MS, () =>
        this.expireAnnouncement(node),
      );
    }
  }

  /**
   * Delivers one message to a process, as if a peer had sent it.
   *
   * @param node - The process.
   * @param message - The message.
   */
  injectMessage(node: SimulatedNode, message: Message): void {
    if (message.kind === 'dispatch' && message.slice !== null) {
      node.recordDispatch(message.slice);
    }
    this.deliver(node, {kind: 'messageReceived', from: node.self, message});
  }

  /** Ends every fault of the links and the store. */
  heal(): void {
    this.cuts.clear();
    this.linkDelays.clear();
    this.storeFaults.heal();
  }

  /**
   * Advances simulated time and runs all tasks that are due.
   *
   * @param ms - Duration.
   * @returns Whether every invariant held.
   */
  advance(ms: number): boolean {
    const end = this.now + ms;
    while (this.queue.nextAt() <= end && this.checks.violation === null) {
      this.now = this.queue.nextAt();
      this.queue.pop()?.();
    }
    this.now = Math.max(this.now, end);
    return this.checks.violation === null;
  }

  /**
   * Adds a line to the trace.
   *
   * @param line - The line.
   */
  trace(line: string): void {
    const text = `${this.now.toFixed(3)} ${line}`;
    this.hash.update(`${text}\n`);
    this.lines.push(text);
    if (this.lines.length > 2 * KEPT_TRACE_LINES) {
      this.lines = this.lines.slice(-KEPT_TRACE_LINES);
    }
  }

  /**
   * Computes the digest of the trace.
   *
   * @returns The hash in hexadecimal digits.
   */
  digest(): string {
    return this.hash.copy().digest('hex');
  }

  /**
   * Sums the real time spent in all reducers.
   *
   * @returns Time, in milliseconds.
   */
  reduceMs(): number {
    return this.nodes.reduce((total, node) => total + node.reduceMs, 0);
  }

  /**
   * Draws a random number.
   *
   * @returns Uniform in [0, 1).
   */
  uniform(): number {
    return (this.random.next() >>> 0) / UINT32;
  }

  private tick(node: SimulatedNode): void {
    if (!node.alive) return;
    this.deliver(node, {kind: 'ticked'});
    this.startRandomRun(node);
    const {tickMs} = node.state.settings.tuning.loop;
    const {maxTickDelayMs = 0} = this.settings;
    const lateMs = maxTickDelayMs === 0 ? 0 : this.uniform() * maxTickDelayMs;
    this.queue.add(this.now + tickMs + lateMs, () => this.tick(node));
  }

  private announce(node: SimulatedNode): void {
    if (!node.alive) return;
    if (node.serverUp) {
      const announcement = node.announcement();
      this.deliver(node, {kind: 'announcementReceived', announcement});
    }
    this.queue.add(this.now + ANNOUNCE_INTERVAL_MS, () => this.announce(node));
  }

  private expireAnnouncement(node: SimulatedNode): void {
    if (node.serverUp) return;
    const {instance} = node.announcement();
    this.deliver(node, {
      kind: 'announcementExpired',
      instance,
      processEnded: false,
    });
  }

  private startRandomRun(node: SimulatedNode): void {
    if (this.now < node.frozenUntil || !node.alive) return;
    const slice = Math.floor(this.uniform() * this.settings.slices) as Slice;
    const at = node.readClocks(this.now);
    const permission = node.ownershipView.mayDispatch(SERVICE, slice, at);
    if (permission.kind !== 'granted') return;
    const left = timeLeftMs(permission.until, at);
    const wanted = this.uniform() * MAX_RUN_MS;
    const endsAt = this.now + Math.max(0, Math.min(wanted, left));
    if (this.settings.checksInvariants !== false) {
      this.checks.checkRun(this.now, node, slice, this.nodes);
    }
    node.recordRun(this.now, {service: SERVICE, slice, endsAt});
  }

  private deliver(node: SimulatedNode, event: Event): void {
    if (!node.alive) return;
    const effects = node.handle(this.now, event, this.uniform());
    for (const effect of effects) this.applyEffect(node, effect);
    if (
      event.kind !== 'announcementReceived' &&
      this.settings.checksInvariants !== false
    ) {
      this.checks.checkAfterEvent(
        this.now,
        this.nodes,
        node,
        effects.length > 0,
      );
    }
  }

  private applyEffect(node: SimulatedNode, effect: Effect): void {
    switch (effect.kind) {
      case 'send':
        this.send(node, effect.to, effect.message);
        return;
      case 'callStore':
        this.callStore(node, effect);
        return;
      case 'log':
        this.trace(
          `${node.self} ${effect.event} ${JSON.stringify(effect.fields)}`,
        );
        return;
      case 'reply':
        this.results.set(effect.token, effect.result);
        this.checks.recordResult(effect.result);
        return;
      case 'panic':
        this.checks.reportViolation(this.now, effect.invariant, effect.detail);
        return;
      case 'grantSlices':
        this.checks.checkGrant(this.now, node, effect.until);
        for (const grant of effect.grants) this.grant(node, effect, grant);
        return;
      case 'releaseSlices':
        for (const grant of effect.grants) this.release(node, effect, grant);
        return;
      case 'exitProcess':
        node.alive = false;
        return;
      case 'startTimer':
      case 'sendDispatch':
      case 'run':
      case 'cancelRun':
      case 'replayResponse':
      case 'discardAttempt':
      case 'relayResponse':
      case 'failRequest':
      case 'recordDuration':
        return;
    }
  }

  /**
   * Sends a slice grant. Its time to live is what is left of the lease at the
   * time it is written; a late grant is applied but not confirmed.
   */
  private grant(
    node: SimulatedNode,
    effect: GrantEffect,
    grant: SliceGrant,
  ): void {
    const {service, round, until} = effect;
    const instance = this.servers.instanceOf(node.host);
    const {connectMs, lateMs} = this.servers.drawDelays();
    const write = (): void => {
      if (!node.alive || this.servers.instanceOf(node.host) !== instance) {
        return;
      }
      if (this.now < node.frozenUntil) {
        this.queue.add(node.frozenUntil, write);
        return;
      }
      const ttlMs = Math.floor(timeLeftMs(until, node.readClocks(this.now)));
      if (ttlMs <= 0) return;
      const arrived = this.now;
      this.queue.add(this.now + lateMs, () => {
        if (this.servers.instanceOf(node.host) !== instance) return;
        const {now, servers} = this;
        const conflict = servers.applyGrant(
          now,
          node.host,
          grant,
          arrived,
          ttlMs,
        );
        if (conflict !== null) {
          this.checks.reportViolation(now, 'one-holder', conflict);
        }
        if (lateMs > 0) return;
        this.deliver(node, {kind: 'slicesGranted', service, grant, round});
      });
    };
    this.queue.add(this.now + connectMs, write);
  }

  private release(
    node: SimulatedNode,
    {service, round}: Extract<Effect, {kind: 'releaseSlices'}>,
    grant: SliceGrant,
  ): void {
    this.queue.add(this.now + SERVER_EXCHANGE_MS, () => {
      this.servers.release(node.host, grant);
      this.deliver(node, {
        kind: 'slicesReleased',
        service,
        grant,
        round,
        handover: null,
      });
    });
  }

  private send(node: SimulatedNode, to: MemberId, message: Message): void {
    this.traffic.messages += 1;
    this.traffic.bytes += this.settings.sizeOf?.(message) ?? 0;
    const host = Number(hostOf(to).slice(1));
    const from = node.linkId;
    const path = `${node.host}>${host}`;
    if ((this.cuts.get(path) ?? 0) > this.now) return;
    const delay =
      LINK_DELAY_MS + this.extraDelay(node.host) + this.extraDelay(host);
    const link = `${from}>${to}`;
    const freeAt = this.linkFreeAt.get(link) ?? 0;
    const at = Math.max(freeAt, this.now + delay);
    this.linkFreeAt.set(link, at);
    this.queue.add(at, () => {
      const target = this.nodes.find(n => n.alive && n.linkId === to);
      if (target === undefined) return;
      this.deliver(target, {kind: 'messageReceived', from, message});
    });
  }

  private extraDelay(host: number): number {
    const delay = this.linkDelays.get(host);
    if (delay === undefined || delay.until < this.now) return 0;
    return this.uniform() * delay.ms;
  }

  private callStore(
    node: SimulatedNode,
    effect: Extract<Effect, {kind: 'callStore'}>,
  ): void {
    const {call, request, timeoutMs} = effect;
    const plan = this.storeFaults.planCall(this.now, node.host);
    let done = false;
    const deliverReply = (reply: StoreReply): void => {
      if (done) return;
      done = true;
      this.deliver(node, {kind: 'storeReplied', call, reply});
    };
    this.queue.add(this.now + plan.requestMs, () =>
      this.executeCall(request, plan, deliverReply),
    );
    this.queue.add(this.now + timeoutMs, () =>
      deliverReply({kind: 'unknown', detail: 'no answer in time'}),
    );
  }

  private executeCall(
    request: StoreCall,
    plan: StoreCallPlan,
    deliverReply: (reply: StoreReply) => void,
  ): void {
    const reply = plan.instead ?? this.store.execute(request, this.now);
    if (plan.replyLost) return;
    this.queue.add(this.now + plan.replyMs, () => deliverReply(reply));
  }

  /** The first violation, or null. */
  get violation(): Violation | null {
    return this.checks.violation;
  }
}
