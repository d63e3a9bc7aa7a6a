/**
 * @fileoverview Performs the effects of the reducer and turns what happens on
 * sockets and timers into events for it.
 */

import {
  MemoryBudget,
  acceptsApiKeys,
  compileRoutes,
  configurationFaultOf,
  createTenantDirectory,
  memoryLimitsOf,
  reduceDaemon,
  renderDaemon,
  workReportOf,
} from '@jackdawfall/core';
import type {
  Announcement,
  Command,
  CommandResult,
  Effect,
  Event,
  LogEventName,
  InstanceId,
  MemberId,
  MemoryLimits,
  Message,
  ServerLimits,
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
  receiversOf,
} from '../links/messages.js';
import type {MessageReceiver} from '../links/messages.js';
import {findInvalid, toFailure} from '../links/checks.js';
import type {InvalidMessage} from '../links/checks.js';
import {ClosedConnections} from '../callers/closed_connections.js';
import {CallerFrontend} from '../callers/logic.js';
import type {CallerContext, CompiledConfiguration} from '../callers/context.js';
import type {DaemonPort} from '../adapters/types.js';
import type {LogFields} from '../logs/types.js';
import {ReducerLoop, readClocks} from '../loop/logic.js';
import {readGauges} from '../metrics/gauges.js';
import {readMachineLimits} from '../memory/machine.js';
import {Outbox} from '../links/outbox.js';
import {RunExecutor} from '../runs/logic.js';
import {linkAddressOf} from '../settings/logic.js';
import type {DaemonRuntimeOptions} from './types.js';

/** Maximum share of the memory budget that is queued for one link. */
const MAX_LINK_SHARE = 0.25;

/** Connects the reducer to callers, links, backend server and store. */
export class DaemonRuntime implements DaemonPort {
  readonly callers: CallerFrontend;
  readonly links: Links;
  private readonly loop: ReducerLoop;
  private readonly executor: RunExecutor;
  private readonly outbox: Outbox;
  private readonly memoryLimits: MemoryLimits;
  private readonly budget: MemoryBudget;
  private readonly commandReplies = new Map<
    number,
    (result: CommandResult) => void
  >();
  private self: MemberId;
  /** Earlier member ids of this process. Its own attempts keep them. */
  private readonly formerIds = new Set<MemberId>();
  private configuration: CompiledConfiguration | null = null;
  private announcement: Announcement | null = null;
  private announcedMs = 0;
  private storeUnavailable = false;
  private lastToken = 0;
  private readonly closedConnections: ClosedConnections;
  private stopping = false;

  /** @param options - Dependencies. */
  constructor(private readonly options: DaemonRuntimeOptions) {
    const {settings, signal} = options;
    const {tuning} = settings;
    this.memoryLimits = memoryLimitsOf(readMachineLimits(tuning.memory));
    this.budget = new MemoryBudget(this.memoryLimits.budgetBytes);
    this.self = options.member;
    this.loop = new ReducerLoop(
      input => reduceDaemon(options.daemon, input),
      effect => this.perform(effect),
      {now: readClocks, random: options.random},
      signal,
    );
    this.links = new Links({
      self: {
        member: this.self,
        address: linkAddressOf(settings),
        workspace: settings.workspace,
      },
      listen: settings.links,
      tuning: {...tuning.links, queueBytes: this.queueBytes()},
      signal,
      on: {
        message: (from, message) => this.receive(from, message),
        opened: peer => this.handleLinkOpened(peer),
        lost: (peer, reason) => this.handleLinkLost(peer, reason),
      },
    });
    this.outbox = new Outbox(
      this.links,
      {
        dispatchNotSent: attempt =>
          this.loop.emit({kind: 'dispatchNotSent', attempt}),
      },
      tuning.links.silenceMs,
    );
    const shared = {
      emit: (event: Event) => this.emit(event),
      transmit: (to: MemberId, message: Message) => this.transmit(to, message),
      windowBytes: tuning.links.windowBytes,
      budget: this.budget,
    };
    this.closedConnections = new ClosedConnections(
      options.metrics,
      (event, fields) => this.log(event, fields),
    );
    this.callers = this.createFrontend(shared);
    this.executor = this.createExecutor(shared);
  }

