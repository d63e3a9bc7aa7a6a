/** @fileoverview Renewing the own lease and writing the own row (R3, R7, R8). */

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

/** Renewal rounds that are remembered. */
const REMEMBERED_ROUNDS = 64;
/** Unresolved writes whose ids are remembered. */
const REMEMBERED_WRITES = 8;
/** Time without an answer after which a grantor counts as silent. */
const SILENT_MS = 700;
/** Least time between two writes of the own row. */
const WRITE_GAP_MS = 300;
/** Time without any answer after which a member counts as cut off. */
const UNANSWERED_MS = 650;
/** Time for which a member that is cut off leaves its row alone. */
const QUIET_MS = 3500;
/** Time for which it then goes on before it leaves the row alone again. */
const SURVIVOR_MS = 15_000;
/** Life left of a lease below which it is touched. */
const TOUCH_BELOW_MS = 800;

/**
 * Renews, touches and changes grantors as time passes.
 *
 * @param context - The step.
 */
export function maintainLease(context: OwnershipContext): void {
  const {state, at} = context;
  if (state.lease.revision === 0) return;
  dropLapsed(state, at);
  noteStanding(context);
  if (state.phase === 'left' || state.phase === 'ending') return;
  if (at.monotonic >= state.lease.nextRenewalAt) {
    if (isCutOff(state, at.monotonic)) probe(context);
    else renew(context);
  }
  markSilent(context);
  writeRowIfDue(context);
}

/**
 * Takes a grantor's answer to a renewal.
 *
 * @param context - The step.
 * @param from - The grantor.
 * @param message - Its answer.
 */
export function handleRenewed(
  context: OwnershipContext,
  from: MemberId,
  message: Extract<ControlMessage, {kind: 'renewed'}>,
): void {
  const {lease} = context.state;
  const round = lease.pendingRenewals.get(message.round);
  if (round === undefined || round.to !== from) return;
  lease.pendingRenewals.delete(message.round);
  measureRenewal(context, round.sentAt);
  const contact = contactOf(lease, from);
  recordAnswered(lease, from, context.at.monotonic);
  if (message.granted) {
    const known = lease.grantedRenewals.get(from);
    if (known === undefined || known.monotonic < round.sentAt.monotonic) {
      lease.grantedRenewals.set(from, round.sentAt);
    }
    return;
  }
  if (message.reason === 'closed') contact.closed = true;
}

function measureRenewal(context: OwnershipContext, sentAt: Instant): void {
  const valueMs = context.at.monotonic - sentAt.monotonic;
  context.effects.push({kind: 'measure', histogram: 'renewal', valueMs});
}

/**
 * Takes the reply to a write of the own row.
 *
 * @param context - The step.
 * @param write - The write.
 * @param answer - The platform's reply.
 */
export function handleOwnRowWritten(
  context: OwnershipContext,
  write: RowWrite,
  answer: StoreReply,
): void {
  const {state} = context;
  const {lease} = state;
  write.inFlight = false;
  switch (answer.kind) {
    case 'committed':
      applyOwnRow(context, answer.revision, write.grantors, write.sentAt);
      return;
    case 'conflict':
      if (!applyNewerOwnRow(context, answer.rows)) readOwnRow(context);
      return;
    case 'refused':
      lease.unresolvedWrites = lease.unresolvedWrites.filter(
        each => each !== write,
      );
      postpone(context);
      return;
    case 'unknown':
      postpone(context);
      return;
    case 'rows':
    case 'object':
    case 'stored':
      return;
  }
}

/**
 * Takes the reply to a read of the own row.
 *
 * @param context - The step.
 * @param answer - The platform's reply.
 */
export function handleOwnRowRead(
  context: OwnershipContext,
  answer: StoreReply,
): void {
  if (answer.kind !== 'rows') return;
  if (!applyNewerOwnRow(context, answer.rows)) {
    context.state.logReader.readNeeded = true;
  }
}

/**
 * Settles what the own row says.
 *
 * @param context - The step.
 * @param revision - Its revision.
 * @param grantors - Its grantors.
 * @param sentAt - When the write that made it was sent, if it is ours.
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
 * Forgets promises that were seen to lapse: after a freeze in which the
 * monotonic clock stood still, the wall clock may yet jump back.
 */
function dropLapsed(state: OwnershipState, at: Instant): void {
  const {lease} = state;
  const {leaseMs} = state.settings.tuning.leases;
  for (const [grantor, sent] of lease.grantedRenewals) {
    if (!isUnexpired(sent, at, leaseMs)) lease.grantedRenewals.delete(grantor);
  }
  const {touchedAt: touched} = lease;
  if (touched !== null && !isUnexpired(touched, at, leaseMs)) {
    lease.touchedAt = null;
  }
}

function noteStanding(context: OwnershipContext): void {
  const {state, at} = context;
  const {source} = currentLease(state, at);
  if (source === 'grantor') state.lease.lastGrantedAt = at.monotonic;
  const held = source !== 'none';
  if (held === state.lease.held) return;
  state.lease.held = held;
  log(context, held ? 'leaseHeld' : 'leaseLost', {source});
}

