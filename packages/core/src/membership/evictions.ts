/** @fileoverview Ending silent members by rule R2. */

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

/** Time between two requests to close, and between two reads of a row. */
const ASK_GAP_MS = 100;
/** The same for a member that has resisted for long. */
const SLOW_ASK_GAP_MS = 1000;
/** Bounds of the time between two reads of a row. */
const LEAST_REREAD_MS = 1500;
const MOST_REREAD_MS = 30_000;
/** Time before a row has been quiet for long at which closing begins. */
const CLOSE_AHEAD_MS = 300;
/** Time without a new report after which an ending is given up. */
const GIVE_UP_MS = 4000;
/** Time after which reporters are told that the member is granted. */
const CLEAR_MS = 3000;
/** Most members in one entry. */
const MOST_ENDED_AT_ONCE = 512;

/**
 * Begins or continues to end a member.
 *
 * @param context - The step.
 * @param member - The silent member.
 * @param reporter - Who reported it.
 * @param hint - What the reporter was told of the member's row.
 * @param confirmedBy - The operator who vouches that it has stopped, or null.
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
  let ending = state.evictions.get(member);
  if (ending === undefined || (confirmedBy && !ending.confirmedBy)) {
    ending = newEnding(member, at.monotonic, confirmedBy);
    state.evictions.set(member, ending);
  }
  ending.reporters.add(reporter);
  ending.lastReportedAt = at.monotonic;
  takeHint(ending, hint, at.monotonic);
}

/**
 * Reads rows and asks grantors to close, as time passes.
 *
 * @param context - The step.
 */
export function advanceEvictions(context: OwnershipContext): void {
  const {state, at} = context;
  const now = at.monotonic;
  for (const [member, ending] of state.evictions) {
    if (!state.map.members.has(member) || isOver(ending, now)) {
      state.evictions.delete(member);
      continue;
    }
    if (now < ending.nextActionAt) continue;
    const age = now - ending.begunAt;
    ending.nextActionAt = now + (age > CLEAR_MS ? SLOW_ASK_GAP_MS : ASK_GAP_MS);
    if (ending.row === null || now >= ending.nextReadAt) {
      readRow(context, ending);
    }
    if (ending.row !== null) askGrantors(context, ending);
    if (now - ending.begunAt > CLEAR_MS) clearReporters(context, ending);
  }
}

/**
 * Takes the row of a member that is to be ended.
 *
 * @param context - The step.
 * @param member - The member.
 * @param answer - The platform's reply.
 */
export function handleEvictionRow(
  context: OwnershipContext,
  member: MemberId,
  answer: StoreReply,
): void {
  const {state, at} = context;
  const ending = state.evictions.get(member);
  if (ending === undefined) return;
  ending.readInFlight = false;
  if (answer.kind !== 'rows') return;
  const row = answer.rows.find(each => each.key === state.keys.member(member));
  if (row === undefined || row.revision === 0) {
    state.evictions.delete(member);
    state.logReader.readNeeded = true;
    return;
  }
  if (row.revision !== ending.row?.revision) {
    learnRow(ending, row, at.monotonic);
  }
}

/**
 * Takes a grantor's answer to a request to close.
 *
 * @param context - The step.
 * @param from - The grantor.
 * @param message - Its answer.
 */
export function handleClosed(
  context: OwnershipContext,
  from: MemberId,
  message: Extract<ControlMessage, {kind: 'closed'}>,
): void {
  const ending = context.state.evictions.get(message.member);
  if (ending === undefined || !message.closed) return;
  ending.closedBy.add(from);
  context.state.dirty = true;
}

/**
 * Collects the members that may be ended now.
 *
 * @param context - The step.
 * @returns The change, or null when there are none.
 */
export function proposeEvictions(
  context: OwnershipContext,
): ProposedChange | null {
  const {state, at} = context;
  const ends: Array<{member: MemberId; revision: number}> = [];
  for (const [member, ending] of state.evictions) {
    if (ending.row === null || ends.length >= MOST_ENDED_AT_ONCE) continue;
    if (!mayEnd(state, ending, at.monotonic)) continue;
    const end = {member, revision: ending.row.revision};
    if (ending.confirmedBy !== null) {
      const change = {kind: 'ended', members: [member]} as const;
      return {change, by: ending.confirmedBy, ends: [end]};
    }
    ends.push(end);
  }
  if (ends.length === 0) return null;
  const members = ends.map(each => each.member);
  return {change: {kind: 'ended', members}, by: state.self, ends};
}

/**
 * Takes newer rows of members that are to be ended from a conflict.
 *
 * @param context - The step.
 * @param rows - Rows whose conditions did not hold.
 */