  private createExecutor(
    shared: Pick<CallerContext, 'emit' | 'transmit' | 'windowBytes' | 'budget'>,
  ): RunExecutor {
    const {settings, adapters} = this.options;
    const {tuning} = settings;
    return new RunExecutor({
      ...shared,
      mayWrite: (service, slice) => this.mayWrite(service, slice),
      silenceMs: tuning.links.silenceMs,
      silentRunMs: tuning.execution.silentRunMs,
      protocol: adapters.servers,
      workReport: key => {
        const {execution} = this.options.daemon;
        return workReportOf(execution, key, readClocks().monotonic);
      },
      onServerUnreachable: (server, isAlive) =>
        this.reportServerLost(server, 'connection refused', !isAlive),
      keptLimits: {
        responseBytes: tuning.execution.keptAnswerBytes,
        totalBytes: tuning.execution.keptTotalBytes,
      },
    });
  }

  private createFrontend(
    shared: Pick<CallerContext, 'emit' | 'transmit' | 'windowBytes' | 'budget'>,
  ): CallerFrontend {
    const {settings, adapters, metrics} = this.options;
    return new CallerFrontend({
      ...shared,
      protocol: adapters.callers,
      tickMs: settings.tuning.loop.tickMs,
      log: (event, fields) => this.log(event, fields),
      onConnection: () => metrics.count('connectionsAccepted'),
      onBodyRefused: refusal => metrics.count('bodiesRefused', refusal),
      onConnectionsClosed: (reason, count) =>
        this.closedConnections.record(reason, count),
      ...this.memoryLimits,
      onLoopLag: lagMs => metrics.record('loopLag', lagMs),
      configuration: () => this.currentConfiguration(),
      configurationFault: () =>
        configurationFaultOf(this.options.daemon.ownership),
      acceptsApiKeys: () =>
        acceptsApiKeys(this.options.daemon.ownership, readClocks()),
      idPrefix: this.self,
    });
  }

  /** Starts the loop. Links and callers must be listening. */
  start(): void {
    this.loop.start(this.options.settings.tuning.loop.tickMs);
    this.loop.emit({kind: 'ticked'});
  }

  /** Begins a planned stop. */
  stop(): void {
    const {stopServeMs, stopMs} = this.options.settings.tuning.membership;
    this.stopping = true;
    this.loop.emit({kind: 'stopRequested'});
    this.callers.beginStop(stopServeMs, stopMs);
  }

  /** @returns Whether the daemon has a configuration in force. */
  isConfigured(): boolean {
    return this.options.daemon.ownershipView.workspace !== null;
  }

  /** @returns Time until the daemon is to watch the source of configuration. */
  sourceWatchDelayMs(): number {
    return this.options.daemon.ownershipView.sourceWatchDelayMs(readClocks());
  }

  /**
   * @param service - The service.
   * @returns The limits of its backend servers, or null if there are none.
   */
  serverLimits(service: ServiceName): ServerLimits | null {
    const {workspace} = this.options.daemon.ownershipView;
    const found = workspace?.services.find(each => each.name === service);
    return found?.serverLimits ?? null;
  }

  /** @returns The last server here that was registered as shutting down. */
  departedServer(): InstanceId | null {
    return this.options.daemon.ownershipView.departedServer;
  }

  /** @returns Why the daemon doesn't accept requests, or null if it does. */
  unreadyReason(): string | null {
    if (this.stopping) return 'stopping';
    const overload = this.callers.overloadReason;
    if (overload !== null) return `overloaded: ${overload}`;
    if (this.options.daemon.ownershipView.self !== null) return null;
    return this.storeUnavailable
      ? 'not joined: the platform does not answer'
      : 'not joined yet';
  }

  /**
   * Handles an announcement of the local backend server.
   *
   * @param announcement - The announcement.
   */
  announce(announcement: Announcement): void {
    this.announcement = announcement;
    this.announcedMs = performance.now();
    this.executor.setServer(announcement);
    this.loop.emit({kind: 'announcementReceived', announcement});
  }

  /**
   * Passes an operator's command to the reducer.
   *
   * @param command - The command.
   * @returns Its result.
   */
  command(command: Command): Promise<CommandResult> {
    const token = ++this.lastToken;
    return new Promise(resolve => {
      this.commandReplies.set(token, resolve);
      this.loop.emit({kind: 'commandReceived', command, token});
    });
  }

  /**
   * Queues an event.
   *
   * @param event - The event.
   */
  emit(event: Event): void {
    if (event.kind === 'requestAccepted') {
      this.options.metrics.count('requests', event.accepted.service);
    }
    this.loop.emit(event);
  }

  /**
   * Writes a log event and counts it.
   *
   * @param event - Name of the event in the catalogue.
   * @param fields - Details of the event.
   */
  log(event: LogEventName, fields: LogFields): void {
    this.options.metrics.count('logEvents', event);
    this.options.logger.log(event, fields);
  }

