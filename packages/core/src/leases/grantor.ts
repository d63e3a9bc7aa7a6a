/**
 * @fileoverview The grantor's side of leases: granting and revoking them, and
 * reporting silent members.
 */

import type {MemberId} from '../ids/types.js';
import type {ControlMessage} from '../messages/types.js';
import {chooseGrantors} from '../membership/ring.js';
import {send} from '../ownership/effects.js';
import type {OwnershipContext, OwnershipState} from '../ownership/state.js';
import {currentRanks, currentRing, isRuleEnabled} from '../ownership/state.js';
import {eraOfRevision} from '../restore/era.js';
import {announceEra, recordEra} from '../restore/logic.js';
import {currentLease} from './logic.js';
import type {ReportedRevision} from '../membership/types.js';
import {MAX_FOLLOW_DELAY_MS, createWatchedMember} from './state.js';
import type {WatchedMember} from './types.js';

/** Time between two reports about the same silent member. */
const REPORT_INTERVAL_MS = 400;
/** Number of highest-ranked members that get the reports, round-robin. */
const REPORT_TARGETS = 3;
/**
 * Time for a member that has just joined to write its row and to renew its
 * lease for the first time. One that gets no replies may offer its server
 * somewhat later (R9); it has to be evicted before.
 */
const FIRST_RENEWAL_MS = 1500;
/** Time after which a member with an older configuration gets the new one. */
const FORWARD_CONFIGURATION_AFTER_MS = 400;
/**
 * Number of reports after which this daemon also tries the eviction itself, at
 * every second report, since the highest-ranked members may be unreachable.
 */
const LOCAL_EVICTION_AFTER_REPORTS = 4;

/**
 * Handles a renewal: grants the lease, or replies why not.
 *
 * @param context - Context of the current input.
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
  const reason = evaluateRenewal(context, message);
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
 * Forgets the members that this one watched or revoked, since it was removed
 * and joins under a new id. The leases that it granted stay valid, and members
 * that don't know of its removal yet may still ask it to revoke them.
 *
 * @param state - State of ownership.
 */
export function forgetWatchedMembers(state: OwnershipState): void {
  for (const {leaseExpiresAt} of state.watchedMembers.values()) {
    state.formerLeasesUntil = Math.max(state.formerLeasesUntil, leaseExpiresAt);
  }
  state.watchedMembers.clear();
  state.revokedMembers.clear();
}

/**
 * Revokes a member once the last lease granted to it has expired: this daemon
 * never grants that incarnation a lease again.
 *
 * @param state - State of ownership.
 * @param member - The member.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether it is revoked; false while the lease may still be valid.
 */
export function revokeMember(
  state: OwnershipState,
  member: MemberId,
  now: number,
): boolean {
  const watched = state.watchedMembers.get(member);
  if (watched !== undefined && now < watched.leaseExpiresAt) return false;
  if (now < state.formerLeasesUntil) return false;
  state.revokedMembers.add(member);
  return true;
}

/**
 * Starts to watch the members whose preferred grantors include this one, so
 * that a member that became silent before its first renewal is reported, too.
 * Until a member follows the ring it renews at other grantors, so it is silent
 * here for a while. Forgets members that are no longer in the map.
 *
 * @param context - Context of the current input.
 */
export function updateWatchedMembers(context: OwnershipContext): void {
  const {state, at} = context;
  const ring = currentRing(state);
  const none: ReadonlySet<MemberId> = new Set();
  for (const id of ring.order) {
    if (id === state.self) continue;
    const watched = state.watchedMembers.get(id);
    if (watched !== undefined && watched.rowRevision > 0) continue;
    const preferred = chooseGrantors(state.map, ring, id, none);
    if (!preferred.includes(state.self)) {
      // The ring named this member for a while, but `id` never followed.
      if (watched !== undefined) state.watchedMembers.delete(id);
      continue;
    }
    if (watched !== undefined) continue;
    const graceMs = firstRenewalMs(state, id);
    state.watchedMembers.set(id, createWatchedMember(at.monotonic + graceMs));
  }
  for (const id of [...state.watchedMembers.keys()]) {
    if (!state.map.members.has(id)) state.watchedMembers.delete(id);
  }
  for (const id of [...state.revokedMembers]) {
    if (state.map.ended.has(id)) state.revokedMembers.delete(id);
  }
  state.membersWhenWatched = new Set(state.map.members.keys());
}

/** Time in which a member that is watched from now on renews its lease here. */
function firstRenewalMs(state: OwnershipState, id: MemberId): number {
  if (!state.membersWhenWatched.has(id)) return FIRST_RENEWAL_MS;
  const {followRingMs} = state.settings.tuning.membership;
  return followRingMs + MAX_FOLLOW_DELAY_MS;
}

/**
 * Reports silent members to the highest-ranked ones, which evict them.
 *
 * @param context - Context of the current input.
 * @param suspectLocally - Starts the eviction at this daemon.
 */
