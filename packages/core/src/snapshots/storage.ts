/** @fileoverview Storing and loading snapshots, and trimming the log. */

import {scheduleReadRetry} from '../log_replication/reader.js';
import {callStore, log, newWriteId} from '../ownership/effects.js';
import {checkGenerations} from '../ownership/invariants.js';
import type {CallPurpose, OwnershipContext} from '../ownership/state.js';
import {MAX_TRANSACTION_ENTRIES} from '../store/types.js';
import type {RowPut, Row, StoreReply} from '../store/types.js';
import {parseDocument} from '../validation/logic.js';
import {serializeMap, parseMap} from './logic.js';
import {snapshotPointerSchema} from './schemas.js';
import type {SnapshotPointer} from './types.js';

/** Minimum time between the starts of two snapshots. */
const MIN_STORE_INTERVAL_MS = 2000;
/**
 * Maximum number of log rows that one transaction deletes, besides its condition
 * and the pointer row.
 */
const MAX_TRIMMED_ROWS = MAX_TRANSACTION_ENTRIES - 2;

/** What the pointer row says. */
type FoundPointer =
  | {readonly kind: 'none'}
  | {readonly kind: 'unreadable'}
  | {readonly kind: 'object'; readonly name: string};

/**
 * Starts to store a snapshot if the log has grown by `snapshotEntries` since
 * the latest one. Only the coordinator does this. Reads the pointer row first.
 *
 * @param context - Context of the current input.
 */
export function storeSnapshotIfDue(context: OwnershipContext): void {
  const {state, at} = context;
  const {snapshots, map} = state;
  if (snapshots.busy || at.monotonic < snapshots.notBefore) return;
  const {snapshotEntries} = state.settings.tuning.log;
  const isDue = map.version - snapshots.version >= snapshotEntries;
  if (!isDue && !snapshots.forced) return;
  snapshots.busy = true;
  snapshots.notBefore = at.monotonic + MIN_STORE_INTERVAL_MS;
  const {keys} = state;
  callStore(
    context,
    {kind: 'snapshotPointer'},
    {kind: 'read', query: {kind: 'row', key: keys.snapshot}},
  );
}

/**
 * Handles the reply to a step of storing a snapshot.
 *
 * @param context - Context of the current input.
 * @param purpose - The step.
 * @param reply - The store's reply.
 */
export function handleSnapshotReply(
  context: OwnershipContext,
  purpose: Extract<
    CallPurpose,
    {kind: 'snapshotPointer' | 'storeSnapshot' | 'pointSnapshot'}
  >,
  reply: StoreReply,
): void {
  switch (purpose.kind) {
    case 'snapshotPointer':
      handleSnapshotPointerReply(context, reply);
      return;
    case 'storeSnapshot':
      handleStoreSnapshotReply(context, purpose, reply);
      return;
    case 'pointSnapshot':
      handlePointSnapshotReply(context, purpose.pointer, reply);
      return;
  }
}

/**
 * Second step of storing a snapshot: stores the object, unless the pointer row
 * shows that another daemon has stored a recent one.
 *
 * @param context - Context of the current input.
 * @param reply - Reply with the pointer row.
 */
function handleSnapshotPointerReply(
  context: OwnershipContext,
  reply: StoreReply,
): void {
  const {state} = context;
  const {snapshots, map} = state;
  if (reply.kind !== 'rows') {
    snapshots.busy = false;
    return;
  }
  recordPointer(context, reply.rows);
  const {snapshotEntries} = state.settings.tuning.log;
  const isDue = map.version - snapshots.version >= snapshotEntries;
  if (!isDue && !snapshots.forced) {
    snapshots.busy = false;
    return;
  }
  const {version} = map;
  const object = state.keys.snapshotObject(version, map.era);
  callStore(
    context,
    {kind: 'storeSnapshot', version, object},
    {
      kind: 'putObject',
      name: object,
      body: serializeMap(map),
    },
  );
}

/**
 * Third step of storing a snapshot: points the pointer row to the stored object
 * and deletes log rows that the snapshot covers, except the latest
 * `keptEntries`. The first log row is never deleted, so that a conditional
 * write of version 1 always fails: no daemon can start the log again.
 *
 * @param context - Context of the current input.
 * @param stored - Version and object of the snapshot.
 * @param reply - Reply to storing the object.
 */
