/**
 * @fileoverview The callers' side: takes requests over HTTP, holds their
 * bodies, sends them as attempts and hands answers back.
 */

import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';

import {failure} from '@jackdawfall/core';
import type {
  AttemptId,
  Event,
  Failure,
  LogEventName,
  MemberId,
  Message,
  RequestId,
  Router,
  Version,
  Workspace,
} from '@jackdawfall/core';

import type {ResponseMessage} from '../links/messages.js';
import type {CallerProtocol} from '../adapters/types.js';
import type {LogFields} from '../logs/types.js';
import {ResponseRelay, writeFailure} from './responses.js';
import {BodyBudget, readBody} from './body.js';
import {OverloadDetector} from './overload.js';
import {createIncomingResponse} from './state.js';
import type {IncomingResponse, PendingRequest} from './types.js';

/** Bytes of a body that travel with the head of an attempt. */
const FIRST_PART_BYTES = 64 * 1024;
const PART_BYTES = 64 * 1024;
const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
const MAX_HELD_BYTES = 32 * 1024 * 1024;
const MAX_PENDING = 8192;
const MAX_CONNECTIONS = 16_384;

/** A configuration with its compiled routes. */
export interface CompiledConfiguration {
  readonly workspace: Workspace;
  readonly router: Router;
}

/** What the callers' side needs of the process around it. */
export interface CallerContext {
  emit(event: Event): void;
  /** Sends to a member; a message to this daemon itself is handled here. */
  transmit(to: MemberId, message: Message): void;
  log(event: LogEventName, fields: LogFields): void;
  /** The configuration in force, or null before the first. */
  configuration(): CompiledConfiguration | null;
  readonly protocol: CallerProtocol;
  readonly windowBytes: number;
  /** Time between two calls of `watch`, in milliseconds. */
  readonly tickMs: number;
  /** Distinguishes this process's request ids from all others. */
  readonly idPrefix: string;
}

/** An attempt to be sent. */
export interface OutgoingAttempt {
  readonly attempt: AttemptId;
  readonly request: RequestId;
  readonly to: MemberId;
  readonly budgetMs: number;
  readonly version: Version;
}

/** Requests taken from callers and not yet answered. */
export class CallerFrontend {
  /** The HTTP server; the owner of this object lets it listen. */
  readonly server: Server;
  private readonly pending = new Map<RequestId, PendingRequest>();
  private readonly incoming = new Map<AttemptId, IncomingResponse>();
  private readonly budget = new BodyBudget(MAX_HELD_BYTES);
  private readonly answers: ResponseRelay;
  private readonly pressure: OverloadDetector;
  /** Requests that are open on each connection. */
  private readonly bySocket = new WeakMap<Socket, Set<PendingRequest>>();
  private count = 0;
  private leaving = false;

