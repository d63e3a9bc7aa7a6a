/**
 * @fileoverview Catching up with the replicated log: from the snapshot and the
 * log rows in the store, and from other members.
 */

import type {MemberId, Version} from '../ids/types.js';
import {
  parseLoggedEntry,
  parseLogRow,
  toLoggedEntry,
  nextVersion,
} from '../log/logic.js';
import type {CommittedEntry} from '../log/types.js';
import type {ControlMessage, LoggedEntry} from '../messages/types.js';
import {callStore, log, send} from '../ownership/effects.js';
import type {OwnershipContext, OwnershipState} from '../ownership/state.js';
import {currentRing} from '../ownership/state.js';
import {NO_ERA} from '../restore/era.js';
import {acceptsFromPeer} from '../restore/logic.js';
import type {StoreReply} from '../store/types.js';

/**
 * Base of the exponential backoff after failed reads; with jitter, the first
 * delay is 200 to 400 ms.
 */
const RETRY_BASE_DELAY_MS = 200;
/**
 * Maximum length of an entry that is pushed to peers. Of longer ones they learn
 * the version only, and pull the entry if they lack it.
 */
const MAX_PUSHED_CHARACTERS = 512;
/** Time in which pushed entries arrive, in milliseconds. */
const PUSH_WAIT_MS = 300;
/** Maximum length of the entries of one message; a single one may exceed it. */
const MAX_BATCH_CHARACTERS = 200_000;

/**
 * Reads from the store if a read was requested, or if nothing has confirmed for
 * `pollMs` that the map is up to date. Loads the snapshot first if needed.
 *
 * @param context - Context of the current input.
 */
export function readLogIfDue(context: OwnershipContext): void {
  const {state, at} = context;
  const {logReader} = state;
  if (logReader.inFlight || at.monotonic < logReader.notBefore) return;
  const isDue = isPollDue(context) || lacksHeardEntries(context);
  if (!logReader.readNeeded && !isDue) return;
  logReader.readNeeded = false;
  logReader.inFlight = true;
  logReader.lastReadSentAt = at.monotonic;
  if (logReader.needsSnapshot) {
    const key = state.keys.snapshot;
    const query = {kind: 'row', key} as const;
    callStore(context, {kind: 'loadPointer'}, {kind: 'read', query});
    return;
  }
  readTail(context);
}

/**
 * Applies a batch of log rows read from the store. A gap after the map's
 * version means that the rows between were trimmed; the snapshot covers them.
 *
 * @param context - Context of the current input.
 * @param reply - The store's reply.
 * @param apply - Applies an entry if it is the next one.
 */
export function handleTailReply(
  context: OwnershipContext,
  reply: StoreReply,
  apply: (committed: CommittedEntry) => void,
): void {
  const {state, at} = context;
  const {logReader} = state;
  logReader.inFlight = false;
  if (reply.kind !== 'rows') {
    scheduleReadRetry(context);
    return;
  }
  logReader.failures = 0;
  for (const row of reply.rows) {
    const committed = parseLogRow(row);
    if (committed === null) {
      log(context, 'storedRowUnreadable', {key: row.key});
      continue;
    }
    if (committed.entry.version > nextVersion(state.map.version)) {
      logReader.needsSnapshot = true;
      logReader.readNeeded = true;
      return;
    }
    apply(committed);
  }
  if (reply.rows.length >= state.settings.tuning.log.batchEntries) {
    logReader.readNeeded = true;
    return;
  }
  logReader.caughtUp = true;
  // A store that was restored may have lost entries whose versions peers name.
  if (state.restore.era !== NO_ERA) logReader.heardVersion = 0;
  logReader.upToDateAt = at.monotonic;
  state.runTasksNow = true;
}

/**
 * Schedules another read, with backoff, after one that failed. The maximum
 * delay is half of `maxBackoffMs`.
 *
 * @param context - Context of the current input.
 */
export function scheduleReadRetry(context: OwnershipContext): void {
  const {state, at} = context;
  const {logReader} = state;
  logReader.inFlight = false;
  logReader.readNeeded = true;
  logReader.failures += 1;
  const doublings = Math.min(logReader.failures, 5);
  const maxDelayMs = state.settings.tuning.store.maxBackoffMs / 2;
  const waitMs = Math.min(maxDelayMs, RETRY_BASE_DELAY_MS * 2 ** doublings);
  logReader.notBefore = at.monotonic + waitMs * (0.5 + context.random() / 2);
}

/**
 * Sends a peer the entries that follow its version.
 *
 * @param context - Context of the current input.
 * @param from - The peer.
 * @param after - Log version of the peer's map.
 */
export function handlePull(
  context: OwnershipContext,
  from: MemberId,
  after: Version,
): void {
  const {state} = context;
  send(context, from, {
    kind: 'entries',
    entries: entriesAfter(state, after),
    version: state.map.version,
  });
}

/**
 * Applies entries from a peer. If the peer is still ahead afterwards, requests
 * more from it. If the peer sent none, it no longer keeps the entries that
 * follow this daemon's version, and the store is read instead.
 *
 * @param context - Context of the current input.
 * @param from - The peer.
 * @param message - Its entries.
 * @param apply - Applies an entry if it is the next one.
 */
