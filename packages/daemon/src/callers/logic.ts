/**
 * @fileoverview HTTP front end for callers: receives requests, keeps their
 * bodies for retries, sends them to other members as attempts and relays the
 * responses.
 */

import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {setImmediate} from 'node:timers/promises';

import {NO_COST_CLASS, costClassOf, failure} from '@jackdawfall/core';
import type {
  AttemptId,
  Event,
  Failure,
  Header,
  LogEventName,
  MemberId,
  Message,
  RequestId,
  Route,
  Router,
  Tenant,
  TenantDirectory,
  Version,
  Workspace,
} from '@jackdawfall/core';

import {areValidHeaders, isValidPath} from '../http/headers.js';
import type {ResponseMessage} from '../links/messages.js';
import type {CallerProtocol} from '../adapters/types.js';
import type {LogFields} from '../logs/types.js';
import {ResponseRelay, writeErrorResponse} from './responses.js';
import {BodyBudget, readBody} from './body.js';
import {CallerConnections} from './connections.js';
import {AcceptQueue} from './accept_queue.js';
import {OverloadDetector} from './overload.js';
import {createIncomingResponse} from './state.js';
import type {IncomingResponse, PendingRequest} from './types.js';

/** Maximum size of the part of a body that is sent with the dispatch. */
const FIRST_CHUNK_BYTES = 64 * 1024;
const MAX_CHUNK_BYTES = 64 * 1024;
const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
const MAX_TOTAL_BODY_BYTES = 32 * 1024 * 1024;
const MAX_PENDING_REQUESTS = 8192;
const MAX_CONNECTIONS = 16_384;

/** A workspace configuration with its compiled routes. */
export interface CompiledConfiguration {
  readonly workspace: Workspace;
  readonly router: Router;
  readonly tenants: TenantDirectory;
}

/** Dependencies of the front end. */
export interface CallerContext {
  emit(event: Event): void;
  /** Sends a message to a member, which may be this daemon itself. */
  transmit(to: MemberId, message: Message): void;
  log(event: LogEventName, fields: LogFields): void;
  /** Called for each accepted connection. */
  onConnection(): void;
  /** Called each tick with the time by which its timer was late. */
  onLoopLag(lagMs: number): void;
  /** The configuration in force, or null if there was none so far. */
  configuration(): CompiledConfiguration | null;
  /** Why the newest configuration is invalid, or null if it is valid. */
  configurationFault(): string | null;
  /** Whether API keys are accepted; see `acceptsApiKeys` of the core. */
  acceptsApiKeys(): boolean;
  readonly protocol: CallerProtocol;
  /** Flow-control window of one body, in bytes. */
  readonly windowBytes: number;
  /** Interval between calls of `tick`, in milliseconds. */
  readonly tickMs: number;
  /** Prefix that makes the request ids of this process globally unique. */
  readonly idPrefix: string;
}

/** An attempt to send to the member that is to run it. */
export interface OutgoingAttempt {
  readonly attempt: AttemptId;
  readonly request: RequestId;
  readonly to: MemberId;
  readonly budgetMs: number;
  readonly version: Version;
}

/** A request's route and tenant, or why it is rejected before it is read. */
type MatchedRequest =
  | ({readonly kind: 'matched'} & Pick<
      PendingRequest,
      'route' | 'service' | 'slice' | 'headers' | 'tenant'
    >)
  | {readonly kind: 'rejected'; readonly failure: Failure};