function renew(context: OwnershipContext): void {
  const {state, at} = context;
  const {lease, map} = state;
  lease.nextRenewalAt = at.monotonic + state.settings.tuning.leases.renewMs;
  for (const grantor of possibleGrantors(lease)) {
    if (!map.members.has(grantor)) continue;
    const round = lease.nextRound++;
    lease.pendingRenewals.set(round, {to: grantor, sentAt: at});
    contactOf(lease, grantor).unansweredSince ??= at.monotonic;
    send(context, grantor, {
      kind: 'renew',
      member: state.self,
      round,
      row: lease.revision,
      version: map.version,
      configuration: map.configuration?.number ?? 0,
    });
  }
  while (lease.pendingRenewals.size > REMEMBERED_ROUNDS) {
    const oldest = lease.pendingRenewals.keys().next().value;
    if (oldest === undefined) return;
    lease.pendingRenewals.delete(oldest);
  }
}

function markSilent(context: OwnershipContext): void {
  const {state, at} = context;
  const {lease, map} = state;
  for (const contact of lease.grantorStatuses.values()) {
    const since = contact.unansweredSince;
    if (since === null || at.monotonic - since < SILENT_MS) continue;
    contact.unansweredSince = null;
    contact.silentSince ??= at.monotonic;
  }
  if (at.monotonic < lease.nextProbeAt) return;
  lease.nextProbeAt = at.monotonic + state.settings.tuning.membership.probeMs;
  for (const [id, contact] of lease.grantorStatuses) {
    if (contact.silentSince === null) continue;
    send(context, id, {kind: 'pull', after: map.version});
  }
}

/**
 * Notes that a peer was heard.
 *
 * @param lease - The lease.
 * @param id - The peer.
 */
export function recordHeard(lease: LeaseState, id: MemberId): void {
  const contact = lease.grantorStatuses.get(id);
  if (contact !== undefined) contact.silentSince = null;
}

/**
 * Notes that a peer answered something this member sent.
 *
 * @param lease - The lease.
 * @param id - The peer.
 * @param now - Monotonic time, in milliseconds.
 */
export function recordAnswered(
  lease: LeaseState,
  id: MemberId,
  now: number,
): void {
  lease.lastAnsweredAt = now;
  const contact = lease.grantorStatuses.get(id);
  if (contact !== undefined) contact.unansweredSince = null;
}

/**
 * Whether no peer has answered for a while, though there are others. Such a
 * member asks its peers in place of renewing: a renewal that arrives while its
 * answer is lost would only keep the grantor from closing.
 */
function isCutOff(state: OwnershipState, now: number): boolean {
  if (now - state.lease.lastAnsweredAt < UNANSWERED_MS) return false;
  return hasOthers(state);
}

function hasOthers(state: OwnershipState): boolean {
  const {host} = state.settings;
  for (const id of state.map.members.keys()) {
    if (hostOf(id) !== host) return true;
  }
  return false;
}

/**
 * Whether a member that is cut off leaves its row alone (R9): for a while it
 * gives the others, if they live, time to end it; then it goes on, since it may
 * be the only survivor.
 */
function leavesRowQuiet(state: OwnershipState, now: number): boolean {
  if (!isCutOff(state, now) || !isRuleEnabled(state, 'R9')) return false;
  const cutOffMs = now - state.lease.lastAnsweredAt - UNANSWERED_MS;
  return cutOffMs % (QUIET_MS + SURVIVOR_MS) < QUIET_MS;
}

/**
 * Tells whether a member may offer its backend server: it is granted, or there
 * is nobody else, or it goes on as a survivor. One that reaches only the
 * platform would be given slices that no other member could reach.
 *
 * @param state - The state.
 * @param at - The present instant.
 * @returns Whether an offer makes sense.
 */
export function mayOffer(state: OwnershipState, at: Instant): boolean {
  if (currentLease(state, at).source === 'grantor') return true;
  const now = at.monotonic;
  if (isCutOff(state, now)) return !leavesRowQuiet(state, now);
  return !hasOthers(state);
}

/** Asks the present and the next possible grantors for any answer. */
function probe(context: OwnershipContext): void {
  const {state, at} = context;
  const {lease, map} = state;
  lease.nextRenewalAt = at.monotonic + state.settings.tuning.leases.renewMs;
  const asked = new Set(possibleGrantors(lease));
  const ring = currentRing(state);
  for (const id of chooseGrantors(map, ring, state.self, asked)) asked.add(id);
  for (const id of wantedGrantors(state)) asked.add(id);
  for (const id of asked) {
    contactOf(lease, id).unansweredSince ??= at.monotonic;
    send(context, id, {kind: 'pull', after: map.version});
  }
}

