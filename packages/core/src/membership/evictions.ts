/**
 * @fileoverview Evicting silent members. A member may be evicted only once its
 * row has not changed for lease time plus margin, and every grantor that the
 * row names has closed it or has itself been ended for that long (R2).
 */

import type {MemberId} from '../ids/types.js';
import {stopWatching, closeMember} from '../leases/grantor.js';
import type {MemberRow} from '../leases/types.js';
import type {ControlMessage} from '../messages/types.js';
import {callStore, send} from '../ownership/effects.js';
import type {
  OwnershipContext,
  OwnershipState,
  ProposedChange,
} from '../ownership/state.js';
import {isRuleEnabled} from '../ownership/state.js';
import type {Row, StoreReply} from '../store/types.js';
import type {Eviction, KnownRow, RowHint} from './types.js';

/** Time between two steps of an eviction (reads, requests to close). */
const STEP_INTERVAL_MS = 100;
/** The same once the eviction has lasted for `CLEAR_AFTER_MS`. */
const SLOW_STEP_INTERVAL_MS = 1000;
/** Bounds on the time between two reads of a row, which grows. */
const MIN_ROW_READ_INTERVAL_MS = 1500;
const MAX_ROW_READ_INTERVAL_MS = 30_000;
/** How long before the end of lease time plus margin grantors are asked. */
const CLOSE_LEAD_MS = 300;
/** Time without a new report after which an eviction is abandoned. */
const EVICTION_TIMEOUT_MS = 4000;
/** Age of an eviction after which reporters are told that the member lives. */
const CLEAR_AFTER_MS = 3000;
/** Most members that one log entry ends. */
const MAX_ENDED_PER_ENTRY = 512;

/**
 * Begins to evict a member, or records another report of its silence. An
 * operator's confirmation begins anew.
 *
 * @param context - Context of the reducer step.
 * @param member - The silent member.
 * @param reporter - The member that reported it.
 * @param hint - What the reporter knows of the member's row.
 * @param confirmedBy - The operator who confirms that it has stopped, or null.
 */
export function suspectMember(
  context: OwnershipContext,
  member: MemberId,
  reporter: MemberId,
  hint: RowHint,
  confirmedBy: string | null = null,
): void {
  const {state, at} = context;
  if (!state.map.members.has(member) || member === state.self) return;
  let eviction = state.evictions.get(member);
  if (eviction === undefined || (confirmedBy && !eviction.confirmedBy)) {
    eviction = createEviction(member, at.monotonic, confirmedBy);
    state.evictions.set(member, eviction);
  }
  eviction.reporters.add(reporter);
  eviction.lastReportedAt = at.monotonic;
  applyHint(eviction, hint, at.monotonic);
}

/**
 * Advances all evictions as time passes: reads rows, asks grantors to close and
 * drops evictions that are done or abandoned.
 *
 * @param context - Context of the reducer step.
 */
export function advanceEvictions(context: OwnershipContext): void {
  const {state, at} = context;
  const now = at.monotonic;
  for (const [member, eviction] of state.evictions) {
    if (!state.map.members.has(member) || isAbandoned(eviction, now)) {
      state.evictions.delete(member);
      continue;
    }
    if (now < eviction.nextActionAt) continue;
    const ageMs = now - eviction.begunAt;
    eviction.nextActionAt =
      now + (ageMs > CLEAR_AFTER_MS ? SLOW_STEP_INTERVAL_MS : STEP_INTERVAL_MS);
    if (eviction.row === null || now >= eviction.nextReadAt) {
      readEvictionRow(context, eviction);
    }
    if (eviction.row !== null) requestClose(context, eviction);
    if (now - eviction.begunAt > CLEAR_AFTER_MS) {
      clearReporters(context, eviction);
    }
  }
}

/**
 * Handles the row of a member that is being evicted. Without a row, the member
 * has ended already, and the log is read.
 *
 * @param context - Context of the reducer step.
 * @param member - The member.
 * @param reply - The platform's reply.
 */
