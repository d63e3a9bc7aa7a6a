/**
 * @fileoverview A daemon in virtual time: the routing and execution subsystems
 * with a simulated runtime, which executes their effects.
 */

import type {
  AttemptId,
  ColdStart,
  CostClass,
  Dispatch,
  Effect,
  Event,
  Failure,
  InstanceId,
  MemberId,
  Message,
  RequestId,
  AcceptedRequest,
  Tuning,
} from '@jackdawfall/core';
import {
  EXECUTION,
  ROUTING,
  createExecutionState,
  createRoutingState,
  workReportOf,
} from '@jackdawfall/core';

import type {MapCopy} from './map_copy.js';
import {SERVICE} from './map_copy.js';
import type {Network} from './network.js';
import type {Schedule} from './schedule.js';
import type {SimulatedServer} from './server.js';

/** Time to open a connection to a backend server, in milliseconds. */
const CONNECT_MS = 1;

/** Report of a server that is warm. */
const WARM: ColdStart = {remainingMs: 0, perSecond: 1000};

/** The outcome of a request as reported to its caller. */
export interface CallerOutcome {
  readonly request: RequestId;
  /** Null for a response of the backend server. */
  readonly failure: Failure | null;
  /** Virtual time, in milliseconds. */
  readonly at: number;
  /** Whether the response was that of another request. */
  readonly wrongResponse: boolean;
}

/** A run of an attempt on the backend server. */
interface Run {
  readonly request: RequestId;
  readonly costClass: CostClass;
  /** Attempts that get the response, with their origins. */
  readonly recipients: Map<AttemptId, MemberId>;
  /** Null before the run has started. */
  abort: (() => void) | null;
  ended: boolean;
}

/** What a daemon depends on. */
export interface DaemonEnvironment {
  readonly schedule: Schedule;
  readonly network: Network;
  readonly map: MapCopy;
  readonly server: SimulatedServer;
  readonly slots: number;
  readonly settings: Tuning;
  /** Whether the server reports its cold start. */
  readonly reportsColdStart: boolean;
  reportOutcome(outcome: CallerOutcome): void;
}

/** A simulated daemon. */
export class SimulatedDaemon {
  readonly routing;
  readonly execution;
  /** False after a crash; a frozen daemon is up. */
  isUp = true;
  private readonly accepted = new Map<RequestId, AcceptedRequest>();
  /** As the origin: attempts whose response is relayed to the caller. */
  private readonly relayedAttempts = new Map<AttemptId, RequestId>();
  /** As the origin: the request that the response of an attempt belongs to. */
  private readonly responses = new Map<AttemptId, RequestId>();
  private readonly completeResponses = new Set<AttemptId>();
  /** As the target of dispatches: attempts that were sent to this daemon. */
  private readonly dispatched = new Map<AttemptId, Dispatch>();
  private readonly runs = new Map<AttemptId, Run>();
  /** While frozen: actions to run afterwards, else null. */
  private deferred: Array<() => void> | null = null;
  private instanceCount = 0;

  /**
   * @param member - Its member id.
   * @param environment - What it depends on.
   */
  constructor(
    readonly member: MemberId,
    private readonly environment: DaemonEnvironment,
  ) {
    this.routing = createRoutingState(environment.settings);
    this.execution = createExecutionState(environment.settings);
    environment.network.add(member, this);
    this.announce();
    this.tick();
  }

  /** Announces the backend server as newly started. */
  announce(): void {
    this.instanceCount += 1;
    this.handleEvent({
      kind: 'announcementReceived',
      announcement: {
        instance: `${this.member} ${this.instanceCount}` as InstanceId,
        service: SERVICE,
        address: this.environment.map.addressOf(this.member),
        slots: this.environment.slots,
        connections: this.environment.slots * 5,
        checksGrants: false,
        leaving: false,
        coldStart: this.environment.reportsColdStart ? WARM : null,
      },
    });
  }

  /**
   * Accepts a caller's request.
   *
   * @param accepted - The request.
   */
  accept(accepted: AcceptedRequest): void {
    this.accepted.set(accepted.request, accepted);
    this.handleEvent({kind: 'requestAccepted', accepted});
  }

