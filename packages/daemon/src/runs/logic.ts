/**
 * @fileoverview Runs attempts at the backend server beside this daemon and
 * sends their answers to the daemons that asked.
 */

import type {IncomingMessage} from 'node:http';

import {NO_VERSION, originOf} from '@jackdawfall/core';
import type {
  Announcement,
  AttemptId,
  Dispatch,
  Effect,
  Event,
  MemberId,
  Message,
  RunState,
  ServiceName,
  Slice,
} from '@jackdawfall/core';

import {endToEndHeaders} from '../http/headers.js';
import type {AttemptMessage} from '../links/messages.js';
import type {ServerProtocol} from '../adapters/types.js';
import {KeptResponses} from './kept.js';
import type {KeptResponseLimits} from './kept.js';
import {endsAtConnectionClose, waitForCleanClose} from './closing.js';
import {ServerConnectionPool} from './connections.js';
import type {ReceivedAttempt, Run, ResponseStream} from './types.js';

/** What runs need of the process around them. */
export interface RunExecutorContext {
  emit(event: Event): void;
  transmit(to: MemberId, message: Message): void;
  /** Rule R1, asked again after the wait for a connection. */
  mayWrite(service: ServiceName, slice: Slice | null): boolean;
  /** Bytes of one answer that may be under way at once. */
  readonly windowBytes: number;
  /** Silence after which a connection is no longer trusted. */
  readonly silenceMs: number;
  /** Silence of a run after which its connection is no longer reused. */
  readonly silentRunMs: number;
  readonly protocol: ServerProtocol;
  /** Nothing listens at the server's address any more. */
  onServerUnreachable(server: Announcement): void;
  readonly kept: KeptResponseLimits;
}

/** Attempts sent to this daemon. */
export class RunExecutor {
  private readonly arrivals = new Map<AttemptId, ReceivedAttempt>();
  /** Arrivals whose run is under way. */
  private readonly active = new Set<ReceivedAttempt>();
  private connections: ServerConnectionPool | null = null;
  private announcement: Announcement | null = null;
  private readonly kept: KeptResponses;

  /** @param context - The process around this object. */
  constructor(private readonly context: RunExecutorContext) {
    this.kept = new KeptResponses(context.kept);
  }

  /**
   * Notes what the backend server says of itself.
   *
   * @param announcement - Its announcement, or null when it is gone.
   */
  setServer(announcement: Announcement | null): void {
    const before = this.announcement;
    this.announcement = announcement;
    if (announcement === null) {
      this.connections?.replace();
      return;
    }
    const same =
      before?.address === announcement.address &&
      before.instance === announcement.instance &&
      before.connections === announcement.connections;
    if (same && this.connections !== null) return;
    this.connections?.replace();
    this.connections = new ServerConnectionPool(announcement);
  }

  /**
   * Takes a message about an attempt that this daemon runs.
   *
   * @param from - The daemon that sent it.
   * @param message - The message.
   */
  receive(from: MemberId, message: AttemptMessage): void {
    switch (message.kind) {
      case 'dispatch':
        this.arrive(from, message);
        return;
      case 'body':
        this.takeBody(from, message.attempt, message.bytes, message.ends);
        return;
      case 'credit':
        this.takeCredit(from, message.attempt, message.bytes);
        return;
    }
  }

  /**
   * Writes an attempt to the backend server.
   *
   * @param effect - The attempt, its fence token and its time.
   */
  run(effect: Extract<Effect, {kind: 'run'}>): void {
    const arrival = this.arrivals.get(effect.attempt);
    if (arrival === undefined) {
      this.reportLost(effect.attempt, 'not-run', 'no backend server');
      return;
    }
    if (arrival.run !== null || arrival.starting) return;
    arrival.starting = true;
    if (effect.keepResponse) this.kept.start(arrival);
    const {attempt, origin} = effect;
    const credit = this.context.windowBytes;
    arrival.streams = [{attempt, to: origin, credit}];
    // A cancellation that has arrived as well is read before.
    setImmediate(() => this.begin(arrival, effect));
  }

  private begin(
    arrival: ReceivedAttempt,
    effect: Extract<Effect, {kind: 'run'}>,
  ): void {
    if (!arrival.starting) return;
    arrival.starting = false;
    const {announcement, connections} = this;
    if (announcement === null || connections === null) {
      this.reportLost(effect.attempt, 'not-run', 'no backend server');
      return;
    }
    const {budgetMs} = effect;
    const outgoing = connections.open({
      method: arrival.dispatch.method,
      path: arrival.dispatch.path,
      headers: this.context.protocol.headersOf(
        arrival.dispatch,
        effect,
        announcement,
      ),
    });
    const run: Run = {
      outgoing,
      incoming: null,
      written: false,
      settled: false,
      lastActivityMs: performance.now(),
      expiresMs: performance.now() + budgetMs,
    };
    arrival.run = run;
    this.active.add(arrival);
    this.follow(arrival, run);
    this.writeBody(arrival);
  }