/**
 * Tells whether no member is left that may grant this incarnation, because
 * those that can be heard have closed it (R7).
 *
 * @param state - The state.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether this incarnation has to end itself.
 */
export function isClosedOut(state: OwnershipState, now: number): boolean {
  const {lease, map, settings} = state;
  if (now - lease.lastGrantedAt < settings.tuning.membership.closedOutMs) {
    return false;
  }
  let closed = false;
  for (const id of map.members.keys()) {
    if (hostOf(id) === settings.host) continue;
    const contact = lease.grantorStatuses.get(id);
    if (contact?.closed === true) closed = true;
    else if (contact === undefined || contact.silentSince === null) {
      return false;
    }
  }
  return closed;
}

function writeRowIfDue(context: OwnershipContext): void {
  const {state, at} = context;
  const {lease} = state;
  const now = at.monotonic;
  if (now < lease.nextRowWriteAt || leavesRowQuiet(state, now)) return;
  if (lease.unresolvedWrites.some(write => write.inFlight)) return;
  const wanted = wantedGrantors(state);
  const lost = lease.grantors.some(id => !usable(state, id));
  const differs = wanted.join() !== lease.grantors.join();
  const urgent = lost && differs;
  const unsettled = lease.unresolvedWrites.length > 0;
  if (
    urgent ||
    unsettled ||
    needsTouch(state, at) ||
    followsRing(context, differs)
  ) {
    writeRow(context, wanted);
  }
}

function needsTouch(state: OwnershipState, at: Instant): boolean {
  const held = currentLease(state, at);
  if (held.source === 'none') return true;
  return timeLeftMs(held.until, at) < TOUCH_BELOW_MS;
}

function followsRing(context: OwnershipContext, differs: boolean): boolean {
  const {state, at} = context;
  const {lease} = state;
  if (!differs) lease.ringDiffersSince = null;
  else lease.ringDiffersSince ??= at.monotonic + context.random() * 1000;
  if (lease.ringDiffersSince === null) return false;
  const waitMs = state.settings.tuning.membership.followRingMs;
  return at.monotonic - lease.ringDiffersSince > waitMs;
}

function wantedGrantors(state: OwnershipState): MemberId[] {
  const passedOver = new Set<MemberId>();
  for (const id of state.lease.grantorStatuses.keys()) {
    if (!usable(state, id)) passedOver.add(id);
  }
  const ring = currentRing(state);
  const chosen = chooseGrantors(state.map, ring, state.self, passedOver);
  if (chosen.length > 0) return chosen;
  return chooseGrantors(state.map, ring, state.self, closedBy(state.lease));
}

function usable(state: OwnershipState, id: MemberId): boolean {
  if (!state.map.members.has(id)) return false;
  const contact = state.lease.grantorStatuses.get(id);
  if (contact === undefined) return true;
  return !contact.closed && contact.silentSince === null;
}

function closedBy(lease: LeaseState): Set<MemberId> {
  const closed = new Set<MemberId>();
  for (const [id, contact] of lease.grantorStatuses) {
    if (contact.closed) closed.add(id);
  }
  return closed;
}

function writeRow(
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
  if (lease.unresolvedWrites.length > REMEMBERED_WRITES) mergeOldest(lease);
  lease.nextRowWriteAt = at.monotonic + touchGapMs(context);
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

/** Forgets the older of two writes; its grantors stay possible. */
function mergeOldest(lease: LeaseState): void {
  const [oldest, next, ...rest] = lease.unresolvedWrites;
  const common = next.grantors.filter(id => oldest.grantors.includes(id));
  lease.unresolvedWrites = [{...next, grantors: common}, ...rest];
}

/** Time between two touches: all members together fit the budget. */
function touchGapMs(context: OwnershipContext): number {
  const {state} = context;
  const budget = state.settings.tuning.membership.touchesPerSecond;
  const shareMs = (state.map.members.size / budget) * 1000;
  const jitter = 0.8 + 0.4 * context.random();
  return Math.max(WRITE_GAP_MS, shareMs) * jitter;
}

function postpone(context: OwnershipContext): void {
  const {state, at} = context;
  const {lease} = state;
  lease.failures += 1;
  const most = state.settings.tuning.store.maxBackoffMs / 2;
  const waitMs = Math.min(most, 200 * 2 ** Math.min(lease.failures, 6));
  const until = at.monotonic + waitMs * (0.5 + context.random());
  lease.nextRowWriteAt = Math.max(lease.nextRowWriteAt, until);
}

/**
 * Reads the own row.
 *
 * @param context - The step.
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
 * Looks for the own row at a newer revision.
 *
 * @param context - The step.
 * @param rows - Rows of a reply.
 * @returns Whether it was among them.
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

function contactOf(lease: LeaseState, id: MemberId): GrantorStatus {
  let contact = lease.grantorStatuses.get(id);
  if (contact === undefined) {
    contact = {unansweredSince: null, silentSince: null, closed: false};
    lease.grantorStatuses.set(id, contact);
  }
  return contact;
}