  /** @param context - The process around this object. */
  constructor(private readonly context: CallerContext) {
    this.answers = new ResponseRelay(
      {
        credit: (to, attempt, bytes) =>
          context.transmit(to, {kind: 'credit', attempt, bytes}),
        answered: request => this.answered(request),
      },
      context.windowBytes / 2,
    );
    this.pressure = new OverloadDetector(context.tickMs);
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
      },
      (incoming, outgoing) => void this.take(incoming, outgoing),
    );
    this.server.maxConnections = MAX_CONNECTIONS;
  }

  /** From now on each answer ends its connection, so that none is cut. */
  startDraining(): void {
    this.leaving = true;
  }

  /** @returns Requests not yet answered. */
  get open(): number {
    return this.pending.size;
  }

  /**
   * Sends a request as an attempt: its head with the first part of the body,
   * then further parts as credit allows.
   *
   * @param forward - The attempt and where it goes.
   */
  forward(forward: OutgoingAttempt): void {
    const pending = this.pending.get(forward.request);
    if (pending === undefined) return;
    const {attempt, request, to, budgetMs, version} = forward;
    const incoming = createIncomingResponse(
      attempt,
      request,
      to,
      this.context.windowBytes,
    );
    this.incoming.set(attempt, incoming);
    pending.attempts.add(attempt);
    const body = pending.body.subarray(0, FIRST_PART_BYTES);
    incoming.bodySent = body.length;
    incoming.bodyCredit -= body.length;
    this.context.transmit(to, {
      kind: 'dispatch',
      attempt,
      to,
      request,
      service: pending.service.name,
      slice: pending.slice,
      method: pending.method,
      path: pending.path,
      headers: pending.headers,
      idempotent: pending.route.idempotent,
      priority: pending.route.priority,
      idempotencyKey: pending.idempotencyKey,
      budgetMs,
      urgency: pending.route.urgency,
      objectiveMs: pending.route.objectiveMs,
      version,
      body,
      bodyEnds: body.length === pending.body.length,
    });
    this.sendBody(incoming, pending);
  }

  /**
   * Takes a message about an answer; one that belongs to no attempt sent to
   * that member goes nowhere.
   *
   * @param from - The member that sent it.
   * @param message - The message.
   */
  receive(from: MemberId, message: ResponseMessage): void {
    const incoming = this.incoming.get(message.attempt);
    if (incoming === undefined || incoming.from !== from) return;
    const chosen = this.chosen(incoming);
    switch (message.kind) {
      case 'head':
        this.answers.head(incoming, message.status, message.headers);
        return;
      case 'data':
        this.answers.data(incoming, message.bytes, chosen);
        return;
      case 'end':
        this.answers.end(incoming, chosen);
        return;
      case 'credit':
        this.credit(incoming, message.bytes);
        return;
    }
  }

  /**
   * Hands an attempt's answer to the caller.
   *
   * @param request - The request.
   * @param attempt - The chosen attempt.
   */
  relay(request: RequestId, attempt: AttemptId): void {
    const pending = this.pending.get(request);
    const incoming = this.incoming.get(attempt);
    if (pending === undefined || incoming === undefined) return;
    pending.chosenAttempt = attempt;
    this.answers.relay(incoming, pending);
  }

  /**
   * Answers a request with an error.
   *
   * @param request - The request.
   * @param failed - What went wrong and whether the request ran.
   */
  fail(request: RequestId, failed: Failure): void {
    const pending = this.pending.get(request);
    if (pending === undefined) return;
    const leftMs = pending.receivedMs + pending.timeoutMs - performance.now();
    const answer = this.context.protocol.answerOf(request, failed, leftMs);
    writeFailure(pending.outgoing, answer);
    this.close(pending);
  }

  /**
   * Drops what is kept of an attempt's answer.
   *
   * @param attempt - The attempt.
   */
  forget(attempt: AttemptId): void {
    const incoming = this.incoming.get(attempt);
    if (incoming === undefined) return;
    const pending = this.pending.get(incoming.request);
    if (pending?.chosenAttempt === attempt) return;
    pending?.attempts.delete(attempt);
    this.incoming.delete(attempt);
  }

  /** Notes how late the loop is; called every tick. */
  tick(): void {
    this.pressure.recordTick(performance.now());
    const idleMs = this.context.configuration()?.workspace.limits.idleMs;
    if (idleMs !== undefined) this.server.keepAliveTimeout = idleMs;
  }

  private async take(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    if (this.leaving) outgoing.shouldKeepAlive = false;
    const request = this.nextId(incoming);
    const pending = await this.admit(request, incoming, outgoing);
    if (pending === null) return;
    await untilReadsAreDone();
    if (incoming.socket.destroyed || outgoing.destroyed) {
      this.budget.release(pending.body.length);
      return;
    }
    this.pending.set(request, pending);
    outgoing.once('close', () => this.hungUp(pending));
    this.onHangUp(incoming.socket, pending);
    this.context.emit({
      kind: 'taken',
      accepted: {
        request,
        service: pending.service.name,
        slice: pending.slice,
        idempotent: pending.route.idempotent,
        priority: pending.route.priority,
        timeoutMs: pending.timeoutMs,
        maxAttempts: pending.route.maxAttempts,
        idempotencyKey: pending.idempotencyKey,
      },
    });
  }

  /** Unique over all daemons; begins with the caller's own name if any. */
  private nextId(incoming: IncomingMessage): RequestId {
    const {protocol, idPrefix} = this.context;
    const name = protocol.requestNameOf(incoming) ?? idPrefix;
    this.count += 1;
    return `${name}-${this.count}` as RequestId;
  }

  private async admit(
    request: RequestId,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<PendingRequest | null> {
    const {protocol} = this.context;
    const askedMs = protocol.timeoutMsOf(incoming) ?? Infinity;
    const refuse = (failed: Failure) => {
      const {kind: error, detail} = failed;
      const {method = '', url = ''} = incoming;
      this.context.log('requestRejected', {
        request,
        method,
        url,
        error,
        detail,
      });
      incoming.resume();
      writeFailure(outgoing, protocol.answerOf(request, failed, askedMs));
      return null;
    };
    const configuration = this.context.configuration();
    if (configuration === null) {
      return refuse(failure('no-server', 'not-run', 'no configuration yet'));
    }
    if (this.isFull()) {
      return refuse(failure('overloaded', 'not-run', 'too many requests'));
    }
    const method = incoming.method ?? '';
    const path = incoming.url ?? '';
    const match = configuration.router.match(method, path, incoming.headers);
    if (match.kind !== 'matched') {
      return refuse(failure(match.kind, 'not-run', match.detail));
    }
    const {maxBodyBytes} = configuration.workspace.limits;
    const body = await readBody(incoming, maxBodyBytes, this.budget);
    if (body.kind === 'gone') return null;
    if (body.kind === 'refused') return refuse(body.failure);
    return {
      request,
      route: match.route,
      service: match.service,
      slice: match.slice,
      timeoutMs: Math.min(askedMs, match.route.timeoutMs),
      receivedMs: performance.now(),
      method,
      path,
      headers: protocol.headersOf(incoming),
      idempotencyKey: protocol.idempotencyKeyOf(incoming),
      body: body.bytes,
      addedHeaders: protocol.addedHeaders(request),
      outgoing,
      chosenAttempt: null,
      attempts: new Set(),
    };
  }

  private isFull(): boolean {
    const open = this.pending.size;
    return open >= MAX_PENDING || this.pressure.shouldReject(open);
  }

  private credit(incoming: IncomingResponse, bytes: number): void {
    incoming.bodyCredit += bytes;
    const pending = this.pending.get(incoming.request);
    if (pending !== undefined) this.sendBody(incoming, pending);
  }

  private sendBody(incoming: IncomingResponse, pending: PendingRequest): void {
    const {body} = pending;
    while (incoming.bodySent < body.length && incoming.bodyCredit > 0) {
      const size = Math.min(PART_BYTES, incoming.bodyCredit);
      const start = incoming.bodySent;
      const bytes = body.subarray(start, start + size);
      incoming.bodySent += bytes.length;
      incoming.bodyCredit -= bytes.length;
      this.context.transmit(incoming.from, {
        kind: 'body',
        attempt: incoming.attempt,
        bytes,
        ends: incoming.bodySent === body.length,
      });
    }
  }

  private chosen(incoming: IncomingResponse): PendingRequest | null {
    const pending = this.pending.get(incoming.request);
    if (pending?.chosenAttempt !== incoming.attempt) return null;
    return pending;
  }

  private answered(request: RequestId): void {
    const pending = this.pending.get(request);
    if (pending === undefined) return;
    this.close(pending);
    this.context.emit({kind: 'answered', request});
  }

  /** A request behind another on its connection hears of its end only so. */
  private onHangUp(socket: Socket, pending: PendingRequest): void {
    const open = this.bySocket.get(socket);
    if (open !== undefined) {
      open.add(pending);
      return;
    }
    const fresh = new Set([pending]);
    this.bySocket.set(socket, fresh);
    socket.once('close', () => {
      for (const each of fresh) this.hungUp(each);
    });
  }

  private hungUp(pending: PendingRequest): void {
    if (!this.pending.has(pending.request)) return;
    this.close(pending);
    this.context.emit({kind: 'hungUp', request: pending.request});
  }

  private close(pending: PendingRequest): void {
    this.pending.delete(pending.request);
    if (pending.outgoing.req.socket) {
      this.bySocket.get(pending.outgoing.req.socket)?.delete(pending);
    }
    this.budget.release(pending.body.length);
    for (const attempt of pending.attempts) this.incoming.delete(attempt);
  }
}

/**
 * Lets the loop read what has arrived meanwhile: a caller that has hung up by
 * now is not served any more. The end of a connection is read in the turn
 * after its last bytes.
 */
async function untilReadsAreDone(): Promise<void> {
  await setImmediate();
  await setImmediate();
}