/** Serves callers and tracks their requests until each has its response. */
export class CallerFrontend {
  /** The HTTP server; whoever creates this object calls `listen`. */
  readonly server: Server;
  private readonly pending = new Map<RequestId, PendingRequest>();
  private readonly responses = new Map<AttemptId, IncomingResponse>();
  private readonly bodyBudget = new BodyBudget(MAX_TOTAL_BODY_BYTES);
  private readonly responseRelay: ResponseRelay;
  private readonly overloadDetector: OverloadDetector;
  private readonly connections = new CallerConnections(pending =>
    this.handleDisconnect(pending),
  );
  private readonly acceptQueue = new AcceptQueue();
  private connectionCount = 0;
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
    this.responseRelay = new ResponseRelay(
      {
        credit: (to, attempt, bytes) =>
          context.transmit(to, {kind: 'credit', attempt, bytes}),
        delivered: request => this.handleDelivered(request),
        headWriting: outgoing => this.connections.prepareHead(outgoing),
      },
      context.windowBytes / 2,
    );
    this.overloadDetector = new OverloadDetector(context.tickMs);
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
      },
      (incoming, outgoing) => void this.handleRequest(incoming, outgoing),
    );
    this.server.maxConnections = MAX_CONNECTIONS;
    this.server.on('connection', socket => {
      this.connectionCount += 1;
      this.acceptQueue.recordAccept();
      context.onConnection();
      socket.once('close', () => (this.connectionCount -= 1));
    });
  }

  /** @returns The number of open connections. */
  get openConnections(): number {
    return this.connectionCount;
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
    const body = pending.body.subarray(0, FIRST_CHUNK_BYTES);
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

  /** Measures event loop lag and applies the idle timeout; called each tick. */
  tick(): void {
    this.recordLoopLag();
    const idleMs = this.context.configuration()?.workspace.limits.idleMs;
    if (idleMs !== undefined) this.server.keepAliveTimeout = idleMs;
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
      connections: this.connectionCount,
      accepted: this.acceptQueue.acceptedCount,
      requests: this.pending.size,
    };
    if (reason === null) this.context.log('connectionsTaken', fields);
    else this.context.log('connectionsLate', {reason, ...fields});
  }

  private async handleRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    if (!this.connections.addRequest(incoming.socket, outgoing)) return;
    const request = this.nextRequestId(incoming);
    const pending = await this.readRequest(request, incoming, outgoing);
    if (pending === null) return;
    await waitForPendingReads();
    if (incoming.socket.destroyed || outgoing.destroyed) {
      this.bodyBudget.release(pending.body.length);
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

  /** Globally unique; starts with the caller's id of the request, if any. */
  private nextRequestId(incoming: IncomingMessage): RequestId {
    const {protocol, idPrefix} = this.context;
    const name = protocol.requestNameOf(incoming) ?? idPrefix;
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
  ): Promise<PendingRequest | null> {
    const {context} = this;
    const {protocol} = context;
    const callerTimeoutMs = protocol.timeoutMsOf(incoming) ?? Infinity;
    const reject = (failed: Failure) => {
      this.logRejection(request, incoming, failed);
      incoming.resume();
      this.connections.prepareHead(outgoing);
      writeErrorResponse(
        outgoing,
        protocol.answerOf(request, failed, callerTimeoutMs),
      );
      return null;
    };
    const configuration = context.configuration();
    if (configuration === null) {
      const detail = context.configurationFault() ?? 'no configuration yet';
      return reject(failure('no-server', 'not-run', detail));
    }
    const matched = this.matchRequest(incoming, configuration);
    if (matched.kind === 'rejected') return reject(matched.failure);
    const {route, service, slice, headers, tenant} = matched;
    const {scheduling, limits} = configuration.workspace;
    const body = await readBody(incoming, limits.maxBodyBytes, this.bodyBudget);
    if (body.kind === 'aborted') return null;
    if (body.kind === 'rejected') return reject(body.failure);
    const timeoutMs = Math.min(callerTimeoutMs, route.timeoutMs);
    const receivedMs = performance.now();
    if (receivedMs + timeoutMs > this.stopsAtMs) {
      this.bodyBudget.release(body.bytes.length);
      return reject(failure('stopping', 'not-run', 'this daemon stops'));
    }
    return {
      request,
      route,
      service,
      slice,
      timeoutMs,
      receivedMs,
      method: incoming.method ?? '',
      path: incoming.url ?? '',
      headers,
      tenant,
      costClass:
        scheduling === 'cost'
          ? costClassOf(route, body.bytes.length)
          : NO_COST_CLASS,
      idempotencyKey: protocol.idempotencyKeyOf(incoming),
      body: body.bytes,
      addedHeaders: protocol.addedHeaders(request),
      outgoing,
      chosenAttempt: null,
      attempts: new Set(),
    };
  }

  /** Finds the route of a request and the tenant that sent it. */
  private matchRequest(
    incoming: IncomingMessage,
    {router, tenants}: CompiledConfiguration,
  ): MatchedRequest {
    const rejected = (failed: Failure) =>
      ({kind: 'rejected', failure: failed}) as const;
    const {protocol} = this.context;
    const path = incoming.url ?? '';
    const received = protocol.headersOf(incoming);
    const rejection = this.rejectionOf(path, received);
    if (rejection !== null) return rejected(rejection);
    const match = router.match(incoming.method ?? '', path, incoming.headers);
    if (match.kind !== 'matched') {
      return rejected(failure(match.kind, 'not-run', match.detail));
    }
    const {route, service, slice} = match;
    if (!tenants.isUsed) {
      const headers = received;
      return {kind: 'matched', route, service, slice, headers, tenant: null};
    }
    const apiKey = protocol.apiKeyOf(incoming);
    if (apiKey !== null && !this.context.acceptsApiKeys()) {
      const detail = 'the configuration was not confirmed in time';
      return rejected(failure('configuration-stale', 'not-run', detail));
    }
    const authentication = tenants.authenticate(route, apiKey);
    if (authentication.kind === 'unauthenticated') {
      return rejected(
        failure('unauthenticated', 'not-run', 'no tenant holds its API key'),
      );
    }
    const {tenant} = authentication;
    const headers = protocol.headersFor(received, tenant?.name ?? null);
    return {kind: 'matched', route, service, slice, headers, tenant};
  }

  private logRejection(
    request: RequestId,
    {method = '', url = ''}: IncomingMessage,
    {kind: error, detail}: Failure,
  ): void {
    const fields = {request, method, url, error, detail};
    this.context.log('requestRejected', fields);
  }

  /** Why a request is rejected whatever its route is, or null. */
  private rejectionOf(
    path: string,
    headers: readonly Header[],
  ): Failure | null {
    if (this.isOverloaded()) {
      return failure('overloaded', 'not-run', 'too many requests');
    }
    if (isValidPath(path) && areValidHeaders(headers)) return null;
    return failure('bad-request', 'not-run', 'invalid characters');
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
      const bytes = body.subarray(start, start + size);
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
    this.bodyBudget.release(pending.body.length);
    for (const attempt of pending.attempts) this.responses.delete(attempt);
  }
}

/** The urgency of a tenant takes precedence over that of the route. */
function urgencyOf({
  route,
  tenant,
}: {
  route: Route;
  tenant: Tenant | null;
}): number {
  return tenant?.urgency ?? route.urgency;
}

/**
 * Waits until the event loop has read what has arrived by now, so that a
 * request whose caller has already disconnected is dropped. It takes two
 * iterations of the event loop, since the end of a connection is read one
 * iteration after its last bytes.
 */
async function waitForPendingReads(): Promise<void> {
  await setImmediate();
  await setImmediate();
}
