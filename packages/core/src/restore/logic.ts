/**
 * @fileoverview Handling a restore of the store to an older copy. A rise of its
 * era shows one. Members then compare their entries with the store's log and put
 * back those it lost; nobody appends or applies entries until `settleMs` have
 * passed, by when whoever has not compared its entries holds no lease.
 */

import {mayServerHoldAny} from '../grants/holds.js';
import {currentLease} from '../leases/logic.js';
import type {Entry} from '../log/types.js';
import {neighboursOf} from '../log_replication/reader.js';
import {callStore, log, newWriteId, send} from '../ownership/effects.js';
import type {CallPurpose, OwnershipContext} from '../ownership/state.js';
import {currentRanks} from '../ownership/state.js';
import type {StoreReply} from '../store/types.js';
import {buildRestoringWrite, compareLog, endsMember} from './comparison.js';
import {NO_ERA, makeConfigurationNumber} from './era.js';
import {settleMs} from './state.js';
import type {LostEntries, Restoration} from './types.js';

/** Time between two comparisons, before jitter of as much again. */
const CHECK_MS = 300;
/** Number of the newest entries that are compared. */
const MAX_COMPARED_ENTRIES = 128;
/**
 * Delay for each member that ranks before this one, and its maximum, after which
 * it puts entries back, so that a few write rather than all at once.
 */
const STAGGER_MS = 50;
const MAX_STAGGER_MS = 1000;

/**
 * Records the store's era. If it rises and this daemon has a map, the store was
 * restored: what depended on its revisions is given up, and the restoration
 * begins. Others are told.
 *
 * @param context - Context of the current input.
 * @param era - An era that a reply, a peer or the configuration source named.
 */
export function recordEra(context: OwnershipContext, era: number): void {
  const {state, at} = context;
  const {restore, lease, snapshots} = state;
  if (era <= restore.era) return;
  const {source} = currentLease(state, at);
  restore.leaseKept = source !== 'none';
  restore.era = era;
  if (state.map.version === 0) return;
  restore.pending = createRestoration('rise', at.monotonic);
  log(context, 'storeRestored', {era, version: state.map.version});
  state.logWriter.append = null;
  // The write of the row that gave it may be lost (R8).
  lease.rowLeaseStart = null;
  lease.nextRowWriteAt = at.monotonic + context.random() * MAX_STAGGER_MS;
  state.evictions.clear();
  Object.assign(snapshots, {version: 0, revision: 0, trimmedTo: 1});
  for (const id of neighboursOf(context)) announceEra(context, id);
}

/**
 * Tells a member the era, as a configuration number without a configuration.
 *
 * @param context - Context of the current input.
 * @param to - The member.
 */
export function announceEra(
  context: OwnershipContext,
  to: OwnershipContext['state']['self'],
): void {
  const {era} = context.state.restore;
  const parts = {era, settled: false, version: 0, merged: false};
  const number = makeConfigurationNumber(parts);
  send(context, to, {kind: 'configurationNumber', number});
}

/**
 * Returns whether an entry that a peer sent may be applied. A peer may have
 * entries that the store has lost; those of earlier eras are read from the store.
 *
 * @param context - Context of the current input.
 * @param entry - The entry.
 * @returns Whether it is of the present era and no restoration is going on.
 */
export function acceptsFromPeer(
  context: OwnershipContext,
  entry: Entry,
): boolean {
  const {restore} = context.state;
  const {era = NO_ERA} = entry;
  recordEra(context, era);
  return !isComparing(context) && era === restore.era;
}

/**
 * Returns whether this daemon is comparing its entries with a restored store: it
 * applies none and reads no further ones.
 *
 * @param context - Context of the current input.
 * @returns Whether it is.
 */
export function isComparing(context: OwnershipContext): boolean {
  const {state} = context;
  return state.restore.pending?.kind === 'rise';
}

/**
 * Returns whether this daemon may append. A daemon that has started after a
 * restore waits as well, unless the newest entry is of the present era: then
 * others have waited before it was appended.
 *
 * @param context - Context of the current input.
 * @returns Whether it may.
 */
