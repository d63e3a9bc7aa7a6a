/**
 * @fileoverview The catalogue of log events. Codes: 1xx membership and leases,
 * 2xx map and coordinator, 3xx routing, 4xx execution and admission, 5xx
 * process, links and platform, 6xx configuration and operators.
 */

/** One kind of log event. */
export interface LogEvent {
  /** Stable number; the number of a removed event isn't used again. */
  readonly code: number;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  /** What it means, in one sentence for operators. */
  readonly text: string;
  /**
   * Rate limiting class of the event: `state` for a state change of the
   * process, never limited; `request` for a step of one request; `failure` for
   * a step that failed; `signal` for a signal that the process received. The
   * last three have separate limits per second.
   */
  readonly flow: 'state' | 'request' | 'failure' | 'signal';
}

/** Every log event by name. */
export const LOG_EVENTS = {
  memberJoined: event(101, 'info', 'This daemon joined the workspace.'),
  memberEnded: event(
    102,
    'info',
    'Members have left the workspace or were evicted.',
  ),
  leaseLost: event(103, 'warn', 'This daemon no longer holds a lease.'),
  leaseHeld: event(104, 'info', 'This daemon holds a lease.'),
  grantorsChanged: event(
    105,
    'info',
    'This daemon renews its lease with other grantors.',
  ),
  memberRejoins: event(
    106,
    'warn',
    'The membership of this daemon ended; it joins under a new id.',
  ),
  coordinatorActs: event(201, 'info', 'This daemon acts as coordinator.'),
  changeCommitted: event(202, 'info', 'A change was committed to the log.'),
  commitRequested: event(
    205,
    'info',
    'Another member was asked to commit a change of this daemon.',
  ),
  commitRequestIgnored: event(
    206,
    'warn',
    'A request to commit a change was ignored: it is invalid or about another member.',
  ),
  drainLate: event(
    203,
    'warn',
    'A moving slice still has requests past its drain time.',
  ),
  snapshotStored: event(204, 'info', 'A snapshot of the map was stored.'),
  storedRowUnreadable: event(
    218,
    'warn',
    "A row or object of the store can't be read; it was written by another writer.",
  ),
  quotaDividerChanged: event(
    219,
    'info',
    'This daemon started or stopped dividing the quotas of tenants.',
  ),
  quotaShareExpired: event(
    220,
    'warn',
    'The member that divides quotas does not answer; the shares have expired.',
  ),
  quotaShareReceived: event(
    221,
    'info',
    'The member that divides quotas answers; this daemon has shares.',
  ),
  configurationInForce: event(601, 'info', 'A configuration is in force.'),
  requestFailed: failed(
    301,
    'A request failed and its caller got an error response.',
  ),
  requestRetried: failed(302, 'Another attempt follows a failed one.'),
  requestHedged: step(303, 'A slow request was also sent to a second server.'),
  attemptInquired: failed(
    304,
    'A link was lost and the state of an attempt is asked for.',
  ),
  attemptSent: step(305, 'An attempt was sent to a daemon.'),
  requestWaits: failed(306, 'A request waits for an owner or a server.'),
  requestAnswered: step(307, 'A caller received its complete response.'),
  requestDropped: failed(
    308,
    'A caller disconnected before its response was complete.',
  ),
  requestRejected: failed(309, 'A request was rejected before routing.'),
  requestNotSent: failed(
    310,
    'A request was rejected at its origin: its server is known to be full.',
  ),
  requestUnread: failed(
    311,
    'A request was not read, and its connection takes no more.',
  ),
  limitFellBack: event(
    401,
    'info',
    'The concurrency limit of the backend server was reset to 1.',
  ),
  limitReached: event(
    402,
    'info',
    'The concurrency limit of the backend server is at its maximum.',
  ),
  serverLeaving: event(403, 'info', 'The backend server accepts no new work.'),
  runsSilent: failed(
    404,
    'A run was aborted: the backend server sent nothing for too long.',
  ),
  leaseLostRun: failed(
    405,
    'A run was aborted: this daemon no longer holds its slice.',
  ),
  serverLost: event(
    407,
    'warn',
    'The backend server has ended or does not announce itself.',
  ),
  lateAttempt: failed(
    406,
    'An attempt that has or may have ended arrived; it is not run.',
  ),
  runStarted: step(411, 'An attempt was sent to the backend server.'),
  runEnded: step(412, 'The backend server responded to an attempt.'),
  attemptFailed: failed(413, 'An attempt failed at this daemon.'),
  attemptQueued: step(414, 'An attempt is queued for the backend server.'),
  processStarted: event(501, 'info', 'The process accepts callers and links.'),
  processLeaving: event(
    502,
    'info',
    'The process has handed over its work and exits.',
  ),
  invariantBroken: event(
    503,
    'error',
    'An invariant is violated; the process exits.',
  ),
  linkLost: event(510, 'warn', 'A link to another daemon was lost.'),
  platformFailed: event(511, 'warn', 'The platform does not respond.'),
  linesDropped: event(516, 'warn', 'Log lines were dropped.'),
  connectionsLate: event(
    517,
    'warn',
    'This daemon takes new connections too late; readiness checks fail.',
  ),
  connectionsTaken: event(
    518,
    'info',
    'This daemon takes new connections in time again.',
  ),
  connectionsClosed: event(
    519,
    'warn',
    "Callers' connections were closed to make room for others.",
  ),
  messageInvalid: event(
    520,
    'warn',
    'A message of another daemon was not passed on, since it is not valid HTTP.',
  ),
  platformAnswers: event(512, 'info', 'The platform responds again.'),
  announcementRefused: event(
    408,
    'warn',
    'An announcement of a backend server is invalid.',
  ),
  announcementTaken: event(
    409,
    'info',
    'The announcement of the backend server changed.',
  ),
  grantFailed: failed(
    410,
    'The backend server did not accept a slice grant or a release.',
  ),
  grantSent: step(
    415,
    'Slices were granted to the backend server under a new generation.',
  ),
  grantConfirmed: step(
    416,
    'The backend server confirmed a grant; it may hold the slices for some time.',
  ),
  releaseSent: step(417, 'The backend server was asked to release slices.'),
  releaseAnswered: step(
    418,
    'The backend server released slices; `kept` of them it may still hold.',
  ),
  holdsExpired: step(
    419,
    'Unconfirmed grants expired; their slices no longer count as held.',
  ),
  holdsCleared: event(
    420,
    'info',
    'The backend server has ended, and with it its holds of slices.',
  ),
  unprovenReleased: step(
    421,
    'The backend server was asked to release slices of other members, since it did not respond to their grants.',
  ),
  sourceFailed: event(
    513,
    'warn',
    'The configuration source does not respond.',
  ),
  sourceAnswers: event(514, 'info', 'The configuration source responds again.'),
  sourceRoleChanged: event(
    603,
    'info',
    'This daemon started or stopped watching the configuration source.',
  ),
  settingsRead: received(
    515,
    'The settings were read again; a change applies after a restart.',
  ),
  signalReceived: received(521, 'The process received a signal.'),
  storeRestored: event(
    422,
    'warn',
    'The store was restored to an older copy; entries are compared with its log.',
  ),
  entriesPutBack: event(
    423,
    'warn',
    'Entries that a restored store had lost were written back.',
  ),
  logContradicts: event(
    424,
    'error',
    "The log of a restored store contradicts this member's entries; it joins again.",
  ),
  restoreSettled: event(
    425,
    'info',
    'Entries are appended again after a restore of the store.',
  ),
  sourceRestored: event(
    604,
    'warn',
    'The configuration source was restored to an older copy; what was in force stays in force.',
  ),
  configurationRefused: event(
    602,
    'warn',
    'A configuration is invalid; the last valid one is kept.',
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

function received(code: number, text: string): LogEvent {
  return {code, level: 'info', text, flow: 'signal'};
}
