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
  memberEnded: event(102, 'info', 'A member was ended.'),
  leaseLost: event(103, 'warn', 'This daemon holds no lease any more.'),
  leaseHeld: event(104, 'info', 'This daemon holds a lease.'),
  grantorsChanged: event(105, 'info', 'This daemon changed its grantors.'),
  memberRejoins: event(106, 'warn', 'This daemon was ended and joins anew.'),
  coordinatorActs: event(201, 'info', 'This daemon acts as coordinator.'),
  changeCommitted: event(202, 'info', 'A change was committed to the log.'),
  drainLate: event(203, 'warn', 'A moving slice has work past its bound.'),
  snapshotStored: event(204, 'info', 'A snapshot of the map was stored.'),
  storeFailing: event(504, 'warn', 'A call to the platform failed.'),
  configurationInForce: event(601, 'info', 'A configuration is in force.'),
  processStarted: event(501, 'info', 'The process accepts callers and links.'),
  processLeaving: event(502, 'info', 'The process has handed over and leaves.'),
  invariantBroken: event(503, 'error', 'An invariant broke; the process ends.'),
} as const;

/** Name of a log event. */
export type LogName = keyof typeof LOGS;

function event(code: number, level: LogEvent['level'], text: string): LogEvent {
  return {code, level, text};
}