  /**
   * Freezes the daemon; what happens meanwhile is handled afterwards.
   *
   * @param ms - Duration, in milliseconds.
   */
  freeze(ms: number): void {
    if (this.deferred !== null) return;
    this.deferred = [];
    this.environment.schedule.after(ms, () => {
      const actions = this.deferred ?? [];
      this.deferred = null;
      for (const action of actions) action();
    });
  }

  /** Ends the daemon without any further action. */
  crash(): void {
    this.isUp = false;
    for (const run of this.runs.values()) run.abort?.();
  }

  /**
   * Handles a message.
   *
   * @param from - The sender.
   * @param message - The message.
   */
  receive(from: MemberId, message: Message): void {
    this.runOrDefer(() => {
      if (message.kind === 'dispatch') {
        this.dispatched.set(message.attempt, message);
      }
      if (message.kind === 'head') {
        const request = message.headers[0].value as RequestId;
        this.responses.set(message.attempt, request);
      }
      this.handleEvent({kind: 'messageReceived', from, message});
      if (message.kind !== 'end') return;
      this.completeResponses.add(message.attempt);
      this.completeIfRelayed(message.attempt);
    });
  }

  /**
   * Handles the loss of a link.
   *
   * @param peer - The daemon at its other end.
   */
  handleLinkLost(peer: MemberId): void {
    this.runOrDefer(() => this.handleEvent({kind: 'linkLost', peer}));
  }

  /**
   * Handles a message of which no byte was sent.
   *
   * @param message - The message.
   */
  handleDispatchNotSent(message: Message): void {
    if (message.kind !== 'dispatch') return;
    const {attempt} = message;
    this.runOrDefer(() => this.handleEvent({kind: 'dispatchNotSent', attempt}));
  }

  /**
   * Passes one event to both subsystems and executes their effects.
   *
   * @param event - The event.
   */
  handleEvent(event: Event): void {
    if (!this.isUp) return;
    const {schedule, map} = this.environment;
    const at = {monotonic: schedule.now, wall: schedule.now};
    const input = {at, random: schedule.random(), event};
    const dependencies = {ownership: map};
    const first = ROUTING.reduce(this.routing, input, dependencies);
    for (const effect of first) this.execute(effect);
    const second = EXECUTION.reduce(this.execution, input, dependencies);
    for (const effect of second) this.execute(effect);
  }

  private runOrDefer(action: () => void): void {
    if (this.deferred !== null) this.deferred.push(action);
    else action();
  }

  private tick(): void {
    this.runOrDefer(() => this.handleEvent({kind: 'ticked'}));
    if (!this.isUp) return;
    const {tickMs} = this.environment.settings.loop;
    this.environment.schedule.after(tickMs, () => this.tick());
  }

  private execute(effect: Effect): void {
    const {network, schedule} = this.environment;
    switch (effect.kind) {
      case 'send':
        network.send(this.member, effect.to, effect.message);
        return;
      case 'sendDispatch':
        this.sendDispatch(effect);
        return;
      case 'startTimer':
        schedule.after(effect.afterMs, () =>
          this.runOrDefer(() => this.handleEvent({kind: 'timerFired'})),
        );
        return;
      case 'run':
        this.run(effect);
        return;
      case 'cancelRun':
        this.cancelRun(effect.attempt);
        return;
      case 'replayResponse':
        this.replayResponse(effect);
        return;
      case 'relayResponse':
        this.relayedAttempts.set(effect.attempt, effect.request);
        this.completeIfRelayed(effect.attempt);
        return;
      case 'failRequest':
        this.reportOutcome(effect.request, effect.failure, false);
        return;
      case 'discardAttempt':
        this.discardAttempt(effect.attempt);
        return;
      case 'panic':
        throw new Error(`${effect.invariant}: ${effect.detail}`);
      case 'callStore':
      case 'grantSlices':
      case 'releaseSlices':
      case 'log':
      case 'recordDuration':
      case 'reply':
      case 'exitProcess':
        return;
    }
  }

