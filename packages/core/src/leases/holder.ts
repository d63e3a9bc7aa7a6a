/**
 * @fileoverview The holder's side of leases: renewing the own lease at
 * grantors, choosing them, and writing the own row in the platform's table.
 */

import type {Instant} from '../clock/types.js';
import {timeLeftMs} from '../clock/logic.js';
import {hostOf} from '../ids/logic.js';
import type {MemberId} from '../ids/types.js';
import type {ControlMessage} from '../messages/types.js';
import {chooseGrantors} from '../membership/ring.js';
import {callStore, log, newWriteId, send} from '../ownership/effects.js';
import type {OwnershipContext, OwnershipState} from '../ownership/state.js';
import {currentRing, isRuleEnabled} from '../ownership/state.js';
import type {Row, StoreReply} from '../store/types.js';
import {possibleGrantors, currentLease, isUnexpired} from './logic.js';
import type {GrantorStatus, LeaseState, MemberRow, RowWrite} from './types.js';

/** Number of renewals without an answer that are kept. */
const MAX_PENDING_RENEWALS = 64;
/** Number of unresolved writes of the own row that are kept. */
const MAX_UNRESOLVED_WRITES = 8;
/** Time without an answer after which a grantor counts as silent. */
const GRANTOR_TIMEOUT_MS = 700;
/** Shortest time between two writes of the own row, before jitter. */
const MIN_ROW_WRITE_INTERVAL_MS = 300;
/**
 * Time without any answer after which a member counts as cut off. With 750
 * ms, a row write just before this bound restarted the time that the row has to
 * be unchanged for an eviction, and the slices of a member that was cut off
 * stayed unserved for up to 3.1 s; the target is 3 s.
 */
const CUT_OFF_TIMEOUT_MS = 650;
/**
 * Time for which a member that is cut off doesn't write its row: long enough
 * for the others to evict it.
 */
const ROW_PAUSE_MS = 3500;
/**
 * Time for which it then writes its row again, since it may be the only
 * survivor, until the next pause.
 */
const ROW_ACTIVE_MS = 15_000;
/** Time left of a lease below which the own row is written to extend it. */
const TOUCH_THRESHOLD_MS = 800;

/**
 * Maintains the own lease as time passes: renews it, probes silent grantors and
 * writes the own row to extend the lease or to change grantors.
 *
 * @param context - Context of the reducer step.
 */
export function maintainLease(context: OwnershipContext): void {
  const {state, at} = context;
  if (state.lease.revision === 0) return;
  dropExpiredLeases(state, at);
  recordLeaseChange(context);
  if (state.phase === 'left' || state.phase === 'ending') return;
  if (at.monotonic >= state.lease.nextRenewalAt) {
    if (isCutOff(state, at.monotonic)) probe(context);
    else renew(context);
  }
  probeSilentGrantors(context);
  writeRowIfDue(context);
}

/**
 * Handles a grantor's answer to a renewal.
 *
 * @param context - Context of the reducer step.
 * @param from - The grantor.
 * @param message - Its answer.
 */
export function handleRenewed(
  context: OwnershipContext,
  from: MemberId,
  message: Extract<ControlMessage, {kind: 'renewed'}>,
): void {
  const {lease} = context.state;
  const renewal = lease.pendingRenewals.get(message.round);
  if (renewal === undefined || renewal.to !== from) return;
  lease.pendingRenewals.delete(message.round);
  measureRenewalLatency(context, renewal.sentAt);
  const status = getOrAddGrantorStatus(lease, from);
  recordAnswered(lease, from, context.at.monotonic);
  if (message.granted) {
    const known = lease.grantedRenewals.get(from);
    if (known === undefined || known.monotonic < renewal.sentAt.monotonic) {
      lease.grantedRenewals.set(from, renewal.sentAt);
    }
    return;
  }
  if (message.reason === 'closed') status.closed = true;
}

function measureRenewalLatency(
  context: OwnershipContext,
  sentAt: Instant,
): void {
  const valueMs = context.at.monotonic - sentAt.monotonic;
  context.effects.push({kind: 'recordDuration', histogram: 'renewal', valueMs});
}

