/** @fileoverview The client that sends commands to daemons. */

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
export type ChangeCommand = Extract<
  Command,
  {kind: 'apply' | 'zone' | 'stopServer' | 'endMember'}
>;

/** The result of a command, with its body parsed. */
export type CommandReply<T> =
  | {readonly kind: 'ok'; readonly value: T}
  | Exclude<CommandResult, {kind: 'ok'}>;

/** Sends commands to the daemons of one workspace. */
export interface Client {
  /**
   * Reads the status from the first daemon it reaches.
   *
   * @param timeoutMs - Maximum wait for each daemon, in milliseconds; that of
   * the settings by default.
   */
  status(timeoutMs?: number): Promise<CommandReply<Status>>;
  /**
   * Reads from one daemon which versions it has applied.
   *
   * @param daemon - Address of its operators port, as `ip:port`.
   * @param timeoutMs - Maximum wait for its response, in milliseconds.
   */
  progressOf(
    daemon: string,
    timeoutMs: number,
  ): Promise<CommandReply<Progress>>;
  /** Reads the placement of a service. */
  map(service: string): Promise<CommandReply<MapView>>;
  /** Reads the newest entries of the audit trail. */
  audit(limit: number): Promise<CommandReply<AuditPage>>;
  /** Sends a command that changes something. */
  change(command: ChangeCommand): Promise<CommandReply<AcceptedChange>>;
}

/** How the client reaches the daemons. */
export interface ClientSettings {
  /** Addresses of operators ports, as `ip:port`, tried in this order. */
  readonly daemons: readonly string[];
  /** Maximum wait for a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /**
   * Maximum wait for one response, in milliseconds; no further daemon is tried
   * after this time either.
   */
  readonly timeoutMs: number;
  /** Aborts requests in flight. */
  readonly signal: AbortSignal;
}
