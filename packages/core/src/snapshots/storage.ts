/** @fileoverview Storing snapshots, trimming the log, and loading them. */

import type {Version} from '../ids/types.js';
import {scheduleReadRetry} from '../journal/reader.js';
import {callStore, log, newWriteId} from '../ownership/effects.js';
import {checkGenerations} from '../ownership/invariants.js';
import type {OwnershipContext} from '../ownership/state.js';
import type {RowPut, Row, StoreReply} from '../store/types.js';
import {serializeMap, parseMap} from './logic.js';
import type {SnapshotPointer} from './types.js';

/** Least time between two steps of storing. */
const GAP_MS = 2000;
/** Most log rows that one transaction deletes. */
const MOST_TRIMMED = 256;

/**
 * Stores a snapshot when the log has grown; for the coordinator.
 *
 * @param context - The step.
 */
export function storeSnapshotIfDue(context: OwnershipContext): void {
  const {state, at} = context;
  const {snapshots, map} = state;
  if (snapshots.busy || at.monotonic < snapshots.notBefore) return;
  const {snapshotEntries} = state.settings.tuning.log;
  if (map.version - snapshots.version < snapshotEntries) return;
  snapshots.busy = true;
  snapshots.notBefore = at.monotonic + GAP_MS;
  const {keys} = state;
  callStore(
    context,
    {kind: 'snapshotPointer'},
    {kind: 'read', query: {kind: 'row', key: keys.snapshot}},
  );
}

/**
 * Goes on to store a snapshot once the newest one is known.
 *
 * @param context - The step.
 * @param answer - Reply with the pointer's row.
 */
export function handleSnapshotPointerReply(
  context: OwnershipContext,
  answer: StoreReply,
): void {
  const {state} = context;
  const {snapshots, map} = state;
  if (answer.kind !== 'rows') {
    snapshots.busy = false;
    return;
  }
  learnPointer(context, answer.rows);
  const {snapshotEntries} = state.settings.tuning.log;
  if (map.version - snapshots.version < snapshotEntries) {
    snapshots.busy = false;
    return;
  }
  const {version} = map;
  callStore(
    context,
    {kind: 'storeSnapshot', version},
    {
      kind: 'putObject',
      name: state.keys.snapshotObject(version),
      body: serializeMap(map),
    },
  );
}

/**
 * Points to a stored snapshot and deletes log rows that it covers. The first
 * row stays, so that nobody can begin the log a second time.
 *
 * @param context - The step.
 * @param version - Version of the snapshot.
 * @param answer - Reply to storing the object.
 */
export function handleStoreSnapshotReply(
  context: OwnershipContext,
  version: Version,
  answer: StoreReply,
): void {
  const {state} = context;
  const {snapshots, keys} = state;
  if (answer.kind !== 'stored') {
    snapshots.busy = false;
    return;
  }
  const kept = state.settings.tuning.log.keptEntries;
  const {trimmedTo} = snapshots;
  const end = Math.min(version - kept, trimmedTo + MOST_TRIMMED);
  const pointer: SnapshotPointer = {
    version,
    object: keys.snapshotObject(version),
    trimmedTo: Math.max(trimmedTo, end),
  };
  const puts: RowPut[] = [{key: keys.snapshot, value: JSON.stringify(pointer)}];
  for (let each = trimmedTo + 1; each <= end; each++) {
    puts.push({key: keys.log(each), value: null});
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
 * Notes that the pointer was written.
 *
 * @param context - The step.
 * @param pointer - The pointer.
 * @param answer - Reply to the write.
 */
export function handlePointSnapshotReply(
  context: OwnershipContext,
  pointer: SnapshotPointer,
  answer: StoreReply,
): void {
  const {snapshots} = context.state;
  snapshots.busy = false;
  if (answer.kind !== 'committed') return;
  snapshots.version = pointer.version;
  snapshots.trimmedTo = pointer.trimmedTo;
  snapshots.revision = answer.revision;
  log(context, 'snapshotStored', {version: pointer.version});
}

/**
 * Looks which snapshot to load, if any.
 *
 * @param context - The step.
 * @param answer - Reply with the pointer's row.
 */
export function handleLoadPointerReply(
  context: OwnershipContext,
  answer: StoreReply,
): void {
  const {state} = context;
  const {logReader: sync, snapshots, map} = state;
  if (answer.kind !== 'rows') {
    scheduleReadRetry(context);
    return;
  }
  const name = learnPointer(context, answer.rows);
  if (name === null || snapshots.version <= map.version) {
    sync.inFlight = false;
    sync.needsSnapshot = false;
    sync.readNeeded = true;
    return;
  }
  callStore(context, {kind: 'loadSnapshot'}, {kind: 'getObject', name});
}

/**
 * Replaces the map by a newer snapshot.
 *
 * @param context - The step.
 * @param answer - Reply with the object.
 * @returns Whether the map was replaced.
 */
export function handleLoadSnapshotReply(
  context: OwnershipContext,
  answer: StoreReply,
): boolean {
  const {state, at} = context;
  const {logReader: sync} = state;
  if (answer.kind !== 'object' || answer.body === null) {
    scheduleReadRetry(context);
    return false;
  }
  sync.inFlight = false;
  sync.needsSnapshot = false;
  sync.readNeeded = true;
  const loaded = parseMap(answer.body, at.monotonic);
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

function learnPointer(
  context: OwnershipContext,
  rows: readonly Row[],
): string | null {
  const {snapshots, keys} = context.state;
  const row = rows.find(each => each.key === keys.snapshot);
  if (row === undefined) return null;
  const pointer = JSON.parse(row.value) as SnapshotPointer;
  if (row.revision >= snapshots.revision) {
    snapshots.version = pointer.version;
    snapshots.trimmedTo = pointer.trimmedTo;
    snapshots.revision = row.revision;
  }
  return pointer.object;
}
