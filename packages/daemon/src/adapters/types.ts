/**
 * @fileoverview The outside of a daemon as its process uses it. The product's
 * own edges speak its own interface; another deployment may bring its own.
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
  SliceGrant,
  LogEventName,
  RequestId,
  StoreCall,
  StoreReply,
} from '@jackdawfall/core';

import type {LogFields} from '../logs/types.js';

/** The service that keeps what must last. */
export interface Store {
  /**
   * Makes a call, once.
   *
   * @param call - The call.
   * @param timeoutMs - Time after which it counts as unanswered.
   * @returns The reply; `unknown` if a write may have taken effect.
   */
  call(call: StoreCall, timeoutMs: number): Promise<StoreReply>;
}

/** An answer that the daemon gives in place of a backend server. */
export interface ErrorResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** How callers' requests are read and answered. */
export interface CallerProtocol {
  /** Headers that travel with the request to the backend server. */
  headersOf(incoming: IncomingMessage): Header[];
  /** Time the caller will wait, in milliseconds, or null if it doesn't say. */
  timeoutMsOf(incoming: IncomingMessage): number | null;
  /** The caller's own name of the request, for logs, or null. */
  requestNameOf(incoming: IncomingMessage): string | null;
  /** The caller's name for a request that it may repeat, or null. */
  idempotencyKeyOf(incoming: IncomingMessage): string | null;
  /**
   * Renders a failure.
   *
   * @param request - The request, as this system names it.
   * @param failure - What went wrong and whether the request ran.
   * @param leftMs - Time the caller still waits, in milliseconds.
   */
  answerOf(request: RequestId, failure: Failure, leftMs: number): ErrorResponse;
  /** Headers added to a backend server's answer. */
  addedHeaders(request: RequestId): Readonly<Record<string, string>>;
}

/** What the head of a backend server's answer means. */
export type ResponseVerdict =
  | 'answer'
  /** The server did not run the request. */
  | 'refused'
  /** The bytes belong to another request; the connection is unusable. */
  | 'foreign';

/** Opens exchanges with the backend server beside the daemon. */
export interface ServerConnections {
  open(options: RequestOptions): ClientRequest;
}

type Effects<Kind> = Extract<Effect, {readonly kind: Kind}>;

/** How the backend server beside the daemon is spoken to. */
export interface ServerProtocol {
  /** Headers of an attempt. */
  headersOf(
    dispatch: Dispatch,
    run: Effects<'run'>,
    server: Announcement,
  ): Record<string, string | string[]>;
  classifyResponse(
    dispatch: Dispatch,
    incoming: IncomingMessage,
  ): ResponseVerdict;
  /** Tells the server what it holds and reports what it confirms. */
  grant(
    server: ServerConnections,
    effect: Effects<'grant'>,
    confirmed: (grant: SliceGrant) => void,
  ): void;
  /** Asks the server to give slices back and reports what it confirms. */
  release(
    server: ServerConnections,
    effect: Effects<'releaseKeys'>,
    released: (grant: SliceGrant, handover: string | null) => void,
  ): void;
}

/** What a running daemon offers to the edges attached to it. */
export interface DaemonPort {
  emit(event: Event): void;
  announce(announcement: Announcement): void;
  command(command: Command): Promise<CommandResult>;
  log(event: LogEventName, fields: LogFields): void;
  /** Why this daemon takes no requests, or null when it does. */
  obstacle(): string | null;
  /** Whether a configuration is in force here. */
  isConfigured(): boolean;
  renderMetrics(): string;
  renderStatus(): unknown;
}

/** Everything outside of a daemon but its links. */
export interface Adapters {
  readonly store: Store;
  readonly callers: CallerProtocol;
  readonly servers: ServerProtocol;
  /**
   * Starts whatever else belongs to the deployment: announcements, readiness,
   * a source of configuration.
   *
   * @param daemon - The running daemon.
   * @param signal - Ends it all.
   */
  attach(daemon: DaemonPort, signal: AbortSignal): Promise<void>;
}
