/**
 * @fileoverview Evicting silent members. A member may be evicted only once its
 * row has not changed for lease time plus margin, and every grantor that the
 * row names has revoked it or was itself removed at least that long ago (R2).
 */

import type {MemberId} from '../ids/types.js';
import {stopWatching, revokeMember} from '../leases/grantor.js';
import {parseMemberRow} from '../leases/rows.js';
import type {ControlMessage} from '../messages/types.js';
import {callStore, send} from '../ownership/effects.js';
import type {
  OwnershipContext,
  OwnershipState,
  ProposedChange,
} from '../ownership/state.js';
import {isRuleEnabled} from '../ownership/state.js';
import {NO_ERA, rankRevision} from '../restore/era.js';
import {MAX_TRANSACTION_ENTRIES} from '../store/types.js';
import type {Row, StoreReply} from '../store/types.js';
import type {Eviction, KnownRow, ReportedRevision} from './types.js';

/** Time between two steps of an eviction (reads, requests to revoke). */
const STEP_INTERVAL_MS = 100;
/** The same once the eviction has lasted for `CLEAR_AFTER_MS`. */
const SLOW_STEP_INTERVAL_MS = 1000;
/** Minimum and maximum time between two reads of a row; it grows with age. */
const MIN_ROW_READ_INTERVAL_MS = 1500;
const MAX_ROW_READ_INTERVAL_MS = 30_000;
/**
 * How long before the row has been unchanged for lease time plus margin the
 * grantors are asked to revoke the member.
 */
const REVOKE_LEAD_MS = 300;
/** Time without a new report after which an eviction is abandoned. */
const EVICTION_TIMEOUT_MS = 4000;
/**
 * Age of an eviction after which its steps become less frequent, and reporters
 * are told that others grant the member's lease, if that is so.
 */
const CLEAR_AFTER_MS = 3000;
/** Entries of a transaction for its log row, the one before and the audit row. */
const ENTRIES_OF_LOG = 4;
/**
 * Maximum number of members that one log entry removes, each with a condition and
 * a write.
 */
const MAX_REMOVED_PER_ENTRY = (MAX_TRANSACTION_ENTRIES - ENTRIES_OF_LOG) / 2;

/**
 * Begins to evict a member, or records another report of its silence. An
 * operator's first confirmation restarts the eviction.
 *
 * @param context - Context of the current input.
 * @param member - The silent member.
 * @param reporter - The member that reported it.
 * @param reported - What the reporter knows of the member's row.
 * @param confirmedBy - The operator who confirms that it has stopped, or null.
 */
export function suspectMember(
  context: OwnershipContext,
  member: MemberId,
  reporter: MemberId,
  reported: ReportedRevision,
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
  applyReportedRevision(eviction, reported, at.monotonic);
}

/**
 * Advances all evictions as time passes: reads rows, asks grantors to revoke
 * and drops evictions that are done or abandoned.
 *
 * @param context - Context of the current input.
 */
export function advanceEvictions(context: OwnershipContext): void {
  const {state, at} = context;
  const now = at.monotonic;
  for (const [member, eviction] of state.evictions) {
    if (!state.map.members.has(member) || isAbandoned(eviction, now)) {
      state.evictions.delete(member);
      continue;
    }
    if (now < eviction.nextStepAt) continue;
    const ageMs = now - eviction.begunAt;
    eviction.nextStepAt =
      now + (ageMs > CLEAR_AFTER_MS ? SLOW_STEP_INTERVAL_MS : STEP_INTERVAL_MS);
    if (eviction.row === null || now >= eviction.nextReadAt) {
      readEvictionRow(context, eviction);
    }
    if (eviction.row !== null) requestRevocation(context, eviction);
    if (now - eviction.begunAt > CLEAR_AFTER_MS) {
      clearReporters(context, eviction);
    }
  }
}

/**
 * Handles the row of a member that is being evicted. Without a row, the member
 * was removed already, and the log is read.
 *
 * @param context - Context of the current input.
 * @param member - The member.
 * @param reply - The store's reply.
 */
