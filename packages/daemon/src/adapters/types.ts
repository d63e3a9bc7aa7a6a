/**
 * @fileoverview Interfaces between the daemon and its environment (ports and
 * adapters). The built-in adapters speak the product's own HTTP interface; a
 * deployment on another platform supplies its own adapters.
 */

import type {ClientRequest, IncomingMessage, RequestOptions} from 'node:http';

import type {
  Announcement,
  Command,
  CommandResult,
  Dispatch,
  Effect,
  Event,
  Failure,
  Header,
  InstanceId,
  SliceGrant,
  LogEventName,
  RequestId,
  ServerLimits,
  ServiceName,
  StoreCall,
  StoreReply,
  TenantName,
} from '@jackdawfall/core';

import type {LogFields} from '../logs/types.js';

/** Durable storage: rows with conditional transactions, and objects. */
export interface Store {
  /**
   * Makes one call, without retries.
   *
   * @param call - The call.
   * @param timeoutMs - Time to wait for the reply, in milliseconds.
   * @returns The reply; `unknown` if a write may have taken effect.
   */
  call(call: StoreCall, timeoutMs: number): Promise<StoreReply>;
}

/** A response that the daemon sends itself when a request fails. */
export interface ErrorResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Translates between the HTTP interface for callers and the daemon. */
export interface CallerProtocol {
  /** Headers that are forwarded with the request to the backend server. */
  headersOf(incoming: IncomingMessage): Header[];
  /** The API key that the request carries, or null if it carries none. */
  apiKeyOf(incoming: IncomingMessage): string | null;
  /**
   * Replaces the API key and any tenant that the caller names by the tenant that
   * holds the key. Used only in workspaces that have tenants.
   *
   * @param headers - Headers of the request.
   * @param tenant - The tenant, or null if the request carries no valid key.
   * @returns The headers to forward.
   */
  headersFor(
    headers: readonly Header[],
    tenant: TenantName | null,
  ): readonly Header[];
  /** The timeout that the caller states, in milliseconds, or null if none. */
  timeoutMsOf(incoming: IncomingMessage): number | null;
  /**
   * The caller's id of the request, or null if it states none. The daemon's own
   * id of the request, which log lines show, starts with it.
   */
  requestNameOf(incoming: IncomingMessage): string | null;
  /** The key that identifies repetitions of the same request, or null. */
  idempotencyKeyOf(incoming: IncomingMessage): string | null;
  /**
   * Renders a failure as a response.
   *
   * @param request - Id of the request.
   * @param failure - What went wrong and whether the request ran.
   * @param remainingMs - Time until the request's deadline, in milliseconds.
   */
  answerOf(
    request: RequestId,
    failure: Failure,
    remainingMs: number,
  ): ErrorResponse;
  /** Headers added to the response of a backend server. */
  addedHeaders(request: RequestId): Readonly<Record<string, string>>;
}

/** Classification of a backend server's response by status and headers. */
export type ResponseVerdict =
  /**
   * The server's response to the request, whatever its status, to be relayed to
   * the caller. Answer and response mean the same.
   */
  | 'answer'
  /** The server refused the request and did not run it. */
  | 'refused'
  /** The response belongs to another request; the connection is unusable. */
  | 'foreign';

/** Starts HTTP requests to the local backend server. */
export interface ServerConnections {
  /** Uses a kept connection if there is an idle one. */
  open(options: RequestOptions): ClientRequest;
  /** Uses a kept connection that no attempts use, if there is an idle one. */
  openCall(options: RequestOptions): ClientRequest;
  /** Uses a connection of its own, which no other request shares. */
  openUnshared(options: RequestOptions): ClientRequest;
  /** Number of times that the process has announced itself. */
  readonly announcements: number;
  /**
   * Whether the open connection of a request leads to the process that announced
   * itself, and not to a successor at its address.
   */
  reachesProcess(outgoing: ClientRequest): boolean;
}

/**
 * What is known of a slice grant. `unconfirmed`: it was written and may take
 * effect; `not-written`: it can't.
 */
export type GrantOutcome = 'confirmed' | 'unconfirmed' | 'not-written';

type EffectOf<Kind> = Extract<Effect, {readonly kind: Kind}>;

/** HTTP protocol between the daemon and the local backend server. */
export interface ServerProtocol {
  /** Headers of an attempt's request to the server. */
  headersOf(
    dispatch: Dispatch,
    run: EffectOf<'run'>,
    server: Announcement,
  ): Record<string, string | string[]>;
  /**
   * Classifies a response.
   *
   * @param dispatch - The attempt that a response is expected for.
   * @param incoming - The response.
   * @param reused - Whether the connection carried other requests before, so
   *     that the response may be a late copy of an earlier one.
   * @returns What the response says about the attempt.
   */
  classifyResponse(
    dispatch: Dispatch,
    incoming: IncomingMessage,
    reused: boolean,
  ): ResponseVerdict;
  /**
   * Sends the server its slice grants.
   *
   * @param server - Connections to the server.
   * @param effect - The grants and the end of the lease that backs them.
   * @param report - Called once for each grant, with what became of it.
   */
  grant(
    server: ServerConnections,
    effect: EffectOf<'grantSlices'>,
    report: (grant: SliceGrant, outcome: GrantOutcome) => void,
  ): void;
  /**
   * Asks the server to release slices.
   *
   * @param server - Connections to the server.
   * @param effect - The grants to release.
   * @param released - Called for each released grant, with the token that the
   *     server passes to the next owner of the slices, or null for none.
   */
  release(
    server: ServerConnections,
    effect: EffectOf<'releaseSlices'>,
    released: (grant: SliceGrant, handover: string | null) => void,
  ): void;
}

/** The operations of a running daemon that its adapters use. */
export interface DaemonPort {
  emit(event: Event): void;
  announce(announcement: Announcement): void;
  command(command: Command): Promise<CommandResult>;
  log(event: LogEventName, fields: LogFields): void;
  /** Why the daemon doesn't accept requests, or null if it does. */
  unreadyReason(): string | null;
  /** Whether the daemon has a configuration in force. */
  isConfigured(): boolean;
  /**
   * Time until the daemon is to watch the external source of configuration,
   * unless others do, in milliseconds; 0 if it is to watch now.
   */
  sourceWatchDelayMs(): number;
  /**
   * Limits of the backend servers of a service, or null if the configuration
   * in force has none.
   */
  serverLimits(service: ServiceName): ServerLimits | null;
  /** The last server on this host that was registered as shutting down. */
  departedServer(): InstanceId | null;
  renderMetrics(): string;
  renderStatus(): unknown;
}

/** All adapters of a daemon. Links to other daemons are not behind adapters. */
export interface Adapters {
  readonly store: Store;
  readonly callers: CallerProtocol;
  readonly servers: ServerProtocol;
  /**
   * Starts the adapters that call the daemon, such as servers for
   * announcements and readiness checks, or a source of configuration.
   *
   * @param daemon - The running daemon.
   * @param signal - Stops these adapters.
   */
  start(daemon: DaemonPort, signal: AbortSignal): Promise<void>;
}