export function updateEvictionRows(
  context: OwnershipContext,
  rows: readonly Row[],
): void {
  const {state} = context;
  for (const ending of state.evictions.values()) {
    const key = state.keys.member(ending.member);
    const row = rows.find(each => each.key === key);
    if (row === undefined || row.revision === ending.row?.revision) continue;
    learnRow(ending, row, context.at.monotonic);
  }
}

function mayEnd(state: OwnershipState, ending: Eviction, now: number): boolean {
  const {row} = ending;
  if (row === null) return false;
  const {leaseMs, marginMs} = state.settings.tuning.leases;
  const waitMs = leaseMs + marginMs;
  if (isRuleEnabled(state, 'R8') && now - row.firstSeenAt < waitMs) {
    return false;
  }
  if (ending.confirmedBy !== null) return true;
  if (!isRuleEnabled(state, 'R2')) {
    return row.grantors.some(id => ending.closedBy.has(id));
  }
  return row.grantors.every(id => isVoid(state, ending, id, now, waitMs));
}

/** Whether what this grantor promised is void. */
function isVoid(
  state: OwnershipState,
  ending: Eviction,
  grantor: MemberId,
  now: number,
  waitMs: number,
): boolean {
  if (ending.closedBy.has(grantor)) return true;
  if (state.map.members.has(grantor)) return false;
  const seen = state.map.ended.get(grantor) ?? ending.row?.firstSeenAt ?? now;
  return now - seen >= waitMs;
}

/** The grantor's knowledge of a row counts from when it was told. */
function takeHint(ending: Eviction, hint: RowHint, now: number): void {
  if (hint.row === 0) return;
  const since = now - hint.quietMs;
  const known = ending.hintedRevisions.get(hint.row) ?? since;
  ending.hintedRevisions.set(hint.row, Math.min(known, since));
  const {row} = ending;
  if (row === null || row.revision !== hint.row) return;
  ending.row = {...row, firstSeenAt: Math.min(row.firstSeenAt, since)};
}

function learnRow(ending: Eviction, row: Row, now: number): void {
  const {grantors} = JSON.parse(row.value) as MemberRow;
  const since = ending.hintedRevisions.get(row.revision) ?? now;
  ending.row = {revision: row.revision, grantors, firstSeenAt: since};
  ending.nextActionAt = now;
}

/**
 * Grantors are asked to close only when the row has been quiet for long: a
 * member that touches its row lives, and each closing costs it a grantor.
 */
function isNearlyQuiet(
  state: OwnershipState,
  row: KnownRow,
  now: number,
): boolean {
  const {leaseMs, marginMs} = state.settings.tuning.leases;
  return now - row.firstSeenAt >= leaseMs + marginMs - CLOSE_AHEAD_MS;
}

function askGrantors(context: OwnershipContext, ending: Eviction): void {
  const {state, at} = context;
  if (ending.row === null || ending.confirmedBy !== null) return;
  if (!isNearlyQuiet(state, ending.row, at.monotonic)) return;
  for (const grantor of ending.row.grantors) {
    if (ending.closedBy.has(grantor)) continue;
    if (grantor === state.self) {
      if (closeMember(state, ending.member, at.monotonic)) {
        ending.closedBy.add(grantor);
        state.dirty = true;
      }
      continue;
    }
    const {member} = ending;
    send(context, grantor, {kind: 'close', member, round: 0});
  }
}

function readRow(context: OwnershipContext, ending: Eviction): void {
  if (ending.readInFlight) return;
  const now = context.at.monotonic;
  ending.readInFlight = true;
  ending.nextReadAt = now + rereadMs(now - ending.begunAt);
  const {member} = ending;
  const key = context.state.keys.member(member);
  callStore(
    context,
    {kind: 'endingRead', member},
    {kind: 'read', query: {kind: 'row', key}},
  );
}

/** A member that can't be ended for long is looked at less often. */
function rereadMs(ageMs: number): number {
  return Math.min(MOST_REREAD_MS, Math.max(LEAST_REREAD_MS, ageMs / 2));
}

function clearReporters(context: OwnershipContext, ending: Eviction): void {
  const {state} = context;
  const now = context.at.monotonic;
  const granted = ending.row?.grantors.some(
    id => state.map.members.has(id) && !ending.closedBy.has(id),
  );
  if (granted !== true) return;
  for (const reporter of ending.reporters) {
    if (ending.row?.grantors.includes(reporter)) continue;
    if (reporter === state.self) stopWatching(state, ending.member, now);
    send(context, reporter, {kind: 'cleared', member: ending.member});
  }
  ending.reporters.clear();
}

function isOver(ending: Eviction, now: number): boolean {
  return (
    ending.confirmedBy === null && now - ending.lastReportedAt > GIVE_UP_MS
  );
}

function newEnding(
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