export function handleEvictionRow(
  context: OwnershipContext,
  member: MemberId,
  reply: StoreReply,
): void {
  const {state} = context;
  const eviction = state.evictions.get(member);
  if (eviction === undefined) return;
  eviction.readInFlight = false;
  if (reply.kind !== 'rows') return;
  const row = reply.rows.find(each => each.key === state.keys.member(member));
  if (row === undefined || row.revision === 0) {
    state.logReader.readNeeded = true;
    if (state.restore.era === NO_ERA) state.evictions.delete(member);
    else recordLostRow(context, eviction);
    return;
  }
  if (row.revision !== eviction.row?.revision) {
    recordRow(context, eviction, row);
  }
}

/**
 * Handles a grantor's reply to a request to revoke a member.
 *
 * @param context - Context of the current input.
 * @param from - The grantor.
 * @param message - Its reply.
 */
export function handleRevoked(
  context: OwnershipContext,
  from: MemberId,
  message: Extract<ControlMessage, {kind: 'closed'}>,
): void {
  const eviction = context.state.evictions.get(message.member);
  if (eviction === undefined || !message.closed) return;
  eviction.revokedBy.add(from);
  context.state.runTasksNow = true;
}

/**
 * Proposes to remove the members that may be evicted now. One whose stop an
 * operator has confirmed gets a separate entry, under the operator's name.
 *
 * @param context - Context of the current input.
 * @returns The change, or null if there are none.
 */
export function proposeEvictions(
  context: OwnershipContext,
): ProposedChange | null {
  const {state, at} = context;
  const removals: Array<{member: MemberId; revision: number}> = [];
  for (const [member, eviction] of state.evictions) {
    if (eviction.row === null || removals.length >= MAX_REMOVED_PER_ENTRY) {
      continue;
    }
    if (!mayEvict(state, eviction, at.monotonic)) continue;
    const removal = {member, revision: eviction.row.revision};
    if (eviction.confirmedBy !== null) {
      const change = {kind: 'ended', members: [member]} as const;
      return {change, by: eviction.confirmedBy, removals: [removal]};
    }
    removals.push(removal);
  }
  if (removals.length === 0) return null;
  const members = removals.map(each => each.member);
  return {change: {kind: 'ended', members}, by: state.self, removals};
}

/**
 * Adopts newer rows, returned by a conflict, of members that are being evicted:
 * such a member has written its row, so the time without changes restarts.
 *
 * @param context - Context of the current input.
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
    recordRow(context, eviction, row);
  }
}

/**
 * Returns whether a member may be evicted. Two conditions have to hold:
 *
 * 1. Its row has been unchanged for lease time plus margin, since a write of
 *    the row counts as a lease (R8).
 * 2. No lease from a grantor can be valid any more (R2). An operator's
 *    confirmation that the member has stopped replaces this condition.
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
  if (isRuleEnabled(state, 'R8') && now - row.revisionSeenAt < waitMs) {
    return false;
  }
  if (eviction.confirmedBy !== null) return true;
  if (!isRuleEnabled(state, 'R2')) {
    return row.grantors.some(id => eviction.revokedBy.has(id));
  }
  return grantorsToRevoke(state, eviction).every(id =>
    cannotHaveValidLease(state, eviction, id, now, waitMs),
  );
}

/**
 * Lists the members that may have granted the lease: those that the row names;
 * all others, and those ended lately, if the row may be older than the member's
 * last one.
 */
function grantorsToRevoke(
  {map}: OwnershipState,
  {row, member}: Eviction,
): readonly MemberId[] {
  if (row === null) return [];
  if (row.namesGrantors) return row.grantors;
  const others = [...map.members.keys(), ...map.ended.keys()];
  return others.filter(id => id !== member);
}

/**
 * Records that a restored store has no row of a member that the map lists. A row
 * that the member writes anew makes the eviction conflict.
 */
function recordLostRow(context: OwnershipContext, eviction: Eviction): void {
  if (eviction.row?.revision === 0) return;
  eviction.row = {
    revision: 0,
    rank: 0,
    namesGrantors: false,
    grantors: [],
    revisionSeenAt: context.at.monotonic,
  };
}

/**
 * Returns whether no lease from this grantor can be valid any more: it has
 * revoked the member, or it was itself removed long enough ago.
 */
