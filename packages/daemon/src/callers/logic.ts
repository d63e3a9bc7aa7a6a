/**
 * @fileoverview HTTP front end for callers: receives requests, keeps their
 * bodies for retries, sends them to other members as attempts and relays the
 * responses.
 */

import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {failure} from '@jackdawfall/core';
import type {AttemptId, Failure, MemberId, RequestId} from '@jackdawfall/core';

import {BLOCK_BYTES} from '../http/byte_blocks.js';
import type {ResponseMessage} from '../links/messages.js';
import type {ErrorResponse} from '../adapters/types.js';
import {ResponseRelay, refuseUnread, writeErrorResponse} from './responses.js';
import {BodyReader, announcedLength} from './body.js';
import {CallerConnections} from './connections.js';
import {AcceptQueue} from './accept_queue.js';
import {OverloadDetector} from './overload.js';
import {createIncomingResponse} from './state.js';
import {costClassIn, matchRequest, urgencyOf} from './matching.js';
import {waitForPendingReads} from './pending_reads.js';
import {UnreadRequests} from './unread.js';
import type {CallerContext, OutgoingAttempt} from './context.js';
import type {IncomingResponse, PendingRequest} from './types.js';

/** Maximum size of the part of a body that is sent with the dispatch. */
const FIRST_CHUNK_BYTES = BLOCK_BYTES;
const MAX_CHUNK_BYTES = BLOCK_BYTES;
const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
/** Interval at which Node checks for heads that are late. */
const HEADERS_CHECK_INTERVAL_MS = 500;
const MAX_PENDING_REQUESTS = 8192;
/** Interval at which connections are checked and waiting bytes are counted. */
const CHECK_INTERVAL_MS = 500;
/** Maximum size of a body that is read although its request was rejected. */
const MAX_DISCARDED_BYTES = 64 * 1024;

/** Serves callers and tracks their requests until each has its response. */
export class CallerFrontend {
  /** The HTTP server; whoever creates this object calls `listen`. */
  readonly server: Server;
  private readonly pending = new Map<RequestId, PendingRequest>();
  private readonly responses = new Map<AttemptId, IncomingResponse>();
  private readonly bodyReader: BodyReader;
  private readonly responseRelay: ResponseRelay;
  private readonly overloadDetector: OverloadDetector;
  private readonly connections: CallerConnections;
  private readonly unread: UnreadRequests;
  private readonly acceptQueue = new AcceptQueue();
  private checkedMs = -Infinity;
  /** The overload that was logged last. */
  private loggedReason: string | null = null;
  private count = 0;
  /**
   * Monotonic time by which each response has to be sent, in milliseconds, as
   * this process stops then.
   */
  private stopsAtMs = Infinity;

