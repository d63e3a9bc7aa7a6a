/**
 * @fileoverview Carries out the reducer's effects and brings what happens at
 * sockets and timers to the loop as events.
 */

import {compileRoutes, reduceDaemon, renderDaemon} from '@jackdawfall/core';
import type {
  Announcement,
  Command,
  CommandResult,
  Daemon,
  Effect,
  Event,
  LogEventName,
  MemberId,
  Message,
  ServiceName,
  Slice,
  StoreCall,
  StoreReply,
  CallId,
} from '@jackdawfall/core';
import {Links} from '@jackdawfall/wire';

import {
  isResponseMessage,
  isAttemptMessage,
  isStreamMessage,
} from '../links/messages.js';
import {CallerFrontend} from '../callers/logic.js';
import type {CompiledConfiguration} from '../callers/logic.js';
import type {DaemonPort, Adapters} from '../adapters/types.js';
import type {LogFields, Logger} from '../logs/types.js';
import {ReducerLoop, readClocks} from '../loop/logic.js';
import {readGauges} from '../metrics/gauges.js';
import type {Metrics} from '../metrics/types.js';
import {Outbox} from '../links/outbox.js';
import {RunExecutor} from '../runs/logic.js';
import type {Settings} from '../settings/types.js';

/** What the runner is made of. */
export interface DaemonRuntimeOptions {
  readonly settings: Settings;
  readonly adapters: Adapters;
  readonly daemon: Daemon;
  /** This process's member id until it joins anew. */
  readonly member: MemberId;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: () => number;
  /** Called once everything is handed over. */
  readonly onLeft: () => void;
  /** Called when an invariant is broken. */
  readonly onInvariantViolation: (invariant: string, detail: string) => void;
  readonly signal: AbortSignal;
}

/** Joins the reducer with callers, links, backend server and platform. */
export class DaemonRuntime implements DaemonPort {
  readonly callers: CallerFrontend;
  readonly links: Links;
  private readonly loop: ReducerLoop;
  private readonly runs: RunExecutor;
  private readonly outbox: Outbox;
  private readonly replies = new Map<number, (result: CommandResult) => void>();
  private self: MemberId;
  private configuration: CompiledConfiguration | null = null;
  private announcement: Announcement | null = null;
  private announcedMs = 0;
  private platformFails = false;
  private tokens = 0;
  private stopping = false;

  /** @param parts - Settings, state and the process around the runner. */
  constructor(private readonly parts: DaemonRuntimeOptions) {
    const {settings, adapters: edges, signal} = parts;
    const {tuning} = settings;
    this.self = parts.member;
    this.loop = new ReducerLoop(
      input => reduceDaemon(parts.daemon, input),
      effect => this.perform(effect),
      {now: readClocks, random: parts.random},
      signal,
    );
    this.links = new Links({
      self: {
        member: this.self,
        address: linkAddressOf(settings),
        workspace: settings.workspace,
      },
      listen: settings.links,
      tuning: tuning.links,
      signal,
      on: {
        message: (from, message) => this.receive(from, message),
        opened: peer => this.linkOpened(peer),
        lost: (peer, reason) => this.linkLost(peer, reason),
      },
    });
    this.outbox = new Outbox(
      this.links,
      {unsent: attempt => this.loop.emit({kind: 'unsent', attempt})},
      tuning.links.silenceMs,
    );
    const shared = {
      emit: (event: Event) => this.emit(event),
      transmit: (to: MemberId, message: Message) => this.transmit(to, message),
      windowBytes: tuning.links.windowBytes,
    };
    this.callers = new CallerFrontend({
      ...shared,
      protocol: edges.callers,
      tickMs: tuning.loop.tickMs,
      log: (event, fields) => this.log(event, fields),
      configuration: () => this.currentConfiguration(),
      idPrefix: this.self,
    });
    this.runs = new RunExecutor({
      ...shared,
      mayWrite: (service, slice) => this.mayWrite(service, slice),
      silenceMs: tuning.links.silenceMs,
      silentRunMs: tuning.execution.silentRunMs,
      protocol: edges.servers,
      onServerUnreachable: server =>
        this.lapse(server, 'connection refused', true),
      kept: {
        answerBytes: tuning.execution.keptAnswerBytes,
        totalBytes: tuning.execution.keptTotalBytes,
      },
    });
  }