export function mayAppend(context: OwnershipContext): boolean {
  const {state, at} = context;
  const {restore, map} = state;
  if (restore.pending !== null) return false;
  if (restore.settledEra === restore.era) return true;
  if (map.version === 0 || map.era === restore.era) {
    restore.settledEra = restore.era;
    return true;
  }
  restore.pending = createRestoration('start', at.monotonic);
  return false;
}

/**
 * Advances a restoration: compares entries, and ends it once it has settled.
 *
 * @param context - Context of the current input.
 */
export function advanceRestoration(context: OwnershipContext): void {
  const {state, at} = context;
  const {pending} = state.restore;
  if (pending === null || pending.contradictedAt !== null) return;
  const settlesAt = pending.notedAt + settleMs(state.settings.tuning);
  const isSettled =
    pending.kind === 'start'
      ? at.monotonic >= settlesAt
      : (pending.verifiedAt ?? 0) >= settlesAt;
  if (isSettled && !pending.endsSelf) {
    settle(context);
    return;
  }
  if (isSettled) contradict(context, pending, 'this member was ended');
  if (pending.kind === 'start' || pending.inFlight) return;
  if (at.monotonic >= pending.checkAt) compareEntries(context, pending);
}

/**
 * Handles the reply to a call that a restoration made.
 *
 * @param context - Context of the current input.
 * @param purpose - What the call was for.
 * @param reply - The store's reply.
 */
export function handleRestoreReply(
  context: OwnershipContext,
  purpose: Extract<CallPurpose, {kind: 'compareLog' | 'restoreEntries'}>,
  reply: StoreReply,
): void {
  switch (purpose.kind) {
    case 'compareLog':
      handleComparison(context, purpose.sentAt, reply);
      return;
    case 'restoreEntries':
      handleRestoringWrite(context, purpose.version, reply);
      return;
  }
}

/**
 * Handles the store's log, read in order to compare it.
 *
 * @param context - Context of the current input.
 * @param sentAt - Monotonic time at which the read was sent.
 * @param reply - The store's reply.
 */
function handleComparison(
  context: OwnershipContext,
  sentAt: number,
  reply: StoreReply,
): void {
  const {state, at} = context;
  const {pending} = state.restore;
  if (pending?.kind !== 'rise' || sentAt < pending.notedAt) return;
  pending.inFlight = false;
  const jitterMs = context.random() * CHECK_MS;
  pending.checkAt = at.monotonic + CHECK_MS + jitterMs;
  if (reply.kind !== 'rows' || reply.era !== state.restore.era) return;
  const {map} = state;
  pending.endsSelf = endsMember(reply.rows, map.version, state.self);
  const result = compareLog(comparedEntries(context, pending), reply.rows);
  switch (result.kind) {
    case 'same':
      pending.verifiedAt = sentAt;
      map.revision = result.revision;
      adoptRevisions(context, reply);
      return;
    case 'lacks':
      putBack(context, pending, result.lost);
      return;
    case 'contradicts':
      // Entries put back before may have been lost again meanwhile.
      if (pending.verifiedAt !== null) pending.verifiedAt = null;
      else contradict(context, pending, result.detail);
      return;
  }
}

/**
 * Handles the reply to a write of lost entries; whatever it is, the log is
 * compared again.
 *
 * @param context - Context of the current input.
 * @param version - The version after which entries were written.
 * @param reply - The reply.
 */
function handleRestoringWrite(
  context: OwnershipContext,
  version: number,
  reply: StoreReply,
): void {
  const {state, at} = context;
  const {pending} = state.restore;
  if (pending === null) return;
  pending.inFlight = false;
  pending.checkAt = at.monotonic;
  if (reply.kind === 'committed') log(context, 'entriesPutBack', {version});
}

/**
 * Returns whether a member that the store's log contradicts may leave: its
 * backend server holds no slice, and nothing that it dispatched runs, or not
 * under a lease.
 *
 * @param context - Context of the current input.
 * @returns Whether it is to join again under a new id.
 */
