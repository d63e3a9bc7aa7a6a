/**
 * @fileoverview A daemon in virtual time: the subjects of requests with a
 * stand-in for the runner.
 */

import type {
  AttemptId,
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
} from '@jackdawfall/core';

import type {MapCopy} from './map_copy.js';
import {SERVICE} from './map_copy.js';
import type {Network} from './network.js';
import type {Schedule} from './schedule.js';
import type {Server} from './server.js';

/** Time to open a connection to a backend server, in milliseconds. */
const CONNECT_MS = 1;

/** What a caller is told. */
export interface Told {
  readonly request: RequestId;
  readonly failure: Failure | null;
  readonly at: number;
  /** Set if the answer was that of another request. */
  readonly wrongAnswer: boolean;
}

interface Run {
  readonly request: RequestId;
  /** Attempts that get the answer, and their origins. */
  readonly readers: Map<AttemptId, MemberId>;
  stop: (() => void) | null;
  over: boolean;
}

/** What a daemon needs around it. */
export interface Surroundings {
  readonly schedule: Schedule;
  readonly network: Network;
  readonly map: MapCopy;
  readonly server: Server;
  readonly slots: number;
  readonly settings: Tuning;
  tell(told: Told): void;
}

/** The daemon. */
export class Daemon {
  readonly routing;
  readonly execution;
  present = true;
  private readonly taken = new Map<RequestId, AcceptedRequest>();
  private readonly relays = new Map<AttemptId, RequestId>();
  private readonly answers = new Map<AttemptId, RequestId>();
  private readonly whole = new Set<AttemptId>();
  private readonly offered = new Map<AttemptId, RequestId>();
  private readonly runs = new Map<AttemptId, Run>();
  private frozen: Array<() => void> | null = null;
  private instance = 0;

  /**
   * @param member - Its id.
   * @param around - What it needs.
   */
  constructor(
    readonly member: MemberId,
    private readonly around: Surroundings,
  ) {
    this.routing = createRoutingState(around.settings);
    this.execution = createExecutionState(around.settings);
    around.network.add(member, this);
    this.announce();
    this.tick();
  }

  /** Lets the server beside it announce a new start. */
  announce(): void {
    this.instance += 1;
    this.feed({
      kind: 'announced',
      announcement: {
        instance: `${this.member} ${this.instance}` as InstanceId,
        service: SERVICE,
        address: this.around.map.addressOf(this.member),
        slots: this.around.slots,
        connections: this.around.slots * 5,
        checksGrants: false,
        leaving: false,
        coldStart: null,
      },
    });
  }

  /**
   * Takes a caller's request.
   *
   * @param taken - The request.
   */
  take(taken: AcceptedRequest): void {
    this.taken.set(taken.request, taken);
    this.feed({kind: 'taken', accepted: taken});
  }

  /**
   * Stands still for a time; what arrives meanwhile is handled afterwards.
   *
   * @param ms - The time.
   */
  freeze(ms: number): void {
    if (this.frozen !== null) return;
    this.frozen = [];
    this.around.schedule.after(ms, () => {
      const waiting = this.frozen ?? [];
      this.frozen = null;
      for (const act of waiting) act();
    });
  }

  /** Ends the process; nothing of it happens any more. */
  crash(): void {
    this.present = false;
    for (const run of this.runs.values()) run.stop?.();
  }

  hear(from: MemberId, message: Message): void {
    this.soon(() => {
      if (message.kind === 'dispatch') {
        this.offered.set(message.attempt, message.request);
      }
      if (message.kind === 'head') {
        const request = message.headers[0].value as RequestId;
        this.answers.set(message.attempt, request);
      }
      this.feed({kind: 'received', from, message});
      if (message.kind !== 'end') return;
      this.whole.add(message.attempt);
      this.finish(message.attempt);
    });
  }

  lost(peer: MemberId): void {
    this.soon(() => this.feed({kind: 'linkLost', peer}));
  }

  unsent(message: Message): void {
    if (message.kind !== 'dispatch') return;
    const {attempt} = message;
    this.soon(() => this.feed({kind: 'unsent', attempt}));
  }

  /**
   * Handles one event.
   *
   * @param event - The event.
   */
  feed(event: Event): void {
    if (!this.present) return;
    const {schedule, map} = this.around;
    const at = {monotonic: schedule.now, wall: schedule.now};
    const input = {at, random: schedule.random(), event};
    const peers = {ownership: map};
    const first = ROUTING.reduce(this.routing, input, peers);
    for (const effect of first) this.carryOut(effect);
    const second = EXECUTION.reduce(this.execution, input, peers);
    for (const effect of second) this.carryOut(effect);
  }

  private soon(act: () => void): void {
    if (this.frozen !== null) this.frozen.push(act);
    else act();
  }