/**
 * Handles the platform's reply to a write of the own row.
 *
 * @param context - Context of the reducer step.
 * @param write - The write.
 * @param reply - The reply.
 */
export function handleOwnRowWritten(
  context: OwnershipContext,
  write: RowWrite,
  reply: StoreReply,
): void {
  const {state} = context;
  const {lease} = state;
  write.inFlight = false;
  switch (reply.kind) {
    case 'committed':
      applyOwnRow(context, reply.revision, write.grantors, write.sentAt);
      return;
    case 'conflict':
      if (!applyNewerOwnRow(context, reply.rows)) readOwnRow(context);
      return;
    case 'refused':
      lease.unresolvedWrites = lease.unresolvedWrites.filter(
        each => each !== write,
      );
      delayRowWrite(context);
      return;
    case 'unknown':
      delayRowWrite(context);
      return;
    case 'rows':
    case 'object':
    case 'stored':
      return;
  }
}

/**
 * Handles the platform's reply to a read of the own row. If it shows no newer
 * row, the log is read, since this member may have been ended.
 *
 * @param context - Context of the reducer step.
 * @param reply - The reply.
 */
export function handleOwnRowRead(
  context: OwnershipContext,
  reply: StoreReply,
): void {
  if (reply.kind !== 'rows') return;
  if (!applyNewerOwnRow(context, reply.rows)) {
    context.state.logReader.readNeeded = true;
  }
}

/**
 * Adopts a newer revision of the own row. No unresolved write can take effect
 * any more, since each is conditional on an older revision.
 *
 * @param context - Context of the reducer step.
 * @param revision - Revision of the row.
 * @param grantors - Grantors that the row names.
 * @param sentAt - When the write that made it was sent, or null if unknown.
 */
export function applyOwnRow(
  context: OwnershipContext,
  revision: number,
  grantors: readonly MemberId[],
  sentAt: Instant | null,
): void {
  const {lease} = context.state;
  if (revision <= lease.revision) return;
  if (lease.revision === 0) {
    lease.lastGrantedAt = context.at.monotonic;
    lease.lastAnsweredAt = context.at.monotonic;
  }
  const changed = grantors.join() !== lease.grantors.join();
  lease.revision = revision;
  lease.grantors = grantors;
  lease.unresolvedWrites = [];
  lease.failures = 0;
  if (sentAt !== null) lease.touchedAt = sentAt;
  if (!changed) return;
  lease.ringDiffersSince = null;
  lease.nextRenewalAt = context.at.monotonic;
  for (const grantor of [...lease.grantedRenewals.keys()]) {
    if (!grantors.includes(grantor)) lease.grantedRenewals.delete(grantor);
  }
  log(context, 'grantorsChanged', {grantors: grantors.join(' ')});
}

/**
 * Drops expired leases for good. After a freeze in which the monotonic clock
 * stood still, the wall clock may jump back, and an expired lease would look
 * valid again.
 */
function dropExpiredLeases(state: OwnershipState, at: Instant): void {
  const {lease} = state;
  const {leaseMs} = state.settings.tuning.leases;
  for (const [grantor, sent] of lease.grantedRenewals) {
    if (!isUnexpired(sent, at, leaseMs)) lease.grantedRenewals.delete(grantor);
  }
  const {touchedAt} = lease;
  if (touchedAt !== null && !isUnexpired(touchedAt, at, leaseMs)) {
    lease.touchedAt = null;
  }
}

/** Logs when the lease is lost or held again. */
function recordLeaseChange(context: OwnershipContext): void {
  const {state, at} = context;
  const {source} = currentLease(state, at);
  if (source === 'grantor') state.lease.lastGrantedAt = at.monotonic;
  const held = source !== 'none';
  if (held === state.lease.held) return;
  state.lease.held = held;
  log(context, held ? 'leaseHeld' : 'leaseLost', {source});
}

