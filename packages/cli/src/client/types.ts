/** @fileoverview The client's way to the daemons. */

import type {
  AuditPage,
  AcceptedChange,
  Command,
  CommandResult,
  MapView,
  Progress,
  Status,
} from '@jackdawfall/core';

/** Commands that change something. */
export type Change = Extract<
  Command,
  {kind: 'apply' | 'zone' | 'stopServer' | 'endMember'}
>;

/** A result whose body was read. */
export type Reply<T> =
  | {readonly kind: 'ok'; readonly value: T}
  | Exclude<CommandResult, {kind: 'ok'}>;

/** Talks to the daemons of one workspace. */
export interface Client {
  /**
   * Asks the daemons in turn.
   *
   * @param timeoutMs - Longest wait for each; left out, that of the settings.
   */
  status(timeoutMs?: number): Promise<Reply<Status>>;
  /**
   * Asks one daemon only.
   *
   * @param daemon - Its operators port as `ip:port`.
   * @param timeoutMs - Longest wait for its answer, in milliseconds.
   */
  progressOf(daemon: string, timeoutMs: number): Promise<Reply<Progress>>;
  map(service: string): Promise<Reply<MapView>>;
  audit(limit: number): Promise<Reply<AuditPage>>;
  change(command: Change): Promise<Reply<AcceptedChange>>;
}

/** How the client reaches the daemons. */
export interface ClientSettings {
  /** Operators ports as `ip:port`, tried in this order. */
  readonly daemons: readonly string[];
  /** Longest wait for a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /**
   * Longest wait for one answer, in milliseconds; after this time no further
   * daemon is asked either.
   */
  readonly timeoutMs: number;
  /** Ends whatever is under way. */
  readonly signal: AbortSignal;
}