export function handleEvictionRow(
  context: OwnershipContext,
  member: MemberId,
  reply: StoreReply,
): void {
  const {state, at} = context;
  const eviction = state.evictions.get(member);
  if (eviction === undefined) return;
  eviction.readInFlight = false;
  if (reply.kind !== 'rows') return;
  const row = reply.rows.find(each => each.key === state.keys.member(member));
  if (row === undefined || row.revision === 0) {
    state.evictions.delete(member);
    state.logReader.readNeeded = true;
    return;
  }
  if (row.revision !== eviction.row?.revision) {
    recordRow(eviction, row, at.monotonic);
  }
}

/**
 * Handles a grantor's answer to a request to close.
 *
 * @param context - Context of the reducer step.
 * @param from - The grantor.
 * @param message - Its answer.
 */
export function handleClosed(
  context: OwnershipContext,
  from: MemberId,
  message: Extract<ControlMessage, {kind: 'closed'}>,
): void {
  const eviction = context.state.evictions.get(message.member);
  if (eviction === undefined || !message.closed) return;
  eviction.closedBy.add(from);
  context.state.dirty = true;
}

/**
 * Proposes to end the members that may be evicted now. One that an operator has
 * confirmed goes into an entry of its own, under the operator's name.
 *
 * @param context - Context of the reducer step.
 * @returns The change, or null if there are none.
 */
export function proposeEvictions(
  context: OwnershipContext,
): ProposedChange | null {
  const {state, at} = context;
  const ends: Array<{member: MemberId; revision: number}> = [];
  for (const [member, eviction] of state.evictions) {
    if (eviction.row === null || ends.length >= MAX_ENDED_PER_ENTRY) continue;
    if (!mayEvict(state, eviction, at.monotonic)) continue;
    const end = {member, revision: eviction.row.revision};
    if (eviction.confirmedBy !== null) {
      const change = {kind: 'ended', members: [member]} as const;
      return {change, by: eviction.confirmedBy, ends: [end]};
    }
    ends.push(end);
  }
  if (ends.length === 0) return null;
  const members = ends.map(each => each.member);
  return {change: {kind: 'ended', members}, by: state.self, ends};
}

/**
 * Adopts newer rows of members that are being evicted from a conflict: such a
 * member has written its row, and the time without changes begins anew.
 *
 * @param context - Context of the reducer step.
 * @param rows - Rows of the conflict, as they are now.
 */
export function updateEvictionRows(
  context: OwnershipContext,
  rows: readonly Row[],
): void {
  const {state} = context;
  for (const eviction of state.evictions.values()) {
    const key = state.keys.member(eviction.member);
    const row = rows.find(each => each.key === key);
    if (row === undefined || row.revision === eviction.row?.revision) continue;
    recordRow(eviction, row, context.at.monotonic);
  }
}

/**
 * Tells whether a member may be evicted. Its row has to be unchanged for lease
 * time plus margin, since a write of the row counts as a lease (R8), and no
 * lease from a grantor may be valid any more (R2); an operator who confirms
 * that the member has stopped replaces the second condition.
 */
function mayEvict(
  state: OwnershipState,
  eviction: Eviction,
  now: number,
): boolean {
  const {row} = eviction;
  if (row === null) return false;
  const {leaseMs, marginMs} = state.settings.tuning.leases;
  const waitMs = leaseMs + marginMs;
  if (isRuleEnabled(state, 'R8') && now - row.firstSeenAt < waitMs) {
    return false;
  }
  if (eviction.confirmedBy !== null) return true;
  if (!isRuleEnabled(state, 'R2')) {
    return row.grantors.some(id => eviction.closedBy.has(id));
  }
  return row.grantors.every(id =>
    isLeaseVoid(state, eviction, id, now, waitMs),
  );
}

/**
 * Tells whether no lease from this grantor can be valid any more: it has closed
 * the member, or it was itself ended for long enough.
 */
function isLeaseVoid(
  state: OwnershipState,
  eviction: Eviction,
  grantor: MemberId,
  now: number,
  waitMs: number,
): boolean {
  if (eviction.closedBy.has(grantor)) return true;
  if (state.map.members.has(grantor)) return false;
  const endedAt =
    state.map.ended.get(grantor) ?? eviction.row?.firstSeenAt ?? now;
  return now - endedAt >= waitMs;
}