function cannotHaveValidLease(
  state: OwnershipState,
  eviction: Eviction,
  grantor: MemberId,
  now: number,
  waitMs: number,
): boolean {
  if (eviction.revokedBy.has(grantor)) return true;
  if (state.map.members.has(grantor)) return false;
  const endedAt =
    state.map.ended.get(grantor) ?? eviction.row?.revisionSeenAt ?? now;
  return now - endedAt >= waitMs;
}

/**
 * Counts a revision as known since the time at which a reporter first saw it,
 * if that is earlier.
 */
function applyReportedRevision(
  eviction: Eviction,
  reported: ReportedRevision,
  now: number,
): void {
  if (reported.row === 0) return;
  const since = now - reported.quietMs;
  const known = eviction.reportedRevisions.get(reported.row) ?? since;
  eviction.reportedRevisions.set(reported.row, Math.min(known, since));
  const {row} = eviction;
  if (row === null || row.rank !== reported.row) return;
  eviction.row = {...row, revisionSeenAt: Math.min(row.revisionSeenAt, since)};
}

/**
 * Adopts a new revision of the row and lets the next step be taken immediately.
 * Without a row that can be read, the grantors aren't known, and the member
 * isn't removed.
 */
function recordRow(
  context: OwnershipContext,
  eviction: Eviction,
  row: Row,
): void {
  const now = context.at.monotonic;
  const value = parseMemberRow(context, row);
  if (value === null) {
    eviction.row = null;
    return;
  }
  const {grantors} = value;
  const {era} = context.state.restore;
  const rank = rankRevision(era, row.revision);
  const revisionSeenAt = eviction.reportedRevisions.get(rank) ?? now;
  eviction.row = {
    revision: row.revision,
    rank,
    namesGrantors: (value.era ?? NO_ERA) === era,
    grantors,
    revisionSeenAt,
  };
  eviction.nextStepAt = now;
}

/**
 * Returns whether grantors are to be asked to revoke the member: only once its
 * row has been unchanged for nearly lease time plus margin. Revocation is
 * permanent, so a member that is alive and still writes its row would lose each
 * grantor for nothing.
 */
function isRevocationDue(
  state: OwnershipState,
  row: KnownRow,
  now: number,
): boolean {
  const {leaseMs, marginMs} = state.settings.tuning.leases;
  return now - row.revisionSeenAt >= leaseMs + marginMs - REVOKE_LEAD_MS;
}

/** Asks the grantors that the row names to revoke the member. */
function requestRevocation(
  context: OwnershipContext,
  eviction: Eviction,
): void {
  const {state, at} = context;
  if (eviction.row === null || eviction.confirmedBy !== null) return;
  if (!isRevocationDue(state, eviction.row, at.monotonic)) return;
  for (const grantor of grantorsToRevoke(state, eviction)) {
    if (eviction.revokedBy.has(grantor)) continue;
    if (grantor === state.self) {
      if (revokeMember(state, eviction.member, at.monotonic)) {
        eviction.revokedBy.add(grantor);
        state.runTasksNow = true;
      }
      continue;
    }
    const {member} = eviction;
    // No receiver uses the round; the reply repeats it.
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
 * Tells reporters that others grant the member's lease, if its row names a
 * grantor that is still a member and has not revoked it. Reporters that are its
 * grantors go on watching it.
 */
function clearReporters(context: OwnershipContext, eviction: Eviction): void {
  const {state} = context;
  const now = context.at.monotonic;
  const granted = eviction.row?.grantors.some(
    id => state.map.members.has(id) && !eviction.revokedBy.has(id),
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
    reportedRevisions: new Map(),
    readInFlight: false,
    nextReadAt: now,
    nextStepAt: now,
    revokedBy: new Set(),
    reporters: new Set(),
    lastReportedAt: now,
  };
}

/**
 * Revokes a member for a peer that evicts it, and tells that peer the result.
 *
 * @param context - Context of the current input.
 * @param from - The peer.
 * @param message - Its request.
 */
export function handleRevokeRequest(
  context: OwnershipContext,
  from: MemberId,
  message: Extract<ControlMessage, {kind: 'close'}>,
): void {
  const {member, round} = message;
  const closed = revokeMember(context.state, member, context.at.monotonic);
  send(context, from, {kind: 'closed', member, round, closed});
}