/** Sends a renewal to each grantor that the row names or may come to name. */
function renew(context: OwnershipContext): void {
  const {state, at} = context;
  const {lease, map} = state;
  lease.nextRenewalAt = at.monotonic + state.settings.tuning.leases.renewMs;
  for (const grantor of possibleGrantors(lease)) {
    if (!map.members.has(grantor)) continue;
    const round = lease.nextRound++;
    lease.pendingRenewals.set(round, {to: grantor, sentAt: at});
    getOrAddGrantorStatus(lease, grantor).unansweredSince ??= at.monotonic;
    send(context, grantor, {
      kind: 'renew',
      member: state.self,
      round,
      row: lease.revision,
      version: map.version,
      configuration: map.configuration?.number ?? 0,
    });
  }
  while (lease.pendingRenewals.size > MAX_PENDING_RENEWALS) {
    const oldest = lease.pendingRenewals.keys().next().value;
    if (oldest === undefined) return;
    lease.pendingRenewals.delete(oldest);
  }
}

/**
 * Marks grantors that owe an answer for too long as silent, and asks silent
 * ones from time to time, so that they are used again once they answer.
 */
function probeSilentGrantors(context: OwnershipContext): void {
  const {state, at} = context;
  const {lease, map} = state;
  for (const status of lease.grantorStatuses.values()) {
    const since = status.unansweredSince;
    if (since === null || at.monotonic - since < GRANTOR_TIMEOUT_MS) continue;
    status.unansweredSince = null;
    status.silentSince ??= at.monotonic;
  }
  if (at.monotonic < lease.nextProbeAt) return;
  lease.nextProbeAt = at.monotonic + state.settings.tuning.membership.probeMs;
  for (const [id, status] of lease.grantorStatuses) {
    if (status.silentSince === null) continue;
    send(context, id, {kind: 'pull', after: map.version});
  }
}

/**
 * Records that any message of a member arrived: it isn't silent.
 *
 * @param lease - State of the lease.
 * @param id - The sender.
 */
export function recordHeard(lease: LeaseState, id: MemberId): void {
  const status = lease.grantorStatuses.get(id);
  if (status !== undefined) status.silentSince = null;
}

/**
 * Records that a member answered a renewal or pull of this one.
 *
 * @param lease - State of the lease.
 * @param id - The member that answered.
 * @param now - Monotonic time, in milliseconds.
 */
export function recordAnswered(
  lease: LeaseState,
  id: MemberId,
  now: number,
): void {
  lease.lastAnsweredAt = now;
  const status = lease.grantorStatuses.get(id);
  if (status !== undefined) status.unansweredSince = null;
}

/**
 * Tells whether no member has answered for a while, though there are members
 * on other hosts. Such a member pulls from them in place of renewing (R9): a
 * renewal that arrives while its answer is lost would only keep the grantor
 * from closing this member.
 */
function isCutOff(state: OwnershipState, now: number): boolean {
  if (now - state.lease.lastAnsweredAt < CUT_OFF_TIMEOUT_MS) return false;
  return hasMembersOnOtherHosts(state);
}

function hasMembersOnOtherHosts(state: OwnershipState): boolean {
  const {host} = state.settings;
  for (const id of state.map.members.keys()) {
    if (hostOf(id) !== host) return true;
  }
  return false;
}

/**
 * Tells whether a member that is cut off stops writing its row (R9): first it
 * gives the others, if they live, time to evict it; then it goes on for a time,
 * since it may be the only survivor.
 */
function pausesRowWrites(state: OwnershipState, now: number): boolean {
  if (!isCutOff(state, now) || !isRuleEnabled(state, 'R9')) return false;
  const cutOffMs = now - state.lease.lastAnsweredAt - CUT_OFF_TIMEOUT_MS;
  return cutOffMs % (ROW_PAUSE_MS + ROW_ACTIVE_MS) < ROW_PAUSE_MS;
}

/**
 * Tells whether a member may offer its backend server: a grantor's lease is
 * valid, or there is no member on another host, or it is cut off and goes on as
 * a possible survivor. A member that reaches only the platform would otherwise
 * be given slices that nobody could reach.
 *
 * @param state - State of ownership.
 * @param at - The present instant.
 * @returns Whether it may offer the server.
 */
export function mayOffer(state: OwnershipState, at: Instant): boolean {
  if (currentLease(state, at).source === 'grantor') return true;
  const now = at.monotonic;
  if (isCutOff(state, now)) return !pausesRowWrites(state, now);
  return !hasMembersOnOtherHosts(state);
}