  private sendDispatch(effect: Extract<Effect, {kind: 'sendDispatch'}>): void {
    const accepted = this.accepted.get(effect.request)!;
    this.environment.network.send(this.member, effect.to, {
      kind: 'dispatch',
      attempt: effect.attempt,
      to: effect.to,
      request: effect.request,
      service: accepted.service,
      slice: accepted.slice,
      method: 'POST',
      path: '/',
      headers: [],
      idempotent: accepted.idempotent,
      priority: accepted.priority,
      idempotencyKey: accepted.idempotencyKey,
      budgetMs: effect.budgetMs,
      urgency: accepted.urgency,
      objectiveMs: accepted.objectiveMs,
      costClass: accepted.costClass,
      version: effect.version,
      body: new Uint8Array(),
      bodyEnds: true,
    });
  }

  private run(effect: Extract<Effect, {kind: 'run'}>): void {
    const {attempt, origin} = effect;
    const {request, costClass} = this.dispatched.get(attempt)!;
    const recipients = new Map([[attempt, origin]]);
    this.runs.set(attempt, {
      request,
      costClass,
      recipients,
      abort: null,
      ended: false,
    });
    this.environment.schedule.after(CONNECT_MS, () =>
      this.runOrDefer(() => this.startWriting(attempt)),
    );
  }

  /** Sends an attempt to the server, unless the event cancels the run. */
  private startWriting(attempt: AttemptId): void {
    this.handleEvent({kind: 'runWriteStarting', attempt});
    const run = this.runs.get(attempt);
    if (run === undefined || !this.isUp) return;
    run.abort = this.environment.server.startRun(run.request, () =>
      this.runOrDefer(() => this.handleRunEnd(attempt)),
    );
    if (run.abort !== null) return;
    this.runs.delete(attempt);
    this.handleEvent({
      kind: 'runHeadReceived',
      attempt,
      status: 503,
      refused: true,
    });
  }

  private handleRunEnd(attempt: AttemptId): void {
    const run = this.runs.get(attempt);
    if (run === undefined || !this.isUp) return;
    run.ended = true;
    this.handleEvent({
      kind: 'runHeadReceived',
      attempt,
      status: 200,
      refused: false,
    });
    for (const [recipient, to] of run.recipients) {
      this.sendResponse(run, recipient, to);
    }
    this.handleEvent({kind: 'runEnded', attempt});
  }

  /** The response names its request, so the origin can check it. */
  private sendResponse(run: Run, attempt: AttemptId, to: MemberId): void {
    const {network} = this.environment;
    const header = {name: 'x-request', value: run.request};
    const headers = [header];
    network.send(this.member, to, {
      kind: 'head',
      attempt,
      status: 200,
      headers,
    });
    const outstanding = this.execution.jobs.size;
    const key = {service: SERVICE, costClass: run.costClass};
    const report = workReportOf(
      this.execution,
      key,
      this.environment.schedule.now,
    );
    const end = {kind: 'end', attempt, outstanding, ...report} as const;
    network.send(this.member, to, end);
  }

  private replayResponse(
    effect: Extract<Effect, {kind: 'replayResponse'}>,
  ): void {
    const run = this.runs.get(effect.original);
    if (run === undefined) return;
    if (run.ended) this.sendResponse(run, effect.attempt, effect.to);
    else run.recipients.set(effect.attempt, effect.to);
  }

  private cancelRun(attempt: AttemptId): void {
    this.runs.get(attempt)?.abort?.();
    this.runs.delete(attempt);
  }

  private discardAttempt(attempt: AttemptId): void {
    this.relayedAttempts.delete(attempt);
    this.responses.delete(attempt);
    this.completeResponses.delete(attempt);
    this.dispatched.delete(attempt);
    if (this.runs.get(attempt)?.ended) this.runs.delete(attempt);
  }

  /** Ends a request once its response is relayed and complete. */
  private completeIfRelayed(attempt: AttemptId): void {
    const request = this.relayedAttempts.get(attempt);
    if (request === undefined || !this.completeResponses.has(attempt)) return;
    this.reportOutcome(request, null, this.responses.get(attempt) !== request);
    this.handleEvent({kind: 'responseDelivered', request});
  }

  private reportOutcome(
    request: RequestId,
    failure: Failure | null,
    wrongResponse: boolean,
  ): void {
    this.accepted.delete(request);
    const at = this.environment.schedule.now;
    this.environment.reportOutcome({
      request,
      failure,
      at,
      wrongResponse,
    });
  }
}
