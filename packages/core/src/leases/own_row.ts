/**
 * @fileoverview What is known of this member's row in the store, across restores
 * of the store.
 */

import type {Instant} from '../clock/types.js';
import type {MemberId} from '../ids/types.js';
import {callStore, log, send} from '../ownership/effects.js';
import type {OwnershipContext} from '../ownership/state.js';
import {NO_ERA, rankRevision} from '../restore/era.js';
import type {Row, StoreReply} from '../store/types.js';
import {storedRevision} from './logic.js';
import {parseMemberRow} from './rows.js';
import type {LeaseState, OwnRow} from './types.js';

/**
 * Handles the store's reply to a read of this member's row. If it shows no
 * newer row, the log is read, since this member may have been removed.
 *
 * @param context - Context of the current input.
 * @param reply - The reply.
 */
export function handleOwnRowRead(
  context: OwnershipContext,
  reply: StoreReply,
): void {
  if (reply.kind !== 'rows') return;
  if (applyNewerOwnRow(context, reply.rows)) return;
  const {lease, restore, logReader, map, self} = context.state;
  logReader.readNeeded = true;
  const isPresent = reply.rows.some(row => row.revision > 0);
  if (isPresent || lease.revisionEra === restore.era) return;
  if (!map.members.has(self)) return;
  lease.rowLost = true;
  lease.revisionEra = restore.era;
}

/**
 * Adopts a newer revision of this member's row. No unresolved write can take
 * effect any more, since each is conditional on an older revision.
 *
 * @param context - Context of the current input.
 * @param row - Its revision, with eras.
 * @param grantors - Grantors that the row names.
 * @param sentAt - When the write that made it was sent, or null if unknown.
 */
export function applyOwnRow(
  context: OwnershipContext,
  row: OwnRow,
  grantors: readonly MemberId[],
  sentAt: Instant | null,
): void {
  const {lease} = context.state;
  const {revision, era} = row;
  if (rankRevision(era, revision) <= rankOfRow(lease)) return;
  if (lease.revision === 0) {
    // The checks for revocation and partition count from the first row on.
    lease.lastGrantedAt = context.at.monotonic;
    lease.lastReplyAt = context.at.monotonic;
  }
  const changed = grantors.join() !== lease.grantors.join();
  const former = lease.grantors.filter(id => !grantors.includes(id));
  lease.revision = revision;
  lease.revisionEra = era;
  lease.writtenEra = row.writtenEra;
  lease.rowLost = false;
  lease.grantors = grantors;
  lease.unresolvedWrites = [];
  lease.rowWriteFailures = 0;
  if (sentAt !== null) lease.rowLeaseStart = sentAt;
  if (!changed) return;
  lease.grantorChangePendingSince = null;
  lease.nextRenewalAt = context.at.monotonic;
  for (const grantor of [...lease.grantedRenewals.keys()]) {
    if (!grantors.includes(grantor)) lease.grantedRenewals.delete(grantor);
  }
  const {self} = context.state;
  for (const id of former) send(context, id, {kind: 'cleared', member: self});
  log(context, 'grantorsChanged', {grantors: grantors.join(' ')});
}

/**
 * Reads this member's row from the store.
 *
 * @param context - Context of the current input.
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
 * Adopts this member's row if the given rows have it at a newer revision.
 *
 * @param context - Context of the current input.
 * @param rows - Rows of a reply of the store.
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
  if (row === undefined) return false;
  const {era} = state.restore;
  if (rankRevision(era, row.revision) <= rankOfRow(lease)) return false;
  const value = parseMemberRow(context, row);
  const own = lease.unresolvedWrites.find(
    write => write.writeId === value?.writeId,
  );
  const grantors = value?.grantors ?? [];
  const {revision} = row;
  const sentAt = own?.sentAt ?? null;
  const writtenEra = value?.era ?? NO_ERA;
  applyOwnRow(context, {revision, era, writtenEra}, grantors, sentAt);
  return true;
}

/**
 * Orders revisions of this member's row across restores of the store.
 *
 * @param lease - State of the lease.
 * @returns A number that rises with era and revision; without an era, the
 *     revision.
 */
export function rankOfRow(lease: LeaseState): number {
  return rankRevision(lease.revisionEra, storedRevision(lease));
}