  /** @param context - Dependencies. */
  constructor(private readonly context: CallerContext) {
    this.connections = new CallerConnections(
      pending => this.handleDisconnect(pending),
      context.maxPipelinedBytes,
    );
    this.responseRelay = new ResponseRelay(
      {
        credit: (to, attempt, bytes) =>
          context.transmit(to, {kind: 'credit', attempt, bytes}),
        delivered: request => this.handleDelivered(request),
        headWriting: outgoing => this.connections.prepareHead(outgoing),
      },
      context.windowBytes / 2,
    );
    this.bodyReader = new BodyReader(context.budget, refusal =>
      context.onBodyRefused(refusal),
    );
    this.overloadDetector = new OverloadDetector(context.tickMs);
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        // A body may take long, as long as it progresses.
        requestTimeout: 0,
        connectionsCheckingInterval: HEADERS_CHECK_INTERVAL_MS,
        // `matchRequest` rejects such requests.
        requireHostHeader: false,
      },
      (incoming, outgoing) => void this.handleRequest(incoming, outgoing),
    );
    this.server.on('checkContinue', (incoming, outgoing) => {
      void this.handleRequest(incoming, outgoing, true);
    });
    this.server.on('connection', socket => this.handleConnection(socket));
    this.unread = new UnreadRequests({
      server: this.server,
      connections: this.connections,
      bodyReader: this.bodyReader,
      overloadDetector: this.overloadDetector,
      nextRequestId: () => this.nextRequestId(null),
      respond: (request, failed) =>
        context.protocol.answerOf(request, failed, Infinity),
      log: fields => context.log('requestUnread', fields),
    });
    this.unread.watch(this.server);
  }

  /** @returns The number of open connections. */
  get openConnections(): number {
    return this.connections.size;
  }

  /** @returns Why new connections are not taken in time, or null if they are. */
  get overloadReason(): string | null {
    if (this.overloadDetector.isStalled) return 'the event loop lags';
    return this.acceptQueue.isBehind ? 'the accept queue is full' : null;
  }

  /** @returns The smoothed lag of the event loop, in milliseconds. */
  get loopLagMs(): number {
    return this.overloadDetector.lagMs;
  }

  /**
   * Begins a planned stop. Requests that may take longer than the stop are
   * rejected from now on, as their responses could not be sent.
   *
   * @param serveMs - Time for which connections stay open after a response.
   * @param stopMs - Time after which this process stops.
   */
  beginStop(serveMs: number, stopMs: number): void {
    this.stopsAtMs = performance.now() + stopMs;
    setTimeout(() => this.connections.closeAfterResponses(), serveMs);
  }

  /**
   * Sends an attempt of a pending request: a dispatch with the first part of
   * the body, then further chunks as flow-control credit allows.
   *
   * @param outgoing - The attempt and its recipient.
   */
  sendDispatch(outgoing: OutgoingAttempt): void {
    const pending = this.pending.get(outgoing.request);
    if (pending === undefined) return;
    const {attempt, request, to, budgetMs, version} = outgoing;
    const response = createIncomingResponse(
      attempt,
      request,
      to,
      this.context.windowBytes,
    );
    this.responses.set(attempt, response);
    pending.attempts.add(attempt);
    const body = pending.body.slice(0, FIRST_CHUNK_BYTES);
    response.bodySent = body.length;
    response.bodyCredit -= body.length;
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
      urgency: urgencyOf(pending),
      objectiveMs: pending.route.objectiveMs,
      costClass: pending.costClass,
      version,
      body,
      bodyEnds: body.length === pending.body.length,
    });
    this.sendBody(response, pending);
  }

  /**
   * Handles a message about a response. It is ignored unless it belongs to an
   * attempt that was sent to this member.
   *
   * @param from - The member that sent the message.
   * @param message - The message.
   */
  receive(from: MemberId, message: ResponseMessage): void {
    const response = this.responses.get(message.attempt);
    if (response === undefined || response.from !== from) return;
    const chosen = this.requestRelaying(response);
    switch (message.kind) {
      case 'head':
        this.responseRelay.head(response, message.status, message.headers);
        return;
      case 'data':
        this.responseRelay.data(response, message.bytes, chosen);
        return;
      case 'end':
        this.responseRelay.end(response, chosen);
        return;
      case 'credit':
        this.credit(response, message.bytes);
        return;
    }
  }

  /**
   * Handles the loss of the link with a member. Responses that are under way
   * from it may lack a part, until it sends them again from their start.
   *
   * @param peer - The member.
   */
  handleLinkLost(peer: MemberId): void {
    for (const response of this.responses.values()) {
      if (response.from === peer) response.interrupted = true;
    }
  }

  /**
   * Starts to relay the response of an attempt to the caller.
   *
   * @param request - The request.
   * @param attempt - The attempt whose response was chosen.
   */
  relayResponse(request: RequestId, attempt: AttemptId): void {
    const pending = this.pending.get(request);
    const response = this.responses.get(attempt);
    if (pending === undefined || response === undefined) return;
    pending.chosenAttempt = attempt;
    this.responseRelay.relay(response, pending);
  }

  /**
   * Sends a request's caller an error response.
   *
   * @param request - The request.
   * @param failed - What went wrong and whether the request ran.
   */
  failRequest(request: RequestId, failed: Failure): void {
    const pending = this.pending.get(request);
    if (pending === undefined) return;
    const remainingMs =
      pending.receivedMs + pending.timeoutMs - performance.now();
    const errorResponse = this.context.protocol.answerOf(
      request,
      failed,
      remainingMs,
    );
    this.connections.prepareHead(pending.outgoing);
    writeErrorResponse(pending.outgoing, errorResponse);
    this.close(pending);
  }

  /**
   * Discards the response of an attempt unless it is the chosen one.
   *
   * @param attempt - The attempt.
   */
  discardAttempt(attempt: AttemptId): void {
    const response = this.responses.get(attempt);
    if (response === undefined) return;
    const pending = this.pending.get(response.request);
    if (pending?.chosenAttempt === attempt) return;
    pending?.attempts.delete(attempt);
    this.responses.delete(attempt);
  }

  /** Measures event loop lag and applies time limits; called each tick. */
  tick(): void {
    this.recordLoopLag();
    const limits = this.context.configuration()?.workspace.limits;
    if (limits === undefined) return;
    const {idleMs, headerTimeoutMs = HEADERS_TIMEOUT_MS} = limits;
    this.server.keepAliveTimeout = idleMs;
    this.server.headersTimeout = headerTimeoutMs;
    this.bodyReader.refuseStalled(idleMs);
    const now = performance.now();
    if (now - this.checkedMs < CHECK_INTERVAL_MS) return;
    this.checkedMs = now;
    this.checkConnections(idleMs);
  }

  /** Counts what waits for callers; closes what waits for too long. */
  private checkConnections(idleMs: number): void {
    const {budget} = this.context;
    let waitingBytes = this.connections.closeIdle(idleMs);
    for (const {unwritten} of this.responses.values()) {
      waitingBytes += unwritten.heldBytes;
    }
    budget.set('responses', waitingBytes);
    if (budget.freeBytes > 0) return;
    const closed = this.connections.closeStalled(true);
    if (closed > 0) this.context.onConnectionsClosed('memory', closed);
  }

  /** Takes a connection; without room, stalled ones or it are closed. */
  private handleConnection(socket: Socket): void {
    const {context, connections} = this;
    this.acceptQueue.recordAccept();
    context.onConnection();
    if (connections.size >= context.maxConnections) {
      const closed = connections.closeStalled(false);
      context.onConnectionsClosed('connections', Math.max(1, closed));
      if (closed === 0) {
        socket.destroy();
        return;
      }
    }
    connections.open(socket);
  }

  /** Records the lag of the event loop and logs a change of overload. */
  private recordLoopLag(): void {
    const lagMs = this.overloadDetector.recordTick(performance.now());
    if (lagMs !== null) this.context.onLoopLag(lagMs);
    const reason = this.overloadReason;
    if (reason === this.loggedReason) return;
    this.loggedReason = reason;
    const fields = {
      lagMs: Math.round(this.loopLagMs),
      connections: this.connections.size,
      accepted: this.acceptQueue.acceptedCount,
      requests: this.pending.size,
    };
    if (reason === null) this.context.log('connectionsTaken', fields);
    else this.context.log('connectionsLate', {reason, ...fields});
  }

  private async handleRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    awaitsContinue = false,
  ): Promise<void> {
    const {socket} = incoming;
    switch (this.connections.addRequest(socket, outgoing)) {
      case 'accepted':
        break;
      case 'excess':
        this.unread.refuse(
          socket,
          failure('overloaded', 'not-run', 'too many wait on its connection'),
        );
        return;
      case 'ignored':
        return;
    }
    const request = this.nextRequestId(incoming);
    const pending = await this.readRequest(
      request,
      incoming,
      outgoing,
      awaitsContinue,
    );
    if (pending === null) return;
    await waitForPendingReads();
    if (socket.destroyed || outgoing.destroyed) {
      this.bodyReader.release(pending.heldBytes);
      return;
    }
    this.pending.set(request, pending);
    outgoing.once('close', () => this.handleDisconnect(pending));
    this.connections.watch(pending);
    this.context.emit({
      kind: 'requestAccepted',
      accepted: {
        request,
        service: pending.service.name,
        slice: pending.slice,
        idempotent: pending.route.idempotent,
        priority: pending.route.priority,
        timeoutMs: pending.timeoutMs,
        objectiveMs: pending.route.objectiveMs,
        maxAttempts: pending.route.maxAttempts,
        idempotencyKey: pending.idempotencyKey,
        tenant: pending.tenant?.name ?? null,
        urgency: urgencyOf(pending),
        costClass: pending.costClass,
      },
    });
  }

  /**
   * Globally unique; starts with the caller's id of the request, if there is one
   * and the request could be read.
   */
  private nextRequestId(incoming: IncomingMessage | null): RequestId {
    const {protocol, idPrefix} = this.context;
    const given = incoming === null ? null : protocol.requestNameOf(incoming);
    const name = given ?? idPrefix;
    this.count += 1;
    return `${name}-${this.count}` as RequestId;
  }

  /**
   * Reads and checks a request. Returns null if the caller closed the
   * connection or the request was rejected; then the error response is sent.
   */
  private async readRequest(
    request: RequestId,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    awaitsContinue: boolean,
  ): Promise<PendingRequest | null> {
    const {context} = this;
    const {protocol} = context;
    const callerTimeoutMs = protocol.timeoutMsOf(incoming) ?? Infinity;
    let isReading = false;
    const reject = (failed: Failure) => {
      this.logRejection(request, incoming, failed);
      const answer = protocol.answerOf(request, failed, callerTimeoutMs);
      this.sendRejection(incoming, outgoing, answer, isReading);
      return null;
    };
    const configuration = context.configuration();
    if (configuration === null) {
      const detail = context.configurationFault() ?? 'no configuration yet';
      return reject(failure('no-server', 'not-run', detail));
    }
    if (this.isOverloaded()) {
      return reject(failure('overloaded', 'not-run', 'too many requests'));
    }
    const matched = matchRequest(context, configuration, incoming);
    if (matched.kind === 'rejected') return reject(matched.failure);
    const {target} = matched;
    const {workspace} = configuration;
    const {maxBodyBytes} = workspace.limits;
    const refusal = this.bodyReader.check(incoming, maxBodyBytes);
    if (refusal !== null) return reject(refusal);
    if (awaitsContinue) outgoing.writeContinue();
    isReading = true;
    const body = await this.bodyReader.read(incoming, maxBodyBytes);
    if (body.kind === 'aborted') return null;
    if (body.kind === 'rejected') return reject(body.failure);
    const timeoutMs = Math.min(callerTimeoutMs, target.route.timeoutMs);
    const receivedMs = performance.now();
    if (receivedMs + timeoutMs > this.stopsAtMs) {
      this.bodyReader.release(body.heldBytes);
      return reject(failure('stopping', 'not-run', 'this daemon stops'));
    }
    return {
      request,
      ...target,
      timeoutMs,
      receivedMs,
      method: incoming.method ?? '',
      path: incoming.url ?? '',
      costClass: costClassIn(workspace, target.route, body.bytes.length),
      idempotencyKey: protocol.idempotencyKeyOf(incoming),
      body: body.bytes,
      heldBytes: body.heldBytes,
      addedHeaders: protocol.addedHeaders(request),
      outgoing,
      chosenAttempt: null,
      attempts: new Set(),
    };
  }

  /**
   * Answers a request that is not passed on. The connection stays open if its
   * body has been read, or is short and not refused itself.
   */
  private sendRejection(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    answer: ErrorResponse,
    isReading: boolean,
  ): void {
    const isShort =
      incoming.headers['transfer-encoding'] === undefined &&
      announcedLength(incoming) <= MAX_DISCARDED_BYTES &&
      incoming.headers.expect === undefined;
    if (incoming.complete || (isShort && !isReading)) {
      incoming.resume();
      this.connections.prepareHead(outgoing);
      writeErrorResponse(outgoing, answer);
      return;
    }
    outgoing.shouldKeepAlive = false;
    this.connections.prepareHead(outgoing);
    refuseUnread(incoming, outgoing, answer);
  }

  private logRejection(
    request: RequestId,
    {method = '', url = ''}: IncomingMessage,
    {kind: error, detail}: Failure,
  ): void {
    const fields = {request, method, url, error, detail};
    this.context.log('requestRejected', fields);
  }

  private isOverloaded(): boolean {
    const open = this.pending.size;
    return (
      open >= MAX_PENDING_REQUESTS || this.overloadDetector.shouldReject(open)
    );
  }

  private credit(response: IncomingResponse, bytes: number): void {
    response.bodyCredit += bytes;
    const pending = this.pending.get(response.request);
    if (pending !== undefined) this.sendBody(response, pending);
  }

  private sendBody(response: IncomingResponse, pending: PendingRequest): void {
    const {body} = pending;
    while (response.bodySent < body.length && response.bodyCredit > 0) {
      const size = Math.min(MAX_CHUNK_BYTES, response.bodyCredit);
      const start = response.bodySent;
      const bytes = body.slice(start, size);
      response.bodySent += bytes.length;
      response.bodyCredit -= bytes.length;
      this.context.transmit(response.from, {
        kind: 'body',
        attempt: response.attempt,
        bytes,
        ends: response.bodySent === body.length,
      });
    }
  }

  /** Returns the request of a response if the response was chosen for it. */
  private requestRelaying(response: IncomingResponse): PendingRequest | null {
    const pending = this.pending.get(response.request);
    if (pending?.chosenAttempt !== response.attempt) return null;
    return pending;
  }

  private handleDelivered(request: RequestId): void {
    const pending = this.pending.get(request);
    if (pending === undefined) return;
    this.close(pending);
    this.context.emit({kind: 'responseDelivered', request});
  }

  private handleDisconnect(pending: PendingRequest): void {
    if (!this.pending.has(pending.request)) return;
    this.close(pending);
    this.context.emit({kind: 'callerDisconnected', request: pending.request});
  }

  private close(pending: PendingRequest): void {
    this.pending.delete(pending.request);
    this.connections.remove(pending);
    this.bodyReader.release(pending.heldBytes);
    for (const attempt of pending.attempts) this.responses.delete(attempt);
  }
}