/**
 * Asks current and next possible grantors for entries, to find who answers.
 */
function probe(context: OwnershipContext): void {
  const {state, at} = context;
  const {lease, map} = state;
  lease.nextRenewalAt = at.monotonic + state.settings.tuning.leases.renewMs;
  const targets = new Set(possibleGrantors(lease));
  const ring = currentRing(state);
  for (const id of chooseGrantors(map, ring, state.self, targets)) {
    targets.add(id);
  }
  for (const id of chooseOwnGrantors(state)) targets.add(id);
  for (const id of targets) {
    getOrAddGrantorStatus(lease, id).unansweredSince ??= at.monotonic;
    send(context, id, {kind: 'pull', after: map.version});
  }
}

/**
 * Tells whether no member is left that would grant this incarnation: every one
 * on another host is silent or has closed it, and at least one has closed it.
 * The member then has to end itself and join anew (R7).
 *
 * @param state - State of ownership.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether this incarnation has to end itself; false while a grantor's
 * lease was valid within `closedOutMs`.
 */
export function isClosedOut(state: OwnershipState, now: number): boolean {
  const {lease, map, settings} = state;
  if (now - lease.lastGrantedAt < settings.tuning.membership.closedOutMs) {
    return false;
  }
  let closed = false;
  for (const id of map.members.keys()) {
    if (hostOf(id) === settings.host) continue;
    const status = lease.grantorStatuses.get(id);
    if (status?.closed === true) closed = true;
    else if (status === undefined || status.silentSince === null) {
      return false;
    }
  }
  return closed;
}

function writeRowIfDue(context: OwnershipContext): void {
  const {state, at} = context;
  const {lease} = state;
  const now = at.monotonic;
  if (now < lease.nextRowWriteAt || pausesRowWrites(state, now)) return;
  if (lease.unresolvedWrites.some(write => write.inFlight)) return;
  const wanted = chooseOwnGrantors(state);
  const lost = lease.grantors.some(id => !isUsable(state, id));
  const differs = wanted.join() !== lease.grantors.join();
  const replacesLostGrantor = lost && differs;
  const unresolved = lease.unresolvedWrites.length > 0;
  if (
    replacesLostGrantor ||
    unresolved ||
    needsTouch(state, at) ||
    isRingChangeDue(context, differs)
  ) {
    writeOwnRow(context, wanted);
  }
}

function needsTouch(state: OwnershipState, at: Instant): boolean {
  const held = currentLease(state, at);
  if (held.source === 'none') return true;
  return timeLeftMs(held.until, at) < TOUCH_THRESHOLD_MS;
}

/** Tells whether the ring has named other grantors for `followRingMs`. */
function isRingChangeDue(context: OwnershipContext, differs: boolean): boolean {
  const {state, at} = context;
  const {lease} = state;
  if (!differs) lease.ringDiffersSince = null;
  else lease.ringDiffersSince ??= at.monotonic + context.random() * 1000;
  if (lease.ringDiffersSince === null) return false;
  const waitMs = state.settings.tuning.membership.followRingMs;
  return at.monotonic - lease.ringDiffersSince > waitMs;
}

/**
 * Chooses grantors from the ring without those that are silent or have closed
 * this member; if none is left, only without the latter.
 */
function chooseOwnGrantors(state: OwnershipState): MemberId[] {
  const excluded = new Set<MemberId>();
  for (const id of state.lease.grantorStatuses.keys()) {
    if (!isUsable(state, id)) excluded.add(id);
  }
  const ring = currentRing(state);
  const chosen = chooseGrantors(state.map, ring, state.self, excluded);
  if (chosen.length > 0) return chosen;
  return chooseGrantors(
    state.map,
    ring,
    state.self,
    grantorsThatClosed(state.lease),
  );
}

function isUsable(state: OwnershipState, id: MemberId): boolean {
  if (!state.map.members.has(id)) return false;
  const status = state.lease.grantorStatuses.get(id);
  if (status === undefined) return true;
  return !status.closed && status.silentSince === null;
}

