/** @fileoverview Promises made to other members, and closing them (R2, R4). */

import type {MemberId} from '../ids/types.js';
import type {ControlMessage} from '../messages/types.js';
import {chooseGrantors} from '../membership/ring.js';
import {send} from '../ownership/effects.js';
import type {OwnershipContext, OwnershipState} from '../ownership/state.js';
import {currentRanks, currentRing, isRuleEnabled} from '../ownership/state.js';
import {currentLease} from './logic.js';
import type {RowHint} from '../membership/types.js';
import {createWatchedMember} from './state.js';
import type {WatchedMember} from './types.js';

/** Time between two reports of one silent member. */
const REPORT_GAP_MS = 400;
/** First ranks that take reports in turn. */
const REPORTED_RANKS = 3;
/** Time after which a member behind the configuration is told of it. */
const TOLD_AFTER_MS = 400;
/** Reports to others before this member begins the ending itself. */
const REPORTS_TO_OTHERS = 4;

/**
 * Answers a renewal.
 *
 * @param context - The step.
 * @param from - Sender on the link.
 * @param message - The renewal.
 */
export function handleRenew(
  context: OwnershipContext,
  from: MemberId,
  message: Extract<ControlMessage, {kind: 'renew'}>,
): void {
  const {state} = context;
  if (message.member !== from) return;
  const reason = refusal(context, message);
  if (reason === '') promise(context, message);
  passConfigurationOn(context, from);
  send(context, from, {
    kind: 'renewed',
    round: message.round,
    granted: reason === '',
    reason,
    version: state.map.version,
    configuration: state.map.configuration?.number ?? 0,
  });
}

/**
 * Closes a member when its promise has run out; it is never renewed again.
 *
 * @param state - The state.
 * @param member - The member.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether it is closed.
 */
export function closeMember(
  state: OwnershipState,
  member: MemberId,
  now: number,
): boolean {
  const ward = state.watchedMembers.get(member);
  if (ward !== undefined && now < ward.leaseExpiresAt) return false;
  state.closed.add(member);
  return true;
}

/**
 * Watches the members whose first grantors in the ring include this one.
 *
 * @param context - The step.
 */
export function updateWatchedMembers(context: OwnershipContext): void {
  const {state, at} = context;
  const ring = currentRing(state);
  const none: ReadonlySet<MemberId> = new Set();
  for (const id of ring.order) {
    if (id === state.self || state.watchedMembers.has(id)) continue;
    if (!chooseGrantors(state.map, ring, id, none).includes(state.self)) {
      continue;
    }
    state.watchedMembers.set(id, createWatchedMember(at.monotonic));
  }
  for (const id of [...state.watchedMembers.keys()]) {
    if (!state.map.members.has(id)) state.watchedMembers.delete(id);
  }
  for (const id of [...state.closed]) {
    if (state.map.ended.has(id)) state.closed.delete(id);
  }
}

/**
 * Reports members that are silent.
 *
 * @param context - The step.
 * @param suspectHere - Begins the ending at this daemon.
 */
export function reportSilentMembers(
  context: OwnershipContext,
  suspectHere: (member: MemberId, reporter: MemberId, hint: RowHint) => void,
): void {
  const {state, at} = context;
  const now = at.monotonic;
  const {suspectMs} = state.settings.tuning.leases;
  for (const [id, ward] of state.watchedMembers) {
    if (now - ward.lastHeardAt < suspectMs || now < ward.nextReportAt) continue;
    ward.nextReportAt = now + REPORT_GAP_MS;
    const target = reportTarget(state, id, ward.reports);
    ward.reports += 1;
    const hint = {row: ward.row, quietMs: Math.max(0, now - ward.rowLearnedAt)};
    if (target === state.self) suspectHere(id, state.self, hint);
    else send(context, target, {kind: 'suspect', member: id, ...hint});
  }
}

/**
 * Stops watching a member that others grant.
 *
 * @param state - The state.
 * @param member - The member.
 * @param now - Monotonic time, in milliseconds.
 */
export function stopWatching(
  state: OwnershipState,
  member: MemberId,
  now: number,
): void {
  const ward = state.watchedMembers.get(member);
  if (ward !== undefined && now >= ward.leaseExpiresAt) {
    state.watchedMembers.delete(member);
  }
}

/**
 * Suspects a member at once whose link was lost.
 *
 * @param state - The state.
 * @param member - The member.
 * @param now - Monotonic time, in milliseconds.
 */
export function suspectImmediately(
  state: OwnershipState,
  member: MemberId,
  now: number,
): void {
  const ward = state.watchedMembers.get(member);
  if (ward === undefined) return;
  const {suspectMs} = state.settings.tuning.leases;
  ward.lastHeardAt = Math.min(ward.lastHeardAt, now - suspectMs);
}

function reportTarget(
  state: OwnershipState,
  silent: MemberId,
  reports: number,
): MemberId {
  if (reports >= REPORTS_TO_OTHERS && reports % 2 === 0) return state.self;
  const ranks = currentRanks(state).filter(id => id !== silent);
  return ranks[reports % Math.min(REPORTED_RANKS, ranks.length)] ?? state.self;
}

function refusal(
  context: OwnershipContext,
  message: Extract<ControlMessage, {kind: 'renew'}>,
): string {
  const {state, at} = context;
  const {member} = message;
  if (state.map.ended.has(member)) return 'ended';
  if (!state.map.members.has(member)) return 'unknown';
  const ward = wardOf(state, member, at.monotonic);
  ward.lastHeardAt = at.monotonic;
  ward.reports = 0;
  ward.version = message.version;
  if (message.row > ward.row) {
    ward.row = message.row;
    ward.rowLearnedAt = at.monotonic;
  }
  if (state.closed.has(member)) return 'closed';
  if (isRuleEnabled(state, 'R4') && currentLease(state, at).source === 'none') {
    return 'no-lease';
  }
  if (staysBehind(state, ward, message.configuration, at.monotonic)) {
    return 'behind';
  }
  return '';
}

function staysBehind(
  state: OwnershipState,
  ward: WatchedMember,
  configuration: number,
  now: number,
): boolean {
  ward.configuration = configuration;
  if (configuration >= (state.map.configuration?.number ?? 0)) {
    ward.behindSince = null;
    return false;
  }
  ward.behindSince ??= now;
  return now - ward.behindSince > state.settings.tuning.leases.behindMs;
}

/** A member that can't read the source hears of it from its grantors. */
function passConfigurationOn(context: OwnershipContext, to: MemberId): void {
  const {state, at} = context;
  const ward = state.watchedMembers.get(to);
  if (state.externalConfiguration === null || ward === undefined) return;
  if (ward.configuration >= state.externalConfiguration.number) {
    ward.behindSince = null;
  } else ward.behindSince ??= at.monotonic;
  if (ward.behindSince === null) return;
  if (at.monotonic - ward.behindSince < TOLD_AFTER_MS) return;
  send(context, to, {kind: 'configuration', ...state.externalConfiguration});
}

function promise(
  context: OwnershipContext,
  message: Extract<ControlMessage, {kind: 'renew'}>,
): void {
  const {state, at} = context;
  const {leaseMs, marginMs} = state.settings.tuning.leases;
  const ward = wardOf(state, message.member, at.monotonic);
  ward.leaseExpiresAt = at.monotonic + leaseMs + marginMs;
}

function wardOf(
  state: OwnershipState,
  member: MemberId,
  now: number,
): WatchedMember {
  let ward = state.watchedMembers.get(member);
  if (ward === undefined) {
    ward = createWatchedMember(now);
    state.watchedMembers.set(member, ward);
  }
  return ward;
}