  /**
   * Stops an attempt; the backend server sees its connection close.
   *
   * @param attempt - The attempt.
   */
  cancel(attempt: AttemptId): void {
    const arrival = this.arrivals.get(attempt);
    if (arrival !== undefined) arrival.starting = false;
    if (!arrival?.run || arrival.run.settled) return;
    this.settle(arrival, arrival.run);
    arrival.run.outgoing.destroy();
    this.kept.drop(arrival);
  }

  /**
   * Sends an answer again from its first byte; when it is not whole yet, the
   * rest follows as it arrives.
   *
   * @param effect - Which answer, as which attempt, and to whom.
   */
  replay(effect: Extract<Effect, {kind: 'replay'}>): void {
    const {attempt, original: of, to} = effect;
    const arrival = this.arrivals.get(of);
    const kept = arrival?.kept ?? null;
    if (arrival === undefined || kept === null) {
      this.sendNotKept(attempt, to);
      return;
    }
    const credit = this.context.windowBytes - kept.bytes;
    const stream: ResponseStream = {attempt, to, credit};
    const others = arrival.streams.filter(each => each.attempt !== attempt);
    arrival.streams = [...others, stream];
    if (kept.head === null) return;
    this.context.transmit(to, {kind: 'head', attempt, ...kept.head});
    for (const bytes of kept.chunks) {
      this.context.transmit(to, {kind: 'data', attempt, bytes});
    }
    if (kept.complete) this.sendEnd(stream);
  }

  /**
   * Drops what is kept of an attempt.
   *
   * @param attempt - The attempt.
   */
  forget(attempt: AttemptId): void {
    const arrival = this.arrivals.get(attempt);
    if (arrival === undefined) return;
    arrival.starting = false;
    this.kept.drop(arrival);
    this.arrivals.delete(attempt);
  }

  /** Ends runs whose time is over and replaces silent connections. */
  tick(): void {
    const now = performance.now();
    let silent = false;
    for (const {run} of [...this.active]) {
      if (run === null) continue;
      if (now >= run.expiresMs) run.outgoing.destroy(new Error('time is over'));
      if (now - run.lastActivityMs < this.context.silentRunMs) continue;
      run.lastActivityMs = now;
      silent = true;
    }
    if (silent) this.connections?.replace();
  }

  /**
   * Tells the backend server which slices it holds.
   *
   * @param effect - Slices, fence tokens and time to live.
   */
  grant(effect: Extract<Effect, {kind: 'grant'}>): void {
    if (this.connections === null) return;
    const {service, round} = effect;
    const server = this.announcement;
    this.context.protocol.grant(this.connections, effect, grant => {
      if (this.announcement?.instance !== server?.instance) return;
      this.context.emit({kind: 'keysGranted', service, grant, round});
    });
  }

  /**
   * Asks the backend server to give slices back.
   *
   * @param effect - The slices.
   */
  releaseKeys(effect: Extract<Effect, {kind: 'releaseKeys'}>): void {
    if (this.connections === null) return;
    const {service} = effect;
    this.context.protocol.release(
      this.connections,
      effect,
      (grant, handover) => {
        this.context.emit({kind: 'keysReleased', service, grant, handover});
      },
    );
  }

  /** @returns Attempts that are running at the backend server. */
  get open(): number {
    return this.active.size;
  }

  private arrive(from: MemberId, dispatch: Dispatch): void {
    if (originOf(dispatch.attempt) !== from) return;
    if (this.arrivals.has(dispatch.attempt)) return;
    this.arrivals.set(dispatch.attempt, {
      attempt: dispatch.attempt,
      dispatch,
      bodyChunks: dispatch.body.length > 0 ? [dispatch.body] : [],
      bodyEnded: dispatch.bodyEnds,
      starting: false,
      run: null,
      streams: [],
      kept: null,
    });
  }

  private takeBody(
    from: MemberId,
    attempt: AttemptId,
    bytes: Uint8Array,
    ends: boolean,
  ): void {
    const arrival = this.arrivals.get(attempt);
    if (arrival === undefined || originOf(attempt) !== from) return;
    arrival.bodyChunks.push(bytes);
    arrival.bodyEnded = ends;
    this.writeBody(arrival);
  }

  private takeCredit(from: MemberId, attempt: AttemptId, bytes: number): void {
    for (const arrival of this.active) {
      const stream = arrival.streams.find(each => each.attempt === attempt);
      if (stream?.to !== from) continue;
      stream.credit += bytes;
      if (mayRead(arrival)) arrival.run?.incoming?.resume();
      return;
    }
  }

  private writeBody(arrival: ReceivedAttempt): void {
    const {run, bodyChunks: parts, attempt} = arrival;
    if (run === null || run.settled || run.outgoing.writableEnded) return;
    const taken = Buffer.concat(parts);
    parts.length = 0;
    if (arrival.bodyEnded) {
      run.outgoing.end(taken);
    } else if (taken.length > 0) {
      run.outgoing.write(taken);
      const to = originOf(attempt);
      const bytes = taken.length;
      this.context.transmit(to, {kind: 'credit', attempt, bytes});
    }
  }

