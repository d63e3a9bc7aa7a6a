/**
 * @fileoverview The holder's side of leases: renewing this member's lease at
 * grantors, choosing them, and writing this member's row in the store.
 */

import type {Instant} from '../clock/types.js';
import {timeLeftMs} from '../clock/logic.js';
import {hostOf} from '../ids/logic.js';
import type {MemberId} from '../ids/types.js';
import {nextVersion} from '../log/logic.js';
import type {ControlMessage} from '../messages/types.js';
import {chooseGrantors} from '../membership/ring.js';
import {callStore, log, newWriteId, send} from '../ownership/effects.js';
import type {OwnershipContext, OwnershipState} from '../ownership/state.js';
import {currentRing, isRuleEnabled} from '../ownership/state.js';
import {
  ROW_RENEWAL_THRESHOLD_MS,
  partitionTimeoutMs,
} from '../settings/lease_times.js';
import {NO_ERA} from '../restore/era.js';
import type {RowCheck, StoreReply} from '../store/types.js';
import {
  possibleGrantors,
  currentLease,
  isUnexpired,
  storedRevision,
} from './logic.js';
import {
  applyNewerOwnRow,
  applyOwnRow,
  rankOfRow,
  readOwnRow,
} from './own_row.js';
import {MAX_FOLLOW_DELAY_MS} from './state.js';
import type {GrantorStatus, LeaseState, MemberRow, RowWrite} from './types.js';

/** Maximum number of renewals without a reply that are kept. */
const MAX_PENDING_RENEWALS = 64;
/** Maximum number of row writes with an unknown outcome that are kept. */
const MAX_UNRESOLVED_WRITES = 8;
/** Time without a reply after which a grantor counts as silent. */
const GRANTOR_TIMEOUT_MS = 700;
/** Minimum time between two writes of this member's row, before jitter. */
const MIN_ROW_WRITE_INTERVAL_MS = 300;
/**
 * Time for which a partitioned member doesn't write its row: long enough for
 * the others to evict it. It alternates with `ROW_ACTIVE_MS`.
 */
const ROW_PAUSE_MS = 3500;
/**
 * Time between two pauses for which a partitioned member writes its row again,
 * since all others may have failed.
 */
const ROW_ACTIVE_MS = 15_000;

/**
 * Maintains this member's lease as time passes: renews it, probes silent
 * grantors and writes this member's row to extend the lease or to change
 * grantors.
 *
 * @param context - Context of the current input.
 */
export function maintainLease(context: OwnershipContext): void {
  const {state, at} = context;
  if (rankOfRow(state.lease) === 0) return;
  dropExpiredLeases(state, at);
  recordLeaseChange(context);
  if (state.phase === 'left' || state.phase === 'ending') return;
  if (at.monotonic >= state.lease.nextRenewalAt) {
    if (isPartitioned(state, at.monotonic)) checkConnectivity(context);
    else renew(context);
  }
  probeSilentGrantors(context);
  writeRowIfDue(context);
}

/**
 * Handles a grantor's reply to a renewal.
 *
 * @param context - Context of the current input.
 * @param from - The grantor.
 * @param message - Its reply.
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
  recordReply(lease, from, context.at.monotonic);
  if (message.granted) {
    const known = lease.grantedRenewals.get(from);
    if (known === undefined || known.monotonic < renewal.sentAt.monotonic) {
      lease.grantedRenewals.set(from, renewal.sentAt);
      context.state.runTasksNow = true;
    }
    return;
  }
  if (message.reason === 'closed') status.revoked = true;
}

function measureRenewalLatency(
  context: OwnershipContext,
  sentAt: Instant,
): void {
  const valueMs = context.at.monotonic - sentAt.monotonic;
  context.effects.push({kind: 'recordDuration', histogram: 'renewal', valueMs});
}

/**
 * Handles the store's reply to a write of this member's row.
 *
 * @param context - Context of the current input.
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
      applyOwnRow(
        context,
        {
          revision: reply.revision,
          era: state.restore.era,
          writtenEra: write.era,
        },
        write.grantors,
        write.sentAt,
      );
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
 * Drops expired leases permanently. Otherwise an expired one could look valid
 * again: after a suspend in which the monotonic clock stood still, the wall
 * clock may be set back.
 */
