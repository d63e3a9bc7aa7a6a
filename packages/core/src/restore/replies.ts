/**
 * @fileoverview Replies of the store across a restore, and giving up a map that
 * the restored log contradicts.
 */

import {createLogReader} from '../log_replication/state.js';
import {applyExternalConfiguration} from '../map/logic.js';
import {createMap} from '../map/state.js';
import type {
  CallPurpose,
  OwnershipContext,
  OwnershipState,
} from '../ownership/state.js';
import {createSnapshotWriter} from '../snapshots/state.js';
import type {StoreReply} from '../store/types.js';
import {isComparing, mayRejoin, recordEra, waitWithoutMap} from './logic.js';

/**
 * Records the era of a reply, and returns what the reply still says. One of an
 * earlier era was sent before the store was restored: its rows may be gone, and
 * so may what it says was written.
 *
 * @param context - Context of the current input.
 * @param purpose - What the call was for.
 * @param reply - The reply.
 * @returns The reply; null for one about the log while entries are compared, in
 *     which case the log is read later.
 */
export function replyOfEra(
  context: OwnershipContext,
  purpose: CallPurpose,
  reply: StoreReply,
): StoreReply | null {
  const {era} = reply;
  if (era !== undefined) recordEra(context, era);
  if (isComparing(context) && isAboutLog(purpose)) {
    deferLogCall(context.state);
    return null;
  }
  if (era === undefined || era === context.state.restore.era) return reply;
  return {kind: 'unknown', detail: 'from before a restore'};
}

/**
 * Gives up a map that the store's log contradicts, once the member may leave.
 *
 * @param context - Context of the current input.
 * @returns Whether it did; the member is to join again under a new id, with the
 *     map that the log gives.
 */
export function giveUpContradictedMap(context: OwnershipContext): boolean {
  const {state} = context;
  if (!mayRejoin(context)) return false;
  const {membershipChanges} = state.map;
  const map = createMap();
  map.membershipChanges = membershipChanges + 1;
  if (state.externalConfiguration !== null) {
    applyExternalConfiguration(map, state.externalConfiguration);
  }
  state.map = map;
  state.recentEntries = [];
  state.logReader = createLogReader();
  state.logWriter.append = null;
  Object.assign(state.snapshots, createSnapshotWriter());
  state.placementCheckedVersion = -1;
  state.lastChecked = {version: 0, configuration: 0};
  state.actsAsCoordinator = false;
  if (state.phase !== 'joining') state.formerIds.add(state.self);
  state.restore.leaseKept = false;
  waitWithoutMap(context);
  return true;
}

/** Returns whether a call reads the log or the snapshot, or stores a snapshot. */
function isAboutLog({kind}: CallPurpose): boolean {
  switch (kind) {
    case 'tail':
    case 'loadSnapshot':
    case 'loadPointer':
    case 'snapshotPointer':
    case 'storeSnapshot':
    case 'pointSnapshot':
      return true;
    case 'append':
    case 'rowWrite':
    case 'rowRead':
    case 'compareLog':
    case 'restoreEntries':
    case 'evictionRead':
    case 'audit':
      return false;
  }
}

/** Has the log read, and a snapshot stored, once a restore is handled. */
function deferLogCall({logReader, snapshots}: OwnershipState): void {
  logReader.inFlight = false;
  logReader.readNeeded = true;
  snapshots.busy = false;
}