  /** Starts the loop; links and callers must listen already. */
  start(): void {
    this.loop.start(this.parts.settings.tuning.loop.tickMs);
    this.loop.emit({kind: 'ticked'});
  }

  /** Begins a planned stop. */
  stop(): void {
    const {stopServeMs} = this.parts.settings.tuning.membership;
    this.stopping = true;
    this.loop.emit({kind: 'stopRequested'});
    setTimeout(() => this.callers.startDraining(), stopServeMs);
  }

  /** @returns Whether a configuration is in force here. */
  isConfigured(): boolean {
    return this.parts.daemon.ownershipView.workspace !== null;
  }

  /** @returns Why this daemon takes no requests, or null. */
  unreadyReason(): string | null {
    if (this.stopping) return 'stopping';
    if (this.parts.daemon.ownershipView.self !== null) return null;
    return this.platformFails
      ? 'not joined: the platform does not answer'
      : 'not joined yet';
  }

  /**
   * Takes an announcement of the backend server beside this daemon.
   *
   * @param announcement - What it says of itself.
   */
  announce(announcement: Announcement): void {
    this.announcement = announcement;
    this.announcedMs = performance.now();
    this.runs.setServer(announcement);
    this.loop.emit({kind: 'announced', announcement});
  }

  /**
   * Gives an operator's command to the reducer.
   *
   * @param command - The command.
   * @returns Its result.
   */
  command(command: Command): Promise<CommandResult> {
    const token = ++this.tokens;
    return new Promise(resolve => {
      this.replies.set(token, resolve);
      this.loop.emit({kind: 'commanded', command, token});
    });
  }

  /**
   * Queues an event.
   *
   * @param event - What happened.
   */
  emit(event: Event): void {
    if (event.kind === 'taken') {
      this.parts.metrics.count('requests', event.accepted.service);
    }
    this.loop.emit(event);
  }

  /**
   * Logs an event of the catalogue.
   *
   * @param event - Name of the event.
   * @param fields - Its details.
   */
  log(event: LogEventName, fields: LogFields): void {
    this.parts.metrics.count('logEvents', event);
    this.parts.logger.log(event, fields);
  }

  private perform(effect: Effect): void {
    switch (effect.kind) {
      case 'send':
        this.send(effect);
        return;
      case 'wake':
        setTimeout(() => this.loop.emit({kind: 'woken'}), effect.afterMs);
        return;
      case 'dropLink':
        this.links.drop(effect.to);
        return;
      case 'callStore':
        void this.callStore(effect.call, effect.request, effect.timeoutMs);
        return;
      case 'forward':
        this.callers.forward(effect);
        return;
      case 'run':
        this.runs.run(effect);
        return;
      case 'cancelRun':
        this.runs.cancel(effect.attempt);
        return;
      case 'replay':
        this.runs.replay(effect);
        return;
      case 'forget':
        this.runs.forget(effect.attempt);
        this.callers.forget(effect.attempt);
        return;
      case 'relay':
        this.callers.relay(effect.request, effect.attempt);
        return;
      case 'fail':
        this.fail(effect);
        return;
      case 'grant':
        this.runs.grant(effect);
        return;
      case 'releaseKeys':
        this.runs.releaseKeys(effect);
        return;
      case 'log':
        this.log(effect.event, effect.fields);
        return;
      case 'measure':
        this.parts.metrics.record(effect.histogram, effect.valueMs);
        return;
      case 'reply':
        this.replies.get(effect.token)?.(effect.result);
        this.replies.delete(effect.token);
        return;
      case 'violate':
        this.parts.onInvariantViolation(effect.invariant, effect.detail);
        return;
      case 'leave':
        this.parts.onLeft();
        return;
    }
  }

  private fail({request, failure}: Extract<Effect, {kind: 'fail'}>): void {
    this.parts.metrics.count('failures', failure.kind);
    this.callers.fail(request, failure);
  }

  private send(effect: Extract<Effect, {kind: 'send'}>): void {
    const {to, address, message} = effect;
    if (to === this.self) this.receive(to, message);
    else if (address !== null) this.links.send(to, address, message);
    else if (this.links.isOpen(to)) this.outbox.send(to, null, message);
  }