  private tick(): void {
    this.soon(() => this.feed({kind: 'ticked'}));
    if (!this.present) return;
    const {tickMs} = this.around.settings.loop;
    this.around.schedule.after(tickMs, () => this.tick());
  }

  private carryOut(effect: Effect): void {
    const {network, schedule} = this.around;
    switch (effect.kind) {
      case 'send':
        network.send(this.member, effect.to, effect.message);
        return;
      case 'forward':
        this.forward(effect);
        return;
      case 'wake':
        schedule.after(effect.afterMs, () =>
          this.soon(() => this.feed({kind: 'woken'})),
        );
        return;
      case 'run':
        this.run(effect);
        return;
      case 'cancelRun':
        this.cancelRun(effect.attempt);
        return;
      case 'replay':
        this.replay(effect);
        return;
      case 'relay':
        this.relays.set(effect.attempt, effect.request);
        this.finish(effect.attempt);
        return;
      case 'fail':
        this.tell(effect.request, effect.failure, false);
        return;
      case 'forget':
        this.forget(effect.attempt);
        return;
      case 'violate':
        throw new Error(`${effect.invariant}: ${effect.detail}`);
      case 'dropLink':
      case 'callStore':
      case 'grant':
      case 'releaseKeys':
      case 'log':
      case 'measure':
      case 'reply':
      case 'leave':
        return;
    }
  }

  private forward(effect: Extract<Effect, {kind: 'forward'}>): void {
    const taken = this.taken.get(effect.request)!;
    this.around.network.send(this.member, effect.to, {
      kind: 'dispatch',
      attempt: effect.attempt,
      to: effect.to,
      request: effect.request,
      service: taken.service,
      slice: taken.slice,
      method: 'POST',
      path: '/',
      headers: [],
      idempotent: taken.idempotent,
      priority: taken.priority,
      idempotencyKey: taken.idempotencyKey,
      budgetMs: effect.budgetMs,
      urgency: 0,
      objectiveMs: 0,
      version: effect.version,
      body: new Uint8Array(),
      bodyEnds: true,
    });
  }

  private run(effect: Extract<Effect, {kind: 'run'}>): void {
    const {attempt, origin} = effect;
    const request = this.offered.get(attempt)!;
    const readers = new Map([[attempt, origin]]);
    this.runs.set(attempt, {request, readers, stop: null, over: false});
    this.around.schedule.after(CONNECT_MS, () =>
      this.soon(() => this.write(attempt)),
    );
  }

  private write(attempt: AttemptId): void {
    this.feed({kind: 'runWritten', attempt});
    const run = this.runs.get(attempt);
    if (run === undefined || !this.present) return;
    run.stop = this.around.server.begin(run.request, () =>
      this.soon(() => this.runEnded(attempt)),
    );
    if (run.stop !== null) return;
    this.runs.delete(attempt);
    this.feed({kind: 'runHead', attempt, status: 503, shed: true});
  }

  private runEnded(attempt: AttemptId): void {
    const run = this.runs.get(attempt);
    if (run === undefined || !this.present) return;
    run.over = true;
    this.feed({kind: 'runHead', attempt, status: 200, shed: false});
    for (const [reader, to] of run.readers) this.answer(run, reader, to);
    this.feed({kind: 'runEnded', attempt});
  }

  private answer(run: Run, attempt: AttemptId, to: MemberId): void {
    const {network} = this.around;
    const header = {name: 'x-request', value: run.request};
    const headers = [header];
    network.send(this.member, to, {
      kind: 'head',
      attempt,
      status: 200,
      headers,
    });
    const outstanding = this.execution.jobs.size;
    network.send(this.member, to, {kind: 'end', attempt, outstanding});
  }

  private replay(effect: Extract<Effect, {kind: 'replay'}>): void {
    const run = this.runs.get(effect.original);
    if (run === undefined) return;
    if (run.over) this.answer(run, effect.attempt, effect.to);
    else run.readers.set(effect.attempt, effect.to);
  }

  private cancelRun(attempt: AttemptId): void {
    this.runs.get(attempt)?.stop?.();
    this.runs.delete(attempt);
  }

  private forget(attempt: AttemptId): void {
    this.relays.delete(attempt);
    this.answers.delete(attempt);
    this.whole.delete(attempt);
    this.offered.delete(attempt);
    if (this.runs.get(attempt)?.over) this.runs.delete(attempt);
  }

  private finish(attempt: AttemptId): void {
    const request = this.relays.get(attempt);
    if (request === undefined || !this.whole.has(attempt)) return;
    this.tell(request, null, this.answers.get(attempt) !== request);
    this.feed({kind: 'answered', request});
  }

  private tell(
    request: RequestId,
    failure: Failure | null,
    wrongAnswer: boolean,
  ): void {
    this.taken.delete(request);
    const at = this.around.schedule.now;
    this.around.tell({request, failure, at, wrongAnswer});
  }
}
