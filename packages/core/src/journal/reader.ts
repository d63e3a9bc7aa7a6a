/** @fileoverview Catching up: from the snapshot, the table and other members. */

import type {MemberId, Version} from '../ids/types.js';
import {parseLoggedEntry, parseLogRow, toLoggedEntry, nextVersion} from '../log/logic.js';
import type {CommittedEntry} from '../log/types.js';
import type {ControlMessage, LoggedEntry} from '../messages/types.js';
import {callStore, send} from '../ownership/effects.js';
import type {OwnershipContext, OwnershipState} from '../ownership/state.js';
import {currentRing} from '../ownership/state.js';
import type {StoreReply} from '../store/types.js';

/** Least wait after a failed read. */
const RETRY_MS = 200;
/** Longest entry that is pushed without being asked for. */
const PUSHED_CHARACTERS = 512;
/** Most characters of entries in one message, unless one is longer. */
const SENT_CHARACTERS = 200_000;

/**
 * Reads the platform when no peer can help.
 *
 * @param context - The step.
 */
export function readLogIfDue(context: OwnershipContext): void {
  const {state, at} = context;
  const {logReader: sync} = state;
  if (sync.inFlight || at.monotonic < sync.notBefore) return;
  if (!sync.readNeeded && !isStale(context)) return;
  sync.readNeeded = false;
  sync.inFlight = true;
  sync.lastReadSentAt = at.monotonic;
  if (sync.needsSnapshot) {
    const key = state.keys.snapshot;
    const query = {kind: 'row', key} as const;
    callStore(context, {kind: 'loadPointer'}, {kind: 'read', query});
    return;
  }
  readTail(context);
}

/**
 * Takes a part of the log read from the table.
 *
 * @param context - The step.
 * @param answer - The platform's reply.
 * @param apply - Applies the next entry.
 */
export function handleTailReply(
  context: OwnershipContext,
  answer: StoreReply,
  apply: (committed: CommittedEntry) => void,
): void {
  const {state, at} = context;
  const {logReader: sync} = state;
  sync.inFlight = false;
  if (answer.kind !== 'rows') {
    scheduleReadRetry(context);
    return;
  }
  sync.failures = 0;
  for (const row of answer.rows) {
    const committed = parseLogRow(row);
    if (committed.entry.version > nextVersion(state.map.version)) {
      sync.needsSnapshot = true;
      sync.readNeeded = true;
      return;
    }
    apply(committed);
  }
  if (answer.rows.length >= state.settings.tuning.log.batchEntries) {
    sync.readNeeded = true;
    return;
  }
  sync.caughtUp = true;
  sync.upToDateAt = at.monotonic;
  state.dirty = true;
}

/**
 * Notes that a read failed and plans the next.
 *
 * @param context - The step.
 */
export function scheduleReadRetry(context: OwnershipContext): void {
  const {state, at} = context;
  const {logReader: sync} = state;
  sync.inFlight = false;
  sync.readNeeded = true;
  sync.failures += 1;
  const doublings = Math.min(sync.failures, 5);
  const mostMs = state.settings.tuning.store.maxBackoffMs / 2;
  const waitMs = Math.min(mostMs, RETRY_MS * 2 ** doublings);
  sync.notBefore = at.monotonic + waitMs * (0.5 + context.random() / 2);
}

/**
 * Answers a peer that asks for entries.
 *
 * @param context - The step.
 * @param from - The peer.
 * @param after - The peer's version.
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
 * Takes entries from a peer.
 *
 * @param context - The step.
 * @param from - The peer.
 * @param message - Its entries.
 * @param apply - Applies the next entry.
 */
export function handleEntries(
  context: OwnershipContext,
  from: MemberId,
  message: Extract<ControlMessage, {kind: 'entries'}>,
  apply: (committed: CommittedEntry) => void,
): void {
  const {state} = context;
  const before = state.map.version;
  for (const logged of message.entries) {
    if (logged.version !== nextVersion(state.map.version)) continue;
    apply(parseLoggedEntry(logged));
  }
  const progressed = state.map.version > before;
  if (message.version <= state.map.version) {
    state.logReader.upToDateAt = context.at.monotonic;
    return;
  }
  const useless = message.entries.length > 0 && !progressed;
  const trimmed = message.entries.length === 0;
  if (trimmed) state.logReader.readNeeded = true;
  else if (progressed || useless) pullFrom(context, from);
}

/**
 * Compares versions with a peer and catches up from it when it is ahead.
 *
 * @param context - The step.
 * @param from - The peer.
 * @param version - The peer's version.
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
  if (state.map.members.has(from)) pullFrom(context, from);
  else state.logReader.readNeeded = true;
}

/**
 * Pushes a new entry to a few neighbours: those at distances of powers of two
 * in the ring. Of a long one only the version is told; who lacks it, pulls.
 *
 * @param context - The step.
 * @param committed - The entry.
 */
export function pushEntry(context: OwnershipContext, committed: CommittedEntry): void {
  const {state} = context;
  const {version} = state.map;
  const logged = toLoggedEntry(committed);
  const message: ControlMessage =
    logged.text.length <= PUSHED_CHARACTERS
      ? {kind: 'entries', entries: [logged], version}
      : {kind: 'pull', after: version};
  for (const neighbour of neighboursOf(context)) {
    send(context, neighbour, message);
  }
}

/**
 * Keeps an applied entry for other members.
 *
 * @param state - The state.
 * @param committed - The entry.
 */
export function retainEntry(state: OwnershipState, committed: CommittedEntry): void {
  state.recentEntries.push(committed);
  const most = state.settings.tuning.log.keptEntries;
  if (state.recentEntries.length > 2 * most) state.recentEntries = state.recentEntries.slice(-most);
}

function neighboursOf(context: OwnershipContext): MemberId[] {
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

function entriesAfter(state: OwnershipState, after: Version): LoggedEntry[] {
  const first = state.recentEntries[0];
  if (first === undefined || first.entry.version > after + 1) return [];
  const start = after + 1 - first.entry.version;
  const most = state.settings.tuning.log.batchEntries;
  const entries: LoggedEntry[] = [];
  let characters = 0;
  for (const committed of state.recentEntries.slice(start, start + most)) {
    const logged = toLoggedEntry(committed);
    characters += logged.text.length;
    if (entries.length > 0 && characters > SENT_CHARACTERS) break;
    entries.push(logged);
  }
  return entries;
}

function pullFrom(context: OwnershipContext, from: MemberId): void {
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

function isStale(context: OwnershipContext): boolean {
  const {state, at} = context;
  const {pollMs} = state.settings.tuning.log;
  return at.monotonic - state.logReader.upToDateAt > pollMs;
}