  private perform(effect: Effect): void {
    switch (effect.kind) {
      case 'send':
        this.sendFromReducer(effect);
        return;
      case 'startTimer':
        setTimeout(() => this.loop.emit({kind: 'timerFired'}), effect.afterMs);
        return;
      case 'callStore':
        void this.callStore(effect.call, effect.request, effect.timeoutMs);
        return;
      case 'sendDispatch':
        this.options.metrics.count('attempts');
        this.callers.sendDispatch(effect);
        return;
      case 'run':
        this.executor.run(effect);
        return;
      case 'cancelRun':
        this.executor.cancel(effect.attempt);
        return;
      case 'replayResponse':
        this.executor.replayResponse(effect);
        return;
      case 'discardAttempt':
        this.executor.discardAttempt(effect.attempt);
        this.callers.discardAttempt(effect.attempt);
        return;
      case 'relayResponse':
        this.callers.relayResponse(effect.request, effect.attempt);
        return;
      case 'failRequest':
        this.failRequest(effect);
        return;
      case 'grantSlices':
        this.executor.grantSlices(effect);
        return;
      case 'releaseSlices':
        this.executor.releaseSlices(effect);
        return;
      case 'log':
        this.log(effect.event, effect.fields);
        return;
      case 'recordDuration':
        this.options.metrics.record(effect.histogram, effect.valueMs);
        return;
      case 'reply':
        this.commandReplies.get(effect.token)?.(effect.result);
        this.commandReplies.delete(effect.token);
        return;
      case 'panic':
        this.options.onInvariantViolation(effect.invariant, effect.detail);
        return;
      case 'exitProcess':
        this.options.onLeft();
        return;
    }
  }

  private failRequest({
    request,
    failure,
  }: Extract<Effect, {kind: 'failRequest'}>): void {
    this.options.metrics.count('failures', failure.kind);
    this.callers.failRequest(request, failure);
  }

  /**
   * Sends a message that the reducer decided on. With an address, it goes
   * straight to the link, which opens if needed; without one, it is discarded
   * unless a link is open. Nothing is reported about the message itself if it
   * isn't sent, only `linkLost` if its link is lost or can't be opened.
   */
  private sendFromReducer(effect: Extract<Effect, {kind: 'send'}>): void {
    const {to, address, message} = effect;
    if (this.isOwn(to)) this.receive(to, message);
    else if (address !== null) this.links.send(to, address, message);
    else if (this.links.isOpen(to)) this.outbox.send(to, null, message);
  }

  /**
   * Sends a message of the callers' front end or the executor about an attempt.
   * It waits in the outbox for the link to open, behind earlier messages to the
   * member; a dispatch that can't be sent is reported to the reducer.
   */
  private transmit(to: MemberId, message: Message): void {
    if (this.isOwn(to)) {
      this.receive(to, message);
      return;
    }
    const {ownershipView} = this.options.daemon;
    this.outbox.send(to, ownershipView.addressOf(to), message);
  }

  /** Returns whether a member is this process, now or before a removal. */
  private isOwn(member: MemberId): boolean {
    return member === this.self || this.formerIds.has(member);
  }

  private receive(from: MemberId, message: Message): void {
    const invalid = findInvalid(message);
    if (invalid !== null) {
      this.handleInvalid(from, invalid);
      return;
    }
    for (const receiver of receiversOf(message)) {
      this.pass(receiver, from, message);
    }
  }

  /**
   * Fails the attempt of a message that can't be passed on. One with an invalid
   * response has run; one with an invalid request never will.
   */
  private handleInvalid(from: MemberId, message: InvalidMessage): void {
    const {kind, attempt} = message;
    this.log('messageInvalid', {peer: from, message: kind, attempt});
    const failed = toFailure(message, this.executor.activeCount);
    if (kind === 'head') this.receive(from, failed);
    else this.transmit(from, failed);
  }

  private pass(
    receiver: MessageReceiver,
    from: MemberId,
    message: Message,
  ): void {
    switch (receiver) {
      case 'executor':
        if (isAttemptMessage(message)) this.executor.receive(from, message);
        return;
      case 'callers':
        if (isResponseMessage(message)) this.callers.receive(from, message);
        return;
      case 'reducer':
        this.loop.emit({kind: 'messageReceived', from, message});
        return;
    }
  }