function grantorsThatClosed(lease: LeaseState): Set<MemberId> {
  const closed = new Set<MemberId>();
  for (const [id, status] of lease.grantorStatuses) {
    if (status.closed) closed.add(id);
  }
  return closed;
}

function writeOwnRow(
  context: OwnershipContext,
  grantors: readonly MemberId[],
): void {
  const {state, at} = context;
  const {lease, keys, self, settings} = state;
  const write: RowWrite = {
    writeId: newWriteId(context),
    grantors,
    sentAt: at,
    inFlight: true,
  };
  lease.unresolvedWrites.push(write);
  if (lease.unresolvedWrites.length > MAX_UNRESOLVED_WRITES) {
    mergeOldestWrites(lease);
  }
  lease.nextRowWriteAt = at.monotonic + touchIntervalMs(context);
  const row: MemberRow = {
    member: self,
    zone: settings.zone,
    address: settings.address,
    grantors,
    writeId: write.writeId,
  };
  const key = keys.member(self);
  callStore(
    context,
    {kind: 'rowWrite', write},
    {
      kind: 'commit',
      transaction: {
        writeId: write.writeId,
        checks: [{key, revision: lease.revision}],
        puts: [{key, value: JSON.stringify(row)}],
      },
    },
  );
}

/**
 * Merges the two oldest unresolved writes into one that names only the grantors
 * common to both, so that no grantor counts that one of them doesn't name (R3).
 */
function mergeOldestWrites(lease: LeaseState): void {
  const [oldest, next, ...rest] = lease.unresolvedWrites;
  const common = next.grantors.filter(id => oldest.grantors.includes(id));
  lease.unresolvedWrites = [{...next, grantors: common}, ...rest];
}

/**
 * Returns the time until the next row write. The writes of all members together
 * stay within `touchesPerSecond`, which the platform allows.
 */
function touchIntervalMs(context: OwnershipContext): number {
  const {state} = context;
  const writesPerSecond = state.settings.tuning.membership.touchesPerSecond;
  const shareMs = (state.map.members.size / writesPerSecond) * 1000;
  const jitter = 0.8 + 0.4 * context.random();
  return Math.max(MIN_ROW_WRITE_INTERVAL_MS, shareMs) * jitter;
}

function delayRowWrite(context: OwnershipContext): void {
  const {state, at} = context;
  const {lease} = state;
  lease.failures += 1;
  const maxMs = state.settings.tuning.store.maxBackoffMs / 2;
  const waitMs = Math.min(maxMs, 200 * 2 ** Math.min(lease.failures, 6));
  const until = at.monotonic + waitMs * (0.5 + context.random());
  lease.nextRowWriteAt = Math.max(lease.nextRowWriteAt, until);
}

/**
 * Reads the own row from the platform.
 *
 * @param context - Context of the reducer step.
 */
export function readOwnRow(context: OwnershipContext): void {
  const {state} = context;
  const key = state.keys.member(state.self);
  callStore(
    context,
    {kind: 'rowRead'},
    {kind: 'read', query: {kind: 'row', key}},
  );
}

/**
 * Adopts the own row if the platform's rows have it at a newer revision.
 *
 * @param context - Context of the reducer step.
 * @param rows - Rows of a platform's reply.
 * @returns Whether a newer revision was among them.
 */
export function applyNewerOwnRow(
  context: OwnershipContext,
  rows: readonly Row[],
): boolean {
  const {state} = context;
  const {lease} = state;
  const key = state.keys.member(state.self);
  const row = rows.find(each => each.key === key);
  if (row === undefined || row.revision <= lease.revision) return false;
  const value = JSON.parse(row.value) as MemberRow;
  const own = lease.unresolvedWrites.find(
    write => write.writeId === value.writeId,
  );
  applyOwnRow(context, row.revision, value.grantors, own?.sentAt ?? null);
  return true;
}

function getOrAddGrantorStatus(lease: LeaseState, id: MemberId): GrantorStatus {
  let status = lease.grantorStatuses.get(id);
  if (status === undefined) {
    status = {unansweredSince: null, silentSince: null, closed: false};
    lease.grantorStatuses.set(id, status);
  }
  return status;
}