/** Dates a revision back to the time at which a reporter learned it. */
function applyHint(eviction: Eviction, hint: RowHint, now: number): void {
  if (hint.row === 0) return;
  const since = now - hint.quietMs;
  const known = eviction.hintedRevisions.get(hint.row) ?? since;
  eviction.hintedRevisions.set(hint.row, Math.min(known, since));
  const {row} = eviction;
  if (row === null || row.revision !== hint.row) return;
  eviction.row = {...row, firstSeenAt: Math.min(row.firstSeenAt, since)};
}

/**
 * Adopts a revision of the row that was read and takes the next step at once.
 */
function recordRow(eviction: Eviction, row: Row, now: number): void {
  const {grantors} = JSON.parse(row.value) as MemberRow;
  const firstSeenAt = eviction.hintedRevisions.get(row.revision) ?? now;
  eviction.row = {revision: row.revision, grantors, firstSeenAt};
  eviction.nextActionAt = now;
}

/**
 * Tells whether the row has been unchanged for nearly lease time plus margin.
 * Only then are grantors asked to close the member: one that lives and only
 * writes its row loses each grantor that closes it.
 */
function isRowNearlyQuiet(
  state: OwnershipState,
  row: KnownRow,
  now: number,
): boolean {
  const {leaseMs, marginMs} = state.settings.tuning.leases;
  return now - row.firstSeenAt >= leaseMs + marginMs - CLOSE_LEAD_MS;
}

/** Asks the grantors that the row names to close the member. */
function requestClose(context: OwnershipContext, eviction: Eviction): void {
  const {state, at} = context;
  if (eviction.row === null || eviction.confirmedBy !== null) return;
  if (!isRowNearlyQuiet(state, eviction.row, at.monotonic)) return;
  for (const grantor of eviction.row.grantors) {
    if (eviction.closedBy.has(grantor)) continue;
    if (grantor === state.self) {
      if (closeMember(state, eviction.member, at.monotonic)) {
        eviction.closedBy.add(grantor);
        state.dirty = true;
      }
      continue;
    }
    const {member} = eviction;
    send(context, grantor, {kind: 'close', member, round: 0});
  }
}

function readEvictionRow(context: OwnershipContext, eviction: Eviction): void {
  if (eviction.readInFlight) return;
  const now = context.at.monotonic;
  eviction.readInFlight = true;
  eviction.nextReadAt = now + rowReadIntervalMs(now - eviction.begunAt);
  const {member} = eviction;
  const key = context.state.keys.member(member);
  callStore(
    context,
    {kind: 'evictionRead', member},
    {kind: 'read', query: {kind: 'row', key}},
  );
}

/** The longer an eviction lasts, the less often the row is read. */
function rowReadIntervalMs(ageMs: number): number {
  return Math.min(
    MAX_ROW_READ_INTERVAL_MS,
    Math.max(MIN_ROW_READ_INTERVAL_MS, ageMs / 2),
  );
}

/**
 * Tells reporters that the member lives, if a live grantor in its row has not
 * closed it. Reporters that are its grantors go on watching it.
 */
function clearReporters(context: OwnershipContext, eviction: Eviction): void {
  const {state} = context;
  const now = context.at.monotonic;
  const granted = eviction.row?.grantors.some(
    id => state.map.members.has(id) && !eviction.closedBy.has(id),
  );
  if (granted !== true) return;
  for (const reporter of eviction.reporters) {
    if (eviction.row?.grantors.includes(reporter)) continue;
    if (reporter === state.self) stopWatching(state, eviction.member, now);
    send(context, reporter, {kind: 'cleared', member: eviction.member});
  }
  eviction.reporters.clear();
}

function isAbandoned(eviction: Eviction, now: number): boolean {
  return (
    eviction.confirmedBy === null &&
    now - eviction.lastReportedAt > EVICTION_TIMEOUT_MS
  );
}

function createEviction(
  member: MemberId,
  now: number,
  confirmedBy: string | null,
): Eviction {
  return {
    member,
    begunAt: now,
    confirmedBy,
    row: null,
    hintedRevisions: new Map(),
    readInFlight: false,
    nextReadAt: now,
    nextActionAt: now,
    closedBy: new Set(),
    reporters: new Set(),
    lastReportedAt: now,
  };
}