export function mayRejoin(context: OwnershipContext): boolean {
  const {state, at, work} = context;
  const since = state.restore.pending?.contradictedAt ?? null;
  if (since === null) return false;
  if (mayServerHoldAny(state.grants, at.monotonic)) return false;
  const {leaseMs, marginMs} = state.settings.tuning.leases;
  const leaseEnded = at.monotonic - since >= leaseMs + marginMs;
  return leaseEnded && work.inFlightTotal() === 0;
}

/**
 * Goes on waiting after the map was given up.
 *
 * @param context - Context of the current input.
 */
export function waitWithoutMap(context: OwnershipContext): void {
  const {state, at} = context;
  const {restore} = state;
  const notedAt = restore.pending?.notedAt ?? at.monotonic;
  restore.pending = createRestoration('start', notedAt);
}

function settle(context: OwnershipContext): void {
  const {state, at} = context;
  const {restore, logReader} = state;
  restore.pending = null;
  restore.settledEra = restore.era;
  state.snapshots.forced = true;
  logReader.readNeeded = true;
  logReader.notBefore = at.monotonic;
  // Peers may have named versions of entries that are lost.
  logReader.heardVersion = 0;
  state.placementCheckedVersion = -1;
  log(context, 'restoreSettled', {era: restore.era});
}

function contradict(
  context: OwnershipContext,
  pending: Restoration,
  detail: string,
): void {
  pending.contradictedAt = context.at.monotonic;
  log(context, 'logContradicts', {detail});
}

/** The newest entry is enough once the log was seen to have all. */
function comparedEntries(
  {state}: OwnershipContext,
  pending: Restoration,
): OwnershipContext['state']['recentEntries'] {
  const {keptEntries} = state.settings.tuning.log;
  const most = Math.min(MAX_COMPARED_ENTRIES, keptEntries);
  return state.recentEntries.slice(pending.verifiedAt === null ? -most : -1);
}

function compareEntries(context: OwnershipContext, pending: Restoration): void {
  const {state, at} = context;
  const {keys, map} = state;
  const first = comparedEntries(context, pending)[0]?.entry.version;
  pending.inFlight = true;
  callStore(
    context,
    {kind: 'compareLog', sentAt: at.monotonic},
    {
      kind: 'read',
      query: {
        kind: 'range',
        from: keys.log(first ?? map.version),
        to: keys.logEnd,
        limit: 2 * MAX_COMPARED_ENTRIES,
      },
    },
  );
}

function putBack(
  context: OwnershipContext,
  pending: Restoration,
  lost: LostEntries,
): void {
  const {state, at} = context;
  pending.verifiedAt = null;
  const rank = Math.max(0, currentRanks(state).indexOf(state.self));
  const staggerMs = Math.min(MAX_STAGGER_MS, rank * STAGGER_MS);
  if (at.monotonic < pending.notedAt + staggerMs) return;
  const writeId = newWriteId(context);
  const {recentEntries, keys} = state;
  pending.inFlight = true;
  callStore(
    context,
    {kind: 'restoreEntries', version: lost.after},
    {
      kind: 'commit',
      transaction: buildRestoringWrite(keys, writeId, recentEntries, lost),
    },
  );
}

/** Adopts the revisions of rows that were put back, which peers are sent. */
function adoptRevisions(
  {state}: OwnershipContext,
  reply: Extract<StoreReply, {kind: 'rows'}>,
): void {
  const revisions = new Map(reply.rows.map(row => [row.key, row.revision]));
  state.recentEntries = state.recentEntries.map(committed => {
    const key = state.keys.log(committed.entry.version);
    const revision = revisions.get(key) ?? committed.revision;
    return revision === committed.revision
      ? committed
      : {...committed, revision};
  });
}

function createRestoration(
  kind: Restoration['kind'],
  now: number,
): Restoration {
  return {
    kind,
    notedAt: now,
    checkAt: now,
    inFlight: false,
    verifiedAt: null,
    endsSelf: false,
    contradictedAt: null,
  };
}