  private follow(arrival: ReceivedAttempt, run: Run): void {
    const {outgoing} = run;
    outgoing.on('socket', socket => {
      if (!socket.connecting) {
        this.written(arrival, run);
        return;
      }
      const late = setTimeout(
        () => outgoing.destroy(new Error('connection timed out')),
        this.context.silenceMs,
      );
      socket.once('close', () => clearTimeout(late));
      socket.once('connect', () => {
        clearTimeout(late);
        const {service, slice} = arrival.dispatch;
        if (this.context.mayWrite(service, slice)) this.written(arrival, run);
        else outgoing.destroy(new Error('the lease ended meanwhile'));
      });
    });
    outgoing.on('response', incoming => this.answer(arrival, run, incoming));
    outgoing.on('error', error => {
      this.noteRefusal(error);
      this.lose(arrival, run, error.message);
    });
  }

  private noteRefusal(error: Error): void {
    const {announcement} = this;
    if ((error as {code?: string}).code !== 'ECONNREFUSED') return;
    if (announcement !== null) this.context.onServerUnreachable(announcement);
  }

  private written(arrival: ReceivedAttempt, run: Run): void {
    if (run.written || run.settled) return;
    run.written = true;
    this.context.emit({kind: 'runWritten', attempt: arrival.attempt});
  }

  private answer(
    arrival: ReceivedAttempt,
    run: Run,
    incoming: IncomingMessage,
  ): void {
    if (run.settled) return;
    run.incoming = incoming;
    run.lastActivityMs = performance.now();
    const {attempt} = arrival;
    const status = incoming.statusCode ?? 0;
    const judgement = this.context.protocol.classifyResponse(
      arrival.dispatch,
      incoming,
    );
    if (judgement === 'foreign') {
      run.outgoing.destroy();
      this.lose(arrival, run, 'the answer belongs to another request');
      return;
    }
    const shed = judgement === 'refused';
    incoming.on('error', error => this.lose(arrival, run, error.message));
    incoming.on('close', () => {
      if (!incoming.complete) this.lose(arrival, run, 'answer cut short');
    });
    if (shed) {
      incoming.resume();
      this.settle(arrival, run);
      this.context.emit({kind: 'runHead', attempt, status, shed});
      return;
    }
    const head = {status, headers: endToEndHeaders(incoming.headers)};
    this.kept.head(arrival, head);
    this.context.emit({kind: 'runHead', attempt, status, shed});
    for (const stream of arrival.streams) {
      const message = {kind: 'head' as const, attempt: stream.attempt, ...head};
      this.context.transmit(stream.to, message);
    }
    incoming.on('data', (bytes: Buffer) => this.data(arrival, run, bytes));
    if (!endsAtConnectionClose(incoming)) {
      incoming.on('end', () => this.end(arrival, run));
      return;
    }
    const closing = waitForCleanClose(incoming);
    incoming.on('end', () => {
      void closing.then(inOrder => {
        if (inOrder) this.end(arrival, run);
        else this.lose(arrival, run, 'reset before the end of the answer');
      });
    });
  }

  private data(arrival: ReceivedAttempt, run: Run, bytes: Buffer): void {
    if (run.settled) return;
    run.lastActivityMs = performance.now();
    for (const stream of arrival.streams) {
      const {attempt, to} = stream;
      stream.credit -= bytes.length;
      this.context.transmit(to, {kind: 'data', attempt, bytes});
    }
    this.kept.data(arrival, bytes);
    if (!mayRead(arrival)) run.incoming?.pause();
  }

  private end(arrival: ReceivedAttempt, run: Run): void {
    if (run.settled || run.incoming?.complete !== true) return;
    this.settle(arrival, run);
    this.kept.end(arrival);
    this.context.emit({kind: 'runEnded', attempt: arrival.attempt});
    for (const stream of arrival.streams) this.sendEnd(stream);
  }

  private sendEnd(stream: ResponseStream): void {
    const {attempt, to} = stream;
    this.context.transmit(to, {kind: 'end', attempt, outstanding: this.open});
  }

  private sendNotKept(attempt: AttemptId, to: MemberId): void {
    this.context.transmit(to, {
      kind: 'failed',
      attempt,
      error: 'link-lost',
      run: 'unknown',
      detail: 'the answer was not kept',
      owner: null,
      version: NO_VERSION,
      outstanding: this.open,
    });
  }

  private lose(arrival: ReceivedAttempt, run: Run, detail: string): void {
    if (run.settled) return;
    this.settle(arrival, run);
    const state = run.written ? 'unknown' : 'not-run';
    this.reportLost(arrival.attempt, state, detail);
  }

  private settle(arrival: ReceivedAttempt, run: Run): void {
    run.settled = true;
    this.active.delete(arrival);
  }

  private reportLost(attempt: AttemptId, run: RunState, detail: string): void {
    this.context.emit({kind: 'runFailed', attempt, run, detail});
  }
}

function mayRead(arrival: ReceivedAttempt): boolean {
  return arrival.streams.every(stream => stream.credit > 0);
}
