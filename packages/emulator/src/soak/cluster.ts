/**
 * @fileoverview A few of the product's reducers joined by fakes: links, clocks
 * and a platform that fail in the ways an action asks for. Deterministic.
 */

import {createHash} from 'node:crypto';
import type {Hash} from 'node:crypto';

import type {
  Address,
  Command,
  CommandResult,
  Effect,
  Event,
  HostName,
  SliceGrant,
  MemberId,
  Message,
  Rule,
  ServiceName,
  Slice,
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

import {Checks} from './checks.js';
import {SimulatedNode} from './node.js';
import {Passages} from './passages.js';
import {Agenda} from './queue.js';
import {SERVER_MS, Servers} from './servers.js';
import {Table} from './table.js';
import type {Passage, StoreMode, Violation} from './types.js';

/** The keyed service of every run. */
export const SERVICE = 'finder' as ServiceName;
/** Names of the availability zones. */
export const ZONES = ['a', 'b', 'c'] as unknown as readonly ZoneName[];

const LINK_MS = 1.5;
const ANNOUNCE_MS = 500;
const LAPSE_MS = 2000;
const MOST_WORK_MS = 400;
const REMEMBERED_LINES = 200;
const UINT32 = 2 ** 32;

type GrantEffect = Extract<Effect, {kind: 'grant'}>;

/** What a cluster is made of. */
export interface ClusterSettings {
  readonly seed: number;
  readonly hosts: number;
  readonly slices: number;
  readonly rulesOff: ReadonlySet<Rule>;
  readonly tuning?: Tuning;
  /** Size of a message on the wire, in bytes; not counted when absent. */
  readonly sizeOf?: (message: Message) => number;
  /** Whether servers may be slow to take grants. */
  readonly lateGrants?: boolean;
  /** Whether owners are compared after every event; true when absent. */
  readonly checksInvariants?: boolean;
}

/** Counts of what went over links. */
export interface Traffic {
  messages: number;
  bytes: number;
}

/** Reducers, links and a platform under one global clock. */
export class SimulatedCluster {
  readonly store = new Table();
  /** Every process that was ever started, oldest first. */
  readonly nodes: SimulatedNode[] = [];
  readonly checks: Checks;
  readonly traffic: Traffic = {messages: 0, bytes: 0};
  readonly results = new Map<number, CommandResult>();
  now = 0;
  /** Newest lines of the trace. */
  lines: string[] = [];
  private readonly agenda = new Agenda();
  private readonly random;
  private readonly hash: Hash = createHash('sha256');
  private readonly cuts = new Map<string, number>();
  private readonly linkDelays = new Map<number, {until: number; ms: number}>();
  private readonly linkFree = new Map<string, number>();
  private readonly passages: Passages;
  private readonly servers: Servers;
  private started = 0;
  private nextToken = 1;

  constructor(readonly settings: ClusterSettings) {
    this.random = xoroshiro128plus(settings.seed);
    this.passages = new Passages(() => this.uniform());
    this.servers = new Servers(settings.seed, settings.lateGrants === true);
    this.checks = new Checks(settings.slices);
  }

  /**
   * Finds the newest live process of a host.
   *
   * @param host - The host.
   * @returns The process, or null.
   */
  liveOn(host: number): SimulatedNode | null {
    return this.nodes.findLast(n => n.host === host && n.alive) ?? null;
  }

  /**
   * Lists the live processes.
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
    this.started += 1;
    const state = createOwnershipState({
      workspace: 'w' as WorkspaceName,
      host: `h${host}` as HostName,
      zone: ZONES[host % ZONES.length],
      address: `127.0.0.1:${7000 + host}` as Address,
      incarnation: String(this.started),
      tuning: this.settings.tuning ?? DEFAULT_TUNING,
      disabledRules: this.settings.rulesOff,
    });
    const offset = Math.floor(this.uniform() * 2000) - 1000;
    const node = new SimulatedNode(host, state, SERVICE, this.now, offset);
    this.nodes.push(node);
    const phase = this.uniform() * DEFAULT_TUNING.loop.tickMs;
    this.agenda.add(this.now + phase, () => this.tick(node));
    this.agenda.add(this.now + phase, () => this.announce(node));
    return node;
  }

  /**
   * Ends a process at once.
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
   * @param still - Whether its monotonic clock stands still, too.
   */
  freeze(node: SimulatedNode, ms: number, still: boolean): void {
    const until = this.now + ms;
    node.freeze(this.now, until, still);
    this.agenda.add(node.frozenUntil, () => {
      for (const event of node.takeWaiting()) this.deliver(node, event);
    });
  }

  /**
   * Loses every message from one host to another for a time.
   *
   * @param from - Sending host.
   * @param to - Receiving host.
   * @param ms - Duration.
   */
  cut(from: number, to: number, ms: number): void {
    this.cuts.set(`${from}>${to}`, this.now + ms);
  }

  /**
   * Delays every message of a host for a time.
   *
   * @param host - The host.
   * @param delayMs - Most added delay.
   * @param ms - Duration.
   */
  slowLinks(host: number, delayMs: number, ms: number): void {
    this.linkDelays.set(host, {until: this.now + ms, ms: delayMs});
  }

  /**
   * Changes how the platform behaves, for a time.
   *
   * @param mode - The behaviour.
   * @param ms - Duration.
   */
  setStoreMode(mode: StoreMode, ms: number): void {
    this.passages.set(mode, this.now + ms);
  }

  /**
   * Cuts one host off from the platform for a time.
   *
   * @param host - The host.
   * @param ms - Duration.
   */
  cutStore(host: number, ms: number): void {
    this.passages.cut(host, this.now + ms);
  }

  /**
   * Gives a command to a process.
   *
   * @param node - The process.
   * @param command - The command.
   * @returns The token under which `results` will have its result.
   */
  command(node: SimulatedNode, command: Command): number {
    const token = this.nextToken++;
    this.deliver(node, {kind: 'commanded', command, token});
    return token;
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
   * Starts or stops the backend server beside a process.
   *
   * @param node - The process.
   * @param up - Whether it is to run.
   */
  setServer(node: SimulatedNode, up: boolean): void {
    if (node.serverUp === up) return;
    node.serverUp = up;
    if (up) node.instance += 1;
    else this.servers.end(node.host);
    if (!up) this.agenda.add(this.now + LAPSE_MS, () => this.lapse(node));
  }

  /**
   * Gives a process one message as if a peer had sent it.
   *
   * @param node - The process.
   * @param message - The message.
   */
  injectMessage(node: SimulatedNode, message: Message): void {
    this.deliver(node, {kind: 'received', from: node.self, message});
  }

  /** Ends every fault that lasts. */
  heal(): void {
    this.cuts.clear();
    this.linkDelays.clear();
    this.passages.heal();
  }

  /**
   * Lets time pass.
   *
   * @param ms - Duration.
   * @returns Whether no invariant broke.
   */
  advance(ms: number): boolean {
    const end = this.now + ms;
    while (this.agenda.nextAt() <= end && this.checks.violation === null) {
      this.now = this.agenda.nextAt();
      this.agenda.take()?.();
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
    if (this.lines.length > 2 * REMEMBERED_LINES) {
      this.lines = this.lines.slice(-REMEMBERED_LINES);
    }
  }

  /**
   * Summarises everything that happened.
   *
   * @returns A hash in hexadecimal digits.
   */
  digest(): string {
    return this.hash.copy().digest('hex');
  }

  /**
   * Sums the real time that all reducers took.
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
    this.tryWork(node);
    const next = this.now + DEFAULT_TUNING.loop.tickMs;
    this.agenda.add(next, () => this.tick(node));
  }

  private announce(node: SimulatedNode): void {
    if (!node.alive) return;
    if (node.serverUp) {
      const announcement = node.announcement();
      this.deliver(node, {kind: 'announced', announcement});
    }
    this.agenda.add(this.now + ANNOUNCE_MS, () => this.announce(node));
  }

  private lapse(node: SimulatedNode): void {
    if (node.serverUp) return;
    const {instance} = node.announcement();
    this.deliver(node, {kind: 'announcementLapsed', instance, ended: false});
  }

  private tryWork(node: SimulatedNode): void {
    if (this.now < node.frozenUntil || !node.alive) return;
    const slice = Math.floor(this.uniform() * this.settings.slices) as Slice;
    const at = node.readClocks(this.now);
    const permission = node.ownershipView.mayDispatch(SERVICE, slice, at);
    if (permission.kind !== 'granted') return;
    const left = timeLeftMs(permission.until, at);
    const wanted = this.uniform() * MOST_WORK_MS;
    const endsAt = this.now + Math.max(0, Math.min(wanted, left));
    if (this.settings.checksInvariants !== false) {
      this.checks.noteWork(this.now, node, slice, this.nodes);
    }
    node.begin(this.now, {service: SERVICE, slice, endsAt});
  }

  private deliver(node: SimulatedNode, event: Event): void {
    if (!node.alive) return;
    const effects = node.handle(this.now, event, this.uniform());
    for (const effect of effects) this.carryOut(node, effect);
    if (
      event.kind !== 'announced' &&
      this.settings.checksInvariants !== false
    ) {
      this.checks.look(this.now, this.nodes, node, effects.length > 0);
    }
  }

  private carryOut(node: SimulatedNode, effect: Effect): void {
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
        this.checks.noteResult(effect.result);
        return;
      case 'violate':
        this.checks.fail(this.now, effect.invariant, effect.detail);
        return;
      case 'grant':
        this.checks.noteGrant(this.now, node, effect.until);
        for (const grant of effect.grants) this.grant(node, effect, grant);
        return;
      case 'releaseKeys':
        for (const grant of effect.grants) this.release(node, effect, grant);
        return;
      case 'leave':
        node.alive = false;
        return;
      case 'dropLink':
      case 'wake':
      case 'forward':
      case 'run':
      case 'cancelRun':
      case 'replay':
      case 'forget':
      case 'relay':
      case 'fail':
      case 'measure':
      case 'wake':
        return;
    }
  }

  /** Sends a grant; its time to live is what is left when it is written. */
  private grant(
    node: SimulatedNode,
    effect: GrantEffect,
    grant: SliceGrant,
  ): void {
    const {service, round, until} = effect;
    const life = this.servers.lifeOf(node.host);
    const {connectMs, lateMs} = this.servers.draw();
    const write = (): void => {
      if (!node.alive || this.servers.lifeOf(node.host) !== life) return;
      if (this.now < node.frozenUntil) {
        this.agenda.add(node.frozenUntil, write);
        return;
      }
      const ttlMs = Math.floor(timeLeftMs(until, node.readClocks(this.now)));
      if (ttlMs <= 0) return;
      const arrived = this.now;
      this.agenda.add(this.now + lateMs, () => {
        if (this.servers.lifeOf(node.host) !== life) return;
        const {now, servers} = this;
        const seen = servers.take(now, node.host, grant, arrived, ttlMs);
        if (seen !== null) this.checks.fail(now, 'one-holder', seen);
        if (lateMs > 0) return;
        this.deliver(node, {kind: 'keysGranted', service, grant, round});
      });
    };
    this.agenda.add(this.now + connectMs, write);
  }

  private release(
    node: SimulatedNode,
    {service}: Extract<Effect, {kind: 'releaseKeys'}>,
    grant: SliceGrant,
  ): void {
    this.agenda.add(this.now + SERVER_MS, () => {
      this.servers.release(node.host, grant);
      const handover = null;
      this.deliver(node, {kind: 'keysReleased', service, grant, handover});
    });
  }

  private send(node: SimulatedNode, to: MemberId, message: Message): void {
    this.traffic.messages += 1;
    this.traffic.bytes += this.settings.sizeOf?.(message) ?? 0;
    const host = Number(hostOf(to).slice(1));
    const from = node.self;
    const path = `${node.host}>${host}`;
    if ((this.cuts.get(path) ?? 0) > this.now) return;
    const delay = LINK_MS + this.extraDelay(node.host) + this.extraDelay(host);
    const link = `${from}>${to}`;
    const free = this.linkFree.get(link) ?? 0;
    const at = Math.max(free, this.now + delay);
    this.linkFree.set(link, at);
    this.agenda.add(at, () => {
      const target = this.nodes.find(n => n.alive && n.self === to);
      if (target === undefined) return;
      this.deliver(target, {kind: 'received', from, message});
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
    const passage = this.passages.passageOf(this.now, node.host);
    let done = false;
    const answer = (reply: StoreReply): void => {
      if (done) return;
      done = true;
      this.deliver(node, {kind: 'storeReplied', call, reply});
    };
    this.agenda.add(this.now + passage.requestMs, () =>
      this.arrive(request, passage, answer),
    );
    this.agenda.add(this.now + timeoutMs, () =>
      answer({kind: 'unknown', detail: 'no answer in time'}),
    );
  }

  private arrive(
    request: StoreCall,
    passage: Passage,
    answer: (reply: StoreReply) => void,
  ): void {
    const reply = passage.instead ?? this.store.carryOut(request);
    if (passage.replyLost) return;
    this.agenda.add(this.now + passage.replyMs, () => answer(reply));
  }

  /** The violation, if there is one. */
  get violation(): Violation | null {
    return this.checks.violation;
  }
}
