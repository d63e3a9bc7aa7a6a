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
  requestFailed: event(301, 'debug', 'A caller was answered with an error.'),
  requestRetried: event(302, 'debug', 'Another attempt was made.'),
  requestHedged: event(
    303,
    'debug',
    'A slow lookup was sent to a second server.',
  ),
  attemptInquired: event(304, 'info', 'A lost link left an attempt open.'),
  limitFellBack: event(401, 'info', 'The limit of the backend server is 1.'),
  limitReached: event(402, 'info', 'The backend server takes its full load.'),
  serverLeaving: event(403, 'info', 'The backend server takes no new work.'),
  runsSilent: event(404, 'warn', 'A silent run was aborted.'),
  leaseLostRun: event(405, 'warn', 'A run was aborted: its slice is not held.'),
  lateAttempt: event(406, 'info', 'A late attempt was refused.'),
  processStarted: event(501, 'info', 'The process accepts callers and links.'),
  processLeaving: event(502, 'info', 'The process has handed over and leaves.'),
  invariantBroken: event(503, 'error', 'An invariant broke; the process ends.'),
} as const;

/** Name of a log event. */
export type LogName = keyof typeof LOGS;

function event(code: number, level: LogEvent['level'], text: string): LogEvent {
  return {code, level, text};
}