function handleStoreSnapshotReply(
  context: OwnershipContext,
  stored: Pick<SnapshotPointer, 'version' | 'object'>,
  reply: StoreReply,
): void {
  const {state} = context;
  const {version, object} = stored;
  const {snapshots, keys} = state;
  if (reply.kind !== 'stored') {
    snapshots.busy = false;
    return;
  }
  const kept = state.settings.tuning.log.keptEntries;
  const {trimmedTo} = snapshots;
  const end = Math.min(version - kept, trimmedTo + MAX_TRIMMED_ROWS);
  const pointer: SnapshotPointer = {
    version,
    object,
    trimmedTo: Math.max(trimmedTo, end),
  };
  const puts: RowPut[] = [{key: keys.snapshot, value: JSON.stringify(pointer)}];
  for (let trimmed = trimmedTo + 1; trimmed <= end; trimmed++) {
    puts.push({key: keys.log(trimmed), value: null});
  }
  callStore(
    context,
    {kind: 'pointSnapshot', pointer},
    {
      kind: 'commit',
      transaction: {
        writeId: newWriteId(context),
        checks: [{key: keys.snapshot, revision: snapshots.revision}],
        puts,
      },
    },
  );
}

/**
 * Last step of storing a snapshot: records that the pointer row was written.
 *
 * @param context - Context of the current input.
 * @param pointer - The pointer.
 * @param reply - Reply to the write.
 */
function handlePointSnapshotReply(
  context: OwnershipContext,
  pointer: SnapshotPointer,
  reply: StoreReply,
): void {
  const {snapshots} = context.state;
  snapshots.busy = false;
  if (reply.kind !== 'committed') return;
  snapshots.version = pointer.version;
  snapshots.trimmedTo = pointer.trimmedTo;
  snapshots.revision = reply.revision;
  snapshots.forced = false;
  log(context, 'snapshotStored', {version: pointer.version});
}

/**
 * First step of catching up: loads the latest snapshot if it is newer than the
 * map; otherwise has the log read from the map's version.
 *
 * @param context - Context of the current input.
 * @param reply - Reply with the pointer row.
 */
export function handleLoadPointerReply(
  context: OwnershipContext,
  reply: StoreReply,
): void {
  const {state} = context;
  const {logReader, snapshots, map} = state;
  if (reply.kind !== 'rows') {
    scheduleReadRetry(context);
    return;
  }
  const found = recordPointer(context, reply.rows);
  if (found.kind === 'unreadable') {
    // Without a snapshot, the log itself is read; it may be complete.
    logReader.needsSnapshot = false;
    scheduleReadRetry(context);
    return;
  }
  if (found.kind === 'none' || snapshots.version <= map.version) {
    logReader.inFlight = false;
    logReader.needsSnapshot = false;
    logReader.readNeeded = true;
    return;
  }
  const {name} = found;
  callStore(context, {kind: 'loadSnapshot'}, {kind: 'getObject', name});
}

/**
 * Second step of catching up: replaces the map by the loaded snapshot if that
 * is newer.
 *
 * @param context - Context of the current input.
 * @param reply - Reply with the object.
 * @returns Whether the map was replaced.
 */
export function handleLoadSnapshotReply(
  context: OwnershipContext,
  reply: StoreReply,
): boolean {
  const {state, at} = context;
  const {logReader} = state;
  if (reply.kind !== 'object' || reply.body === null) {
    scheduleReadRetry(context);
    return false;
  }
  logReader.inFlight = false;
  logReader.needsSnapshot = false;
  logReader.readNeeded = true;
  const loaded = parseMap(reply.body, at.monotonic);
  if (loaded === null) {
    const key = state.keys.snapshotObject(
      state.snapshots.version,
      state.map.era,
    );
    log(context, 'storedRowUnreadable', {key});
    scheduleReadRetry(context);
    return false;
  }
  if (loaded.version <= state.map.version) return false;
  for (const [member, seen] of state.map.ended) {
    loaded.ended.set(member, seen);
  }
  checkGenerations(context, state.map, loaded);
  loaded.membershipChanges = state.map.membershipChanges + 1;
  state.map = loaded;
  state.recentEntries = [];
  return true;
}

/**
 * Adopts the pointer row unless it is older than the known one. One that can't
 * be read is replaced with the next snapshot.
 *
 * @returns What the row points to.
 */
function recordPointer(
  context: OwnershipContext,
  rows: readonly Row[],
): FoundPointer {
  const {snapshots, keys} = context.state;
  const row = rows.find(each => each.key === keys.snapshot);
  if (row === undefined) return {kind: 'none'};
  const parsed = parseDocument(row.value, snapshotPointerSchema);
  if (parsed.kind === 'invalid') {
    log(context, 'storedRowUnreadable', {key: row.key});
    snapshots.revision = Math.max(snapshots.revision, row.revision);
    return {kind: 'unreadable'};
  }
  const pointer = parsed.value as unknown as SnapshotPointer;
  if (row.revision >= snapshots.revision) {
    snapshots.version = pointer.version;
    snapshots.trimmedTo = pointer.trimmedTo;
    snapshots.revision = row.revision;
  }
  return {kind: 'object', name: pointer.object};
}
