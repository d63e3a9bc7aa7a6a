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
  /**
   * What it is written for: `state` for a change of what the process knows;
   * `request` for a step of one request, of which a bounded number a second is
   * written; `failure` for a step that went wrong, bounded apart.
   */
  readonly flow: 'state' | 'request' | 'failure';
}

/** Every log event by name. */
export const LOG_EVENTS = {
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
  configurationInForce: event(601, 'info', 'A configuration is in force.'),
  requestFailed: failed(301, 'A caller was answered with an error.'),
  requestRetried: failed(302, 'Another attempt follows one that failed.'),
  requestHedged: step(303, 'A slow lookup was sent to a second server.'),
  attemptInquired: failed(304, 'A lost link left an attempt open.'),
  attemptSent: step(305, 'A request was sent to a daemon as an attempt.'),
  requestWaits: failed(306, 'A request waits for an owner or a server.'),
  requestAnswered: step(307, 'A caller has the whole answer of a server.'),
  requestDropped: failed(308, 'A caller hung up before its answer.'),
  requestRejected: failed(309, 'A request was refused before it was placed.'),
  limitFellBack: event(401, 'info', 'The limit of the backend server is 1.'),
  limitReached: event(402, 'info', 'The backend server takes its full load.'),
  serverLeaving: event(403, 'info', 'The backend server takes no new work.'),
  runsSilent: failed(404, 'A silent run was aborted.'),
  leaseLostRun: failed(405, 'A run was aborted: its slice is not held.'),
  serverLost: event(407, 'warn', 'The backend server is gone or silent.'),
  lateAttempt: failed(406, 'A late attempt was refused.'),
  runStarted: step(411, 'An attempt was given to the backend server.'),
  runEnded: step(412, 'The backend server answered an attempt.'),
  attemptFailed: failed(413, 'An attempt ended here without an answer.'),
  attemptQueued: step(414, 'An attempt waits for a slot.'),
  processStarted: event(501, 'info', 'The process accepts callers and links.'),
  processLeaving: event(502, 'info', 'The process has handed over and leaves.'),
  invariantBroken: event(503, 'error', 'An invariant broke; the process ends.'),
  linkLost: event(510, 'warn', 'A link to another daemon was lost.'),
  platformFailed: event(511, 'warn', 'The platform does not answer.'),
  linesDropped: event(516, 'warn', 'Log lines were left out for volume.'),
  platformAnswers: event(512, 'info', 'The platform answers again.'),
  announcementRefused: event(
    408,
    'warn',
    'An announcement of a backend server was not understood.',
  ),
  announcementTaken: event(
    409,
    'info',
    'The backend server changed what it announces.',
  ),
  grantFailed: event(410, 'warn', 'The backend server did not take a grant.'),
  sourceFailed: event(
    513,
    'warn',
    'The source of the configuration does not answer.',
  ),
  sourceAnswers: event(
    514,
    'info',
    'The source of the configuration answers again.',
  ),
  settingsRead: event(515, 'info', 'The settings were read again.'),
  configurationRefused: event(
    602,
    'warn',
    'A configuration was not understood; the last good one stays.',
  ),
} as const;

/** Name of a log event. */
export type LogEventName = keyof typeof LOG_EVENTS;

function event(code: number, level: LogEvent['level'], text: string): LogEvent {
  return {code, level, text, flow: 'state'};
}

function step(code: number, text: string): LogEvent {
  return {code, level: 'info', text, flow: 'request'};
}

function failed(code: number, text: string): LogEvent {
  return {code, level: 'info', text, flow: 'failure'};
}