  private handleLinkOpened(peer: MemberId): void {
    this.options.metrics.count('linksOpened');
    this.outbox.flushQueue(peer);
    this.loop.emit({kind: 'linkOpened', peer});
  }

  private handleLinkLost(peer: MemberId, reason: string): void {
    this.options.metrics.count('linksLost');
    this.log('linkLost', {peer, reason});
    this.outbox.failQueue(peer);
    this.callers.handleLinkLost(peer);
    this.executor.handleLinkLost(peer);
    this.loop.emit({kind: 'linkLost', peer});
  }

  private async callStore(
    call: CallId,
    request: StoreCall,
    timeoutMs: number,
  ): Promise<void> {
    const started = performance.now();
    const reply = await this.options.adapters.store.call(request, timeoutMs);
    this.options.metrics.record('store', performance.now() - started);
    this.options.metrics.count('storeCalls', `${request.kind}-${reply.kind}`);
    this.recordStoreState(reply);
    this.loop.emit({kind: 'storeReplied', call, reply});
  }

  private recordStoreState(reply: StoreReply): void {
    const failed = reply.kind === 'refused' || reply.kind === 'unknown';
    if (failed && !this.storeUnavailable) {
      const {kind, detail} = reply;
      this.log('platformFailed', {reply: kind, detail});
    }
    if (!failed && this.storeUnavailable) {
      this.log('platformAnswers', {});
    }
    this.storeUnavailable = failed;
  }

  /** @returns All metrics in the Prometheus text format. */
  renderMetrics(): string {
    const {daemon, metrics} = this.options;
    const figures = {
      loopLagMs: this.callers.loopLagMs,
      connections: this.callers.openConnections,
      runs: this.executor.activeCount,
      held: this.budget.heldBytes,
      budgetBytes: this.budget.maxBytes,
    };
    return metrics.render(readGauges(daemon, readClocks(), figures));
  }

  /** @returns The state of every subsystem, for operators. */
  renderStatus(): unknown {
    return renderDaemon(this.options.daemon);
  }

  /** Does periodic work outside of the reducer; called by the process. */
  tick(): void {
    this.executor.tick();
    this.callers.tick();
    this.budget.set('links', this.links.bufferedBytesOfAll);
    this.closedConnections.log(this.callers.openConnections);
    this.checkAnnouncementAge();
    const {self} = this.options.daemon.ownershipView;
    if (self === null || self === this.self) return;
    this.formerIds.add(this.self);
    this.self = self;
    this.links.setMemberId(self);
    this.options.logger.setContext({member: self});
  }

  /** One link may not use up the memory budget. */
  private queueBytes(): number {
    const {queueBytes} = this.options.settings.tuning.links;
    return Math.min(queueBytes, this.budget.maxBytes * MAX_LINK_SHARE);
  }

  private checkAnnouncementAge(): void {
    const {announcement} = this;
    if (announcement === null) return;
    const {ttlMs} = this.options.settings.tuning.announcements;
    if (performance.now() - this.announcedMs < ttlMs) return;
    this.reportServerLost(announcement, 'no announcement', false);
  }

  /**
   * Reports a backend server as lost, unless another instance has announced
   * itself since. `processEnded` tells that its process has ended; otherwise it
   * may just have stopped announcing itself.
   */
  private reportServerLost(
    announcement: Announcement,
    reason: string,
    processEnded: boolean,
  ): void {
    const {instance} = announcement;
    if (this.announcement?.instance !== instance) return;
    this.log('serverLost', {instance, reason});
    this.announcement = null;
    this.executor.setServer(null);
    this.loop.emit({
      kind: 'announcementExpired',
      instance,
      processEnded,
    });
  }

  /**
   * Returns whether this daemon may run work for a slice now; a null slice
   * means a service that isn't divided into slices.
   */
  private mayWrite(service: ServiceName, slice: Slice | null): boolean {
    const {ownershipView} = this.options.daemon;
    const at = readClocks();
    const permission =
      slice === null
        ? ownershipView.mayServe(at)
        : ownershipView.mayDispatch(service, slice, at);
    return permission.kind === 'granted';
  }

  /** Compiles the routes again only if the workspace has changed. */
  private currentConfiguration(): CompiledConfiguration | null {
    const {workspace} = this.options.daemon.ownershipView;
    if (workspace === null) return null;
    if (this.configuration?.workspace !== workspace) {
      this.configuration = {
        workspace,
        router: compileRoutes(workspace),
        tenants: createTenantDirectory(workspace),
      };
    }
    return this.configuration;
  }
}
