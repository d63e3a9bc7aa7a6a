/**
 * @fileoverview The catalogue of numbered log events. Numbers: 1xx membership
 * and leases, 2xx map and coordinator, 3xx routing, 4xx execution and
 * admission, 5xx process, links and platform, 6xx configuration and operators.
 */

/** One kind of log event. */
export interface LogEvent {
  /** Stable number, never used for another event. */
  readonly code: number;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  /** What it means, in one sentence. */
  readonly text: string;
}

/** Every log event by name. */
export const LOGS = {
  memberJoined: event(101, 'info', 'This daemon joined the workspace.'),
  processStarted: event(501, 'info', 'The process accepts callers and links.'),
  processLeaving: event(502, 'info', 'The process has handed over and leaves.'),
  invariantBroken: event(503, 'error', 'An invariant broke; the process ends.'),
  linkLost: event(510, 'warn', 'A link to another daemon was lost.'),
  platformFailed: event(511, 'warn', 'A call to the platform got no reply.'),
} as const;

/** Name of a log event. */
export type LogName = keyof typeof LOGS;

function event(code: number, level: LogEvent['level'], text: string): LogEvent {
  return {code, level, text};
}