export function handleEntries(
  context: OwnershipContext,
  from: MemberId,
  message: Extract<ControlMessage, {kind: 'entries'}>,
  apply: (committed: CommittedEntry) => void,
): void {
  const {state} = context;
  for (const logged of message.entries) {
    if (logged.version !== nextVersion(state.map.version)) continue;
    const committed = parseLoggedEntry(logged);
    if (!acceptsFromPeer(context, committed.entry)) {
      state.logReader.readNeeded = true;
      return;
    }
    apply(committed);
  }
  if (message.version <= state.map.version) {
    state.logReader.upToDateAt = context.at.monotonic;
    return;
  }
  if (message.entries.length === 0) state.logReader.readNeeded = true;
  else requestEntries(context, from);
}

/**
 * Requests entries from a peer whose log version is ahead. If the peer is not a
 * member according to the map, reads the store instead.
 *
 * @param context - Context of the current input.
 * @param from - The peer.
 * @param version - Log version of the peer's map.
 */
export function handlePeerVersion(
  context: OwnershipContext,
  from: MemberId,
  version: Version,
): void {
  const {state, at} = context;
  if (version <= state.map.version) {
    state.logReader.upToDateAt = at.monotonic;
    return;
  }
  if (state.map.members.has(from)) requestEntries(context, from);
  else recordUnknownPeer(context, version);
}

/**
 * Records the version of a peer whose address isn't known. Its entries are
 * usually pushed by others before `PUSH_WAIT_MS` have passed.
 */
function recordUnknownPeer(
  {state, at}: OwnershipContext,
  version: Version,
): void {
  const {logReader} = state;
  if (logReader.heardVersion <= state.map.version) {
    logReader.heardAt = at.monotonic;
  }
  logReader.heardVersion = Math.max(logReader.heardVersion, version);
}

/**
 * Pushes a newly applied entry to the members at distances 1, 2, 4 and so on in
 * the ring, each of which does the same, so that it reaches all members in a
 * few hops. For a long entry, a `pull` tells them the version only; those that
 * lack the entry request it.
 *
 * @param context - Context of the current input.
 * @param committed - The entry.
 */
export function pushEntry(
  context: OwnershipContext,
  committed: CommittedEntry,
): void {
  const {state} = context;
  const {version} = state.map;
  const logged = toLoggedEntry(committed);
  const message: ControlMessage =
    logged.text.length <= MAX_PUSHED_CHARACTERS
      ? {kind: 'entries', entries: [logged], version}
      : {kind: 'pull', after: version};
  for (const neighbour of neighboursOf(context)) {
    send(context, neighbour, message);
  }
}

/**
 * Keeps an applied entry for members that request it. The list is trimmed to
 * `keptEntries` only when it is twice as long, which amortizes the cost.
 *
 * @param state - The ownership state.
 * @param committed - The entry.
 */
export function retainEntry(
  state: OwnershipState,
  committed: CommittedEntry,
): void {
  state.recentEntries.push(committed);
  const maxEntries = state.settings.tuning.log.keptEntries;
  if (state.recentEntries.length > 2 * maxEntries) {
    state.recentEntries = state.recentEntries.slice(-maxEntries);
  }
}

/**
 * Lists the members to which news are pushed.
 *
 * @param context - Context of the current input.
 * @returns The members at distances 1, 2, 4 and so on in the ring.
 */
export function neighboursOf(context: OwnershipContext): MemberId[] {
  const {state} = context;
  const order = currentRing(state).order;
  const position = currentRing(state).position.get(state.self);
  if (position === undefined) return [];
  const neighbours: MemberId[] = [];
  for (let distance = 1; distance < order.length; distance *= 2) {
    neighbours.push(order[(position + distance) % order.length]);
  }
  return neighbours;
}

/** Returns no entries if the next one is no longer kept. */
function entriesAfter(state: OwnershipState, after: Version): LoggedEntry[] {
  const first = state.recentEntries[0];
  if (first === undefined || first.entry.version > after + 1) return [];
  const start = after + 1 - first.entry.version;
  const limit = state.settings.tuning.log.batchEntries;
  const entries: LoggedEntry[] = [];
  let characters = 0;
  for (const committed of state.recentEntries.slice(start, start + limit)) {
    const logged = toLoggedEntry(committed);
    characters += logged.text.length;
    if (entries.length > 0 && characters > MAX_BATCH_CHARACTERS) break;
    entries.push(logged);
  }
  return entries;
}

function requestEntries(context: OwnershipContext, from: MemberId): void {
  send(context, from, {kind: 'pull', after: context.state.map.version});
}

function readTail(context: OwnershipContext): void {
  const {state} = context;
  const {keys, map, settings} = state;
  callStore(
    context,
    {kind: 'tail'},
    {
      kind: 'read',
      query: {
        kind: 'range',
        from: keys.log(nextVersion(map.version)),
        to: keys.logEnd,
        limit: settings.tuning.log.batchEntries,
      },
    },
  );
}

/** Returns whether entries that an unknown peer has were not pushed in time. */
function lacksHeardEntries({state, at}: OwnershipContext): boolean {
  const {heardVersion, heardAt} = state.logReader;
  if (heardVersion <= state.map.version) return false;
  return at.monotonic - heardAt > PUSH_WAIT_MS;
}

/** Returns whether nothing confirmed the map as up to date for `pollMs`. */
function isPollDue(context: OwnershipContext): boolean {
  const {state, at} = context;
  const {pollMs} = state.settings.tuning.log;
  return at.monotonic - state.logReader.upToDateAt > pollMs;
}