  private transmit(to: MemberId, message: Message): void {
    if (to === this.self) {
      this.receive(to, message);
      return;
    }
    const {ownershipView: view} = this.parts.daemon;
    this.outbox.send(to, view.addressOf(to), message);
  }

  private receive(from: MemberId, message: Message): void {
    if (isAttemptMessage(message)) this.runs.receive(from, message);
    if (isResponseMessage(message)) this.callers.receive(from, message);
    if (isStreamMessage(message)) return;
    this.loop.emit({kind: 'received', from, message});
  }

  private linkOpened(peer: MemberId): void {
    this.parts.metrics.count('linksOpened');
    this.outbox.opened(peer);
    this.loop.emit({kind: 'linkOpened', peer});
  }

  private linkLost(peer: MemberId, reason: string): void {
    this.parts.metrics.count('linksLost');
    this.log('linkLost', {peer, reason});
    this.outbox.lost(peer);
    this.loop.emit({kind: 'linkLost', peer});
  }

  private async callStore(
    call: CallId,
    request: StoreCall,
    timeoutMs: number,
  ): Promise<void> {
    const started = performance.now();
    const reply = await this.parts.adapters.store.call(request, timeoutMs);
    this.parts.metrics.record('store', performance.now() - started);
    this.parts.metrics.count('storeCalls', `${request.kind}-${reply.kind}`);
    this.notePlatform(reply);
    this.loop.emit({kind: 'storeReplied', call, reply});
  }

  private notePlatform(reply: StoreReply): void {
    const failed = reply.kind === 'refused' || reply.kind === 'unknown';
    if (failed && !this.platformFails) {
      const {kind, detail} = reply;
      this.log('platformFailed', {reply: kind, detail});
    }
    if (!failed && this.platformFails) {
      this.log('platformAnswers', {});
    }
    this.platformFails = failed;
  }

  /** @returns Counters, gauges and latencies as text. */
  renderMetrics(): string {
    const {daemon, metrics} = this.parts;
    return metrics.render(readGauges(daemon, readClocks()));
  }

  /** @returns The state of every subject, for operators. */
  renderStatus(): unknown {
    return renderDaemon(this.parts.daemon);
  }

  /** Housekeeping between events; called by the process every tick. */
  tick(): void {
    this.runs.tick();
    this.callers.tick();
    this.watchAnnouncement();
    const {self} = this.parts.daemon.ownershipView;
    if (self === null || self === this.self) return;
    this.self = self;
    this.links.setMemberId(self);
    this.parts.logger.setContext({member: self});
  }

  private watchAnnouncement(): void {
    const {announcement} = this;
    if (announcement === null) return;
    const {ttlMs} = this.parts.settings.tuning.announcements;
    if (performance.now() - this.announcedMs < ttlMs) return;
    this.lapse(announcement, 'no announcement', false);
  }

  private lapse(
    announcement: Announcement,
    reason: string,
    ended: boolean,
  ): void {
    const {instance} = announcement;
    if (this.announcement?.instance !== instance) return;
    this.log('serverLost', {instance, reason});
    this.announcement = null;
    this.runs.setServer(null);
    this.loop.emit({kind: 'announcementLapsed', instance, ended});
  }

  private mayWrite(service: ServiceName, slice: Slice | null): boolean {
    const {ownershipView: view} = this.parts.daemon;
    const at = readClocks();
    const permission =
      slice === null ? view.mayServe(at) : view.mayDispatch(service, slice, at);
    return permission.kind === 'granted';
  }

  private currentConfiguration(): CompiledConfiguration | null {
    const {workspace} = this.parts.daemon.ownershipView;
    if (workspace === null) return null;
    if (this.configuration?.workspace !== workspace) {
      this.configuration = {workspace, router: compileRoutes(workspace)};
    }
    return this.configuration;
  }
}

/**
 * Finds the address that peers dial.
 *
 * @param settings - The daemon's settings.
 * @returns `ip:port`.
 */
export function linkAddressOf(settings: Settings): Announcement['address'] {
  const {ip, port} = settings.links;
  return settings.linkAddress ?? (`${ip}:${port}` as Announcement['address']);
}