function dropExpiredLeases(state: OwnershipState, at: Instant): void {
  const {lease} = state;
  const {leaseMs} = state.settings.tuning.leases;
  for (const [grantor, sent] of lease.grantedRenewals) {
    if (!isUnexpired(sent, at, leaseMs)) lease.grantedRenewals.delete(grantor);
  }
  const {rowLeaseStart} = lease;
  if (rowLeaseStart !== null && !isUnexpired(rowLeaseStart, at, leaseMs)) {
    lease.rowLeaseStart = null;
  }
}

/** Logs that the lease was lost, or is held again. */
function recordLeaseChange(context: OwnershipContext): void {
  const {state, at} = context;
  const {source} = currentLease(state, at);
  if (source === 'grantor') state.lease.lastGrantedAt = at.monotonic;
  const held = source !== 'none';
  if (!held) state.restore.leaseKept = false;
  if (held === state.lease.held) return;
  state.lease.held = held;
  log(context, held ? 'leaseHeld' : 'leaseLost', {source});
}

/**
 * Sends a renewal to each grantor that the row names, or may name once the
 * outcome of its unresolved writes is known.
 */
function renew(context: OwnershipContext): void {
  const {state, at} = context;
  const {lease, map} = state;
  lease.nextRenewalAt = at.monotonic + state.settings.tuning.leases.renewMs;
  for (const grantor of possibleGrantors(lease)) {
    if (!map.members.has(grantor)) continue;
    const round = lease.nextRound++;
    lease.pendingRenewals.set(round, {to: grantor, sentAt: at});
    getOrAddGrantorStatus(lease, grantor).awaitingReplySince ??= at.monotonic;
    send(context, grantor, {
      kind: 'renew',
      member: state.self,
      round,
      row: rankOfRow(lease),
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
 * Marks grantors that have not replied in time as silent, and probes silent
 * ones from time to time, so that they are used again once they reply.
 */
function probeSilentGrantors(context: OwnershipContext): void {
  const {state, at} = context;
  const {lease, map} = state;
  for (const status of lease.grantorStatuses.values()) {
    const since = status.awaitingReplySince;
    if (since === null || at.monotonic - since < GRANTOR_TIMEOUT_MS) continue;
    status.awaitingReplySince = null;
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
 * Records that a message from a member arrived, so it isn't silent.
 *
 * @param lease - State of the lease.
 * @param id - The sender.
 */
export function recordHeard(lease: LeaseState, id: MemberId): void {
  const status = lease.grantorStatuses.get(id);
  if (status !== undefined) status.silentSince = null;
}

/**
 * Records that a member replied to a renewal or pull, or pushed entries.
 *
 * @param lease - State of the lease.
 * @param id - The sender.
 * @param now - Monotonic time, in milliseconds.
 */
export function recordReply(
  lease: LeaseState,
  id: MemberId,
  now: number,
): void {
  lease.lastReplyAt = now;
  const status = lease.grantorStatuses.get(id);
  if (status !== undefined) status.awaitingReplySince = null;
}

/**
 * Returns whether this member is partitioned: it has had no reply for a while,
 * though there are members on other hosts. It then pulls from them instead of
 * renewing (R9): if messages are lost in one direction only, its renewals would
 * keep grantors from revoking it, while their replies never arrive.
 */
function isPartitioned(state: OwnershipState, now: number): boolean {
  const timeoutMs = partitionTimeoutMs(state.settings.tuning);
  if (now - state.lease.lastReplyAt < timeoutMs) return false;
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
 * Returns whether a partitioned member pauses its row writes. It alternates:
 * for `ROW_PAUSE_MS` it lets the others evict it, if they are alive; then it
 * writes for `ROW_ACTIVE_MS`, since all others may have failed (R9).
 */
function pausesRowWrites(state: OwnershipState, now: number): boolean {
  if (!isPartitioned(state, now) || !isRuleEnabled(state, 'R9')) return false;
  const timeoutMs = partitionTimeoutMs(state.settings.tuning);
  const partitionedMs = now - state.lease.lastReplyAt - timeoutMs;
  return partitionedMs % (ROW_PAUSE_MS + ROW_ACTIVE_MS) < ROW_PAUSE_MS;
}

/**
 * Returns whether a member may offer its backend server. One of these has to
 * hold: it has a valid lease from a grantor; no member is on another host; it
 * is partitioned and writes its row, since all others may have failed. A member
 * that reaches the store but no other member must not get slices otherwise,
 * since no one could reach them.
 *
 * @param state - State of ownership.
 * @param at - The present instant.
 * @returns Whether it may offer the server.
 */
export function mayOfferServer(state: OwnershipState, at: Instant): boolean {
  if (currentLease(state, at).source === 'grantor') return true;
  const now = at.monotonic;
  if (isPartitioned(state, now)) return !pausesRowWrites(state, now);
  return !hasMembersOnOtherHosts(state);
}

/**
 * Sends `pull` to current and candidate grantors, to find out who replies.
 */
function checkConnectivity(context: OwnershipContext): void {
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
    getOrAddGrantorStatus(lease, id).awaitingReplySince ??= at.monotonic;
    send(context, id, {kind: 'pull', after: map.version});
  }
}

/**
 * Returns whether every member on another host is silent or has revoked this
 * incarnation, and at least one has revoked it; one is enough if all others are
 * silent. The member then has to remove itself from the workspace and join
 * again (R7).
 *
 * @param state - State of ownership.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether that is so; always false if a grantor's lease was valid
 * within the last `closedOutMs`.
 */
export function isRevokedByAll(state: OwnershipState, now: number): boolean {
  const {lease, map, settings} = state;
  if (now - lease.lastGrantedAt < settings.tuning.membership.closedOutMs) {
    return false;
  }
  let revoked = false;
  for (const id of map.members.keys()) {
    if (hostOf(id) === settings.host) continue;
    const status = lease.grantorStatuses.get(id);
    if (status?.revoked === true) revoked = true;
    else if (status === undefined || status.silentSince === null) {
      return false;
    }
  }
  return revoked;
}

function writeRowIfDue(context: OwnershipContext): void {
  const {state, at} = context;
  const {lease} = state;
  const now = at.monotonic;
  if (now < lease.nextRowWriteAt || pausesRowWrites(state, now)) return;
  if (lease.unresolvedWrites.some(write => write.inFlight)) return;
  if (lease.revisionEra < state.restore.era) {
    lease.nextRowWriteAt = now + rowWriteIntervalMs(context);
    readOwnRow(context);
    return;
  }
  const preferred = chooseOwnGrantors(state);
  const hasUnusableGrantor = lease.grantors.some(id => !isUsable(state, id));
  const grantorsDiffer = preferred.join() !== lease.grantors.join();
  const replacesUnusableGrantor = hasUnusableGrantor && grantorsDiffer;
  const unresolved = lease.unresolvedWrites.length > 0;
  if (
    replacesUnusableGrantor ||
    unresolved ||
    lease.writtenEra < state.restore.era ||
    needsRowRenewal(state, at) ||
    isGrantorChangeDue(context, grantorsDiffer)
  ) {
    writeOwnRow(context, preferred);
  }
}

function needsRowRenewal(state: OwnershipState, at: Instant): boolean {
  const current = currentLease(state, at);
  if (current.source === 'none') return true;
  return timeLeftMs(current.until, at) < ROW_RENEWAL_THRESHOLD_MS;
}

/**
 * Returns whether the ring has named grantors other than the row's for
 * `followRingMs` and a random delay of up to `MAX_FOLLOW_DELAY_MS`.
 */
function isGrantorChangeDue(
  context: OwnershipContext,
  grantorsDiffer: boolean,
): boolean {
  const {state, at} = context;
  const {lease} = state;
  if (!grantorsDiffer) lease.grantorChangePendingSince = null;
  else {
    const delayMs = context.random() * MAX_FOLLOW_DELAY_MS;
    lease.grantorChangePendingSince ??= at.monotonic + delayMs;
  }
  if (lease.grantorChangePendingSince === null) return false;
  const waitMs = state.settings.tuning.membership.followRingMs;
  return at.monotonic - lease.grantorChangePendingSince > waitMs;
}

/**
 * Chooses grantors from the ring, excluding those that are silent or have
 * revoked this member; if none is left, excluding only the latter.
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
    grantorsThatRevoked(state.lease),
  );
}

function isUsable(state: OwnershipState, id: MemberId): boolean {
  if (!state.map.members.has(id)) return false;
  const status = state.lease.grantorStatuses.get(id);
  if (status === undefined) return true;
  return !status.revoked && status.silentSince === null;
}

function grantorsThatRevoked(lease: LeaseState): Set<MemberId> {
  const revoked = new Set<MemberId>();
  for (const [id, status] of lease.grantorStatuses) {
    if (status.revoked) revoked.add(id);
  }
  return revoked;
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
    era: state.restore.era,
    inFlight: true,
  };
  lease.unresolvedWrites.push(write);
  if (lease.unresolvedWrites.length > MAX_UNRESOLVED_WRITES) {
    mergeOldestWrites(lease);
  }
  lease.nextRowWriteAt = at.monotonic + rowWriteIntervalMs(context);
  const row: MemberRow = {
    member: self,
    zone: settings.zone,
    address: settings.address,
    grantors,
    writeId: write.writeId,
    ...(write.era === NO_ERA ? {} : {era: write.era}),
  };
  const key = keys.member(self);
  callStore(
    context,
    {kind: 'rowWrite', write},
    {
      kind: 'commit',
      transaction: {
        writeId: write.writeId,
        checks: [
          {key, revision: storedRevision(lease)},
          ...(lease.rowLost ? checksOfNewestEntry(state) : []),
        ],
        puts: [{key, value: JSON.stringify(row)}],
      },
    },
  );
}

/**
 * Returns conditions that hold only if no entry follows those that this daemon
 * has applied. Under them a member may write its row anew that a restored store
 * has lost: it has not been ended, and can't be without its new row.
 */
function checksOfNewestEntry({keys, map}: OwnershipState): RowCheck[] {
  return [
    {key: keys.log(map.version), revision: map.revision},
    {key: keys.log(nextVersion(map.version)), revision: 0},
  ];
}

/**
 * Merges the two oldest unresolved writes into one that names only the grantors
 * common to both. A grantor counts only if every unresolved write names it, so
 * the merged one lets no further grantor count (R3).
 */
function mergeOldestWrites(lease: LeaseState): void {
  const [oldest, next, ...rest] = lease.unresolvedWrites;
  const common = next.grantors.filter(id => oldest.grantors.includes(id));
  lease.unresolvedWrites = [{...next, grantors: common}, ...rest];
}

/**
 * Returns the time until the next row write. It grows with the number of
 * members, so that the writes of all of them together stay near the rate limit
 * of the store, `touchesPerSecond`.
 */
function rowWriteIntervalMs(context: OwnershipContext): number {
  const {state} = context;
  const writesPerSecond = state.settings.tuning.membership.touchesPerSecond;
  const shareMs = (state.map.members.size / writesPerSecond) * 1000;
  const jitter = 0.8 + 0.4 * context.random();
  return Math.max(MIN_ROW_WRITE_INTERVAL_MS, shareMs) * jitter;
}

/**
 * Delays the next row write after one that was refused or whose outcome is
 * unknown. The delay doubles with each such write from 400 ms up to half of
 * `maxBackoffMs`, and is then multiplied by 0.5 to 1.5 at random.
 */
function delayRowWrite(context: OwnershipContext): void {
  const {state, at} = context;
  const {lease} = state;
  lease.rowWriteFailures += 1;
  const maxMs = state.settings.tuning.store.maxBackoffMs / 2;
  const waitMs = Math.min(
    maxMs,
    200 * 2 ** Math.min(lease.rowWriteFailures, 6),
  );
  const until = at.monotonic + waitMs * (0.5 + context.random());
  lease.nextRowWriteAt = Math.max(lease.nextRowWriteAt, until);
}

function getOrAddGrantorStatus(lease: LeaseState, id: MemberId): GrantorStatus {
  let status = lease.grantorStatuses.get(id);
  if (status === undefined) {
    status = {awaitingReplySince: null, silentSince: null, revoked: false};
    lease.grantorStatuses.set(id, status);
  }
  return status;
}
