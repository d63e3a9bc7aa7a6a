/**
 * @fileoverview The grantor's side of leases: granting them, closing members
 * and reporting silent ones.
 */

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

/** Time between two reports of the same silent member. */
const REPORT_INTERVAL_MS = 400;
/** Number of first ranks that receive the reports in turn. */
const REPORT_TARGET_RANKS = 3;
/** Time after which a member with an outdated configuration is sent it. */
const FORWARD_CONFIGURATION_AFTER_MS = 400;
/** Number of reports after which every second one stays at this daemon. */
const REPORTS_TO_RANKS_ONLY = 4;

/**
 * Handles a renewal: grants the lease, or says why not.
 *
 * @param context - Context of the reducer step.
 * @param from - The sender, as the link names it.
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
  if (reason === '') grantLease(context, message);
  forwardConfiguration(context, from);
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
 * Closes a member once the last lease granted to it has expired: this daemon
 * never grants that incarnation again.
 *
 * @param state - State of ownership.
 * @param member - The member.
 * @param now - Monotonic time, in milliseconds.
 * @returns False while the lease may still be valid.
 */
export function closeMember(
  state: OwnershipState,
  member: MemberId,
  now: number,
): boolean {
  const watched = state.watchedMembers.get(member);
  if (watched !== undefined && now < watched.leaseExpiresAt) return false;
  state.closed.add(member);
  return true;
}

/**
 * Watches the members whose first choice of grantors includes this one, so that
 * a member that fell silent before its first renewal is reported, too. Forgets
 * members that are no longer in the map.
 *
 * @param context - Context of the reducer step.
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
 * Reports silent members to the first ranks, so that they are evicted.
 *
 * @param context - Context of the reducer step.
 * @param suspectLocally - Starts the eviction at this daemon.
 */
export function reportSilentMembers(
  context: OwnershipContext,
  suspectLocally: (member: MemberId, reporter: MemberId, hint: RowHint) => void,
): void {
  const {state, at} = context;
  const now = at.monotonic;
  const {suspectMs} = state.settings.tuning.leases;
  for (const [id, watched] of state.watchedMembers) {
    if (now - watched.lastHeardAt < suspectMs || now < watched.nextReportAt) {
      continue;
    }
    watched.nextReportAt = now + REPORT_INTERVAL_MS;
    const target = reportTarget(state, id, watched.reports);
    watched.reports += 1;
    const hint = {
      row: watched.row,
      quietMs: Math.max(0, now - watched.rowLearnedAt),
    };
    if (target === state.self) suspectLocally(id, state.self, hint);
    else send(context, target, {kind: 'suspect', member: id, ...hint});
  }
}

/**
 * Stops watching a member that has a lease from others. It is kept until the
 * last lease granted to it has expired: a grantor that forgot a grant it had
 * just made closed the member at once, and two members owned one slice.
 *
 * @param state - State of ownership.
 * @param member - The member.
 * @param now - Monotonic time, in milliseconds.
 */
export function stopWatching(
  state: OwnershipState,
  member: MemberId,
  now: number,
): void {
  const watched = state.watchedMembers.get(member);
  if (watched !== undefined && now >= watched.leaseExpiresAt) {
    state.watchedMembers.delete(member);
  }
}

/**
 * Makes a member whose link was lost count as silent at once.
 *
 * @param state - State of ownership.
 * @param member - The member.
 * @param now - Monotonic time, in milliseconds.
 */
export function suspectImmediately(
  state: OwnershipState,
  member: MemberId,
  now: number,
): void {
  const watched = state.watchedMembers.get(member);
  if (watched === undefined) return;
  const {suspectMs} = state.settings.tuning.leases;
  watched.lastHeardAt = Math.min(watched.lastHeardAt, now - suspectMs);
}

/**
 * Chooses who evicts a silent member: the first ranks in turn. If that doesn't
 * help, this daemon tries, too, since the ranks may be unreachable from here.
 */
function reportTarget(
  state: OwnershipState,
  silent: MemberId,
  reports: number,
): MemberId {
  if (reports >= REPORTS_TO_RANKS_ONLY && reports % 2 === 0) return state.self;
  const ranks = currentRanks(state).filter(id => id !== silent);
  return (
    ranks[reports % Math.min(REPORT_TARGET_RANKS, ranks.length)] ?? state.self
  );
}

/**
 * Records what a renewal says about its sender and returns why it isn't
 * granted, or an empty string. A member without a lease grants none (R4).
 */
function refusal(
  context: OwnershipContext,
  message: Extract<ControlMessage, {kind: 'renew'}>,
): string {
  const {state, at} = context;
  const {member} = message;
  if (state.map.ended.has(member)) return 'ended';
  if (!state.map.members.has(member)) return 'unknown';
  const watched = getOrAddWatchedMember(state, member, at.monotonic);
  watched.lastHeardAt = at.monotonic;
  watched.reports = 0;
  watched.version = message.version;
  if (message.row > watched.row) {
    watched.row = message.row;
    watched.rowLearnedAt = at.monotonic;
  }
  if (state.closed.has(member)) return 'closed';
  if (isRuleEnabled(state, 'R4') && currentLease(state, at).source === 'none') {
    return 'no-lease';
  }
  if (isOutdatedTooLong(state, watched, message.configuration, at.monotonic)) {
    return 'behind';
  }
  return '';
}

/** Records a member's configuration; tells whether it was outdated too long. */
function isOutdatedTooLong(
  state: OwnershipState,
  watched: WatchedMember,
  configuration: number,
  now: number,
): boolean {
  watched.configuration = configuration;
  if (configuration >= (state.map.configuration?.number ?? 0)) {
    watched.behindSince = null;
    return false;
  }
  watched.behindSince ??= now;
  return now - watched.behindSince > state.settings.tuning.leases.behindMs;
}

/**
 * Sends the external configuration to a member that stays behind it, since it
 * may be unable to read the source itself.
 */
function forwardConfiguration(context: OwnershipContext, to: MemberId): void {
  const {state, at} = context;
  const watched = state.watchedMembers.get(to);
  if (state.externalConfiguration === null || watched === undefined) return;
  if (watched.configuration >= state.externalConfiguration.number) {
    watched.behindSince = null;
  } else watched.behindSince ??= at.monotonic;
  if (watched.behindSince === null) return;
  if (at.monotonic - watched.behindSince < FORWARD_CONFIGURATION_AFTER_MS) {
    return;
  }
  send(context, to, {kind: 'configuration', ...state.externalConfiguration});
}

function grantLease(
  context: OwnershipContext,
  message: Extract<ControlMessage, {kind: 'renew'}>,
): void {
  const {state, at} = context;
  const {leaseMs, marginMs} = state.settings.tuning.leases;
  const watched = getOrAddWatchedMember(state, message.member, at.monotonic);
  watched.leaseExpiresAt = at.monotonic + leaseMs + marginMs;
}

function getOrAddWatchedMember(
  state: OwnershipState,
  member: MemberId,
  now: number,
): WatchedMember {
  let watched = state.watchedMembers.get(member);
  if (watched === undefined) {
    watched = createWatchedMember(now);
    state.watchedMembers.set(member, watched);
  }
  return watched;
}