export function reportSilentMembers(
  context: OwnershipContext,
  suspectLocally: (
    member: MemberId,
    reporter: MemberId,
    reported: ReportedRevision,
  ) => void,
): void {
  const {state, at} = context;
  const now = at.monotonic;
  const {suspectMs} = state.settings.tuning.leases;
  for (const [id, watched] of state.watchedMembers) {
    if (watched.cleared) {
      stopWatching(state, id, now);
      continue;
    }
    if (now - watched.lastHeardAt < suspectMs || now < watched.nextReportAt) {
      continue;
    }
    watched.nextReportAt = now + REPORT_INTERVAL_MS;
    const target = reportTarget(state, id, watched.reports);
    watched.reports += 1;
    const reported = {
      row: watched.rowRevision,
      quietMs: Math.max(0, now - watched.revisionSeenAt),
    };
    if (target === state.self) suspectLocally(id, state.self, reported);
    else send(context, target, {kind: 'suspect', member: id, ...reported});
  }
}

/**
 * Stops watching a member that has a lease from others, but only once the last
 * lease granted to it here has expired. Otherwise this grantor could revoke the
 * member while that lease is valid, and two members would own a slice.
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
 * Handles a message that a member need not be reported. Only from the member
 * itself, which replaced this grantor, does it hold for a lease that is still
 * valid: others may judge by an older row, and nobody would report the member.
 *
 * @param state - State of ownership.
 * @param from - The sender.
 * @param member - The member.
 * @param now - Monotonic time, in milliseconds.
 */
export function handleCleared(
  state: OwnershipState,
  from: MemberId,
  member: MemberId,
  now: number,
): void {
  const watched = state.watchedMembers.get(member);
  if (watched !== undefined && from === member) watched.cleared = true;
  stopWatching(state, member, now);
}

/**
 * Treats a member whose link was lost as unresponsive immediately.
 *
 * @param state - State of ownership.
 * @param member - The member.
 * @param now - Monotonic time, in milliseconds.
 */
export function markUnresponsive(
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
 * Chooses who evicts a silent member: the highest-ranked members in turn. If
 * that doesn't help, this daemon tries, too, since they may be unreachable.
 */
function reportTarget(
  state: OwnershipState,
  silent: MemberId,
  reports: number,
): MemberId {
  if (reports >= LOCAL_EVICTION_AFTER_REPORTS && reports % 2 === 0) {
    return state.self;
  }
  const ranks = currentRanks(state).filter(id => id !== silent);
  return ranks[reports % Math.min(REPORT_TARGETS, ranks.length)] ?? state.self;
}

/**
 * Records what a renewal says about its sender. Returns why the lease is not
 * granted, or an empty string if it is; `renewed` lists the reasons. A member
 * without a lease grants none (R4).
 */
function evaluateRenewal(
  context: OwnershipContext,
  message: Extract<ControlMessage, {kind: 'renew'}>,
): string {
  const {state, at} = context;
  const {member} = message;
  if (state.map.ended.has(member)) return 'ended';
  if (!state.map.members.has(member)) return 'unknown';
  const watched = getOrAddWatchedMember(state, member, at.monotonic);
  watched.lastHeardAt = at.monotonic;
  watched.cleared = false;
  watched.reports = 0;
  watched.version = message.version;
  if (message.row > watched.rowRevision) {
    watched.rowRevision = message.row;
    watched.revisionSeenAt = at.monotonic;
  }
  if (state.revokedMembers.has(member)) return 'closed';
  if (isRuleEnabled(state, 'R4') && currentLease(state, at).source === 'none') {
    return 'no-lease';
  }
  if (isEraOutdatedTooLong(context, watched, message)) return 'behind';
  if (isOutdatedTooLong(state, watched, message.configuration, at.monotonic)) {
    return 'behind';
  }
  return '';
}

/**
 * Tells a member of a restore of the store that its row's revision doesn't
 * reflect, and returns whether it has lagged for more than `behindMs`. It may
 * not know of the restore, while others go on without entries that it has.
 */
function isEraOutdatedTooLong(
  context: OwnershipContext,
  watched: WatchedMember,
  {member, row}: Extract<ControlMessage, {kind: 'renew'}>,
): boolean {
  const {state, at} = context;
  const era = eraOfRevision(row);
  recordEra(context, era);
  if (era >= state.restore.era) {
    watched.outdatedEraSince = null;
    return false;
  }
  announceEra(context, member);
  watched.outdatedEraSince ??= at.monotonic;
  const {behindMs} = state.settings.tuning.leases;
  return at.monotonic - watched.outdatedEraSince > behindMs;
}

/**
 * Records the version of a member's configuration and returns whether it has
 * been outdated for more than `behindMs`.
 */
function isOutdatedTooLong(
  state: OwnershipState,
  watched: WatchedMember,
  configuration: number,
  now: number,
): boolean {
  watched.configuration = configuration;
  if (configuration >= (state.map.configuration?.number ?? 0)) {
    watched.outdatedConfigurationSince = null;
    return false;
  }
  watched.outdatedConfigurationSince ??= now;
  return (
    now - watched.outdatedConfigurationSince >
    state.settings.tuning.leases.behindMs
  );
}

/**
 * Sends the external configuration to a member that still has an older one,
 * since it may be unable to read the source itself.
 */
function forwardConfiguration(context: OwnershipContext, to: MemberId): void {
  const {state, at} = context;
  const watched = state.watchedMembers.get(to);
  if (state.externalConfiguration === null || watched === undefined) return;
  if (watched.configuration >= state.externalConfiguration.number) {
    watched.outdatedConfigurationSince = null;
  } else watched.outdatedConfigurationSince ??= at.monotonic;
  if (watched.outdatedConfigurationSince === null) return;
  if (
    at.monotonic - watched.outdatedConfigurationSince <
    FORWARD_CONFIGURATION_AFTER_MS
  ) {
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
