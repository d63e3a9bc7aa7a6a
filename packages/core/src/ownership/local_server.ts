/** @fileoverview Announcements of the local backend server, and its loss. */

import {countHeldSlices} from '../grants/holds.js';
import {clearConfirmed, clearGrants} from '../grants/logic.js';
import type {Announcement} from '../loop/types.js';
import {log} from './effects.js';
import type {OwnershipContext} from './state.js';

/**
 * Handles an announcement; a new instance of the server holds no slices.
 *
 * @param context - Context of the current input.
 * @param announcement - The announcement.
 */
export function handleAnnouncement(
  context: OwnershipContext,
  announcement: Announcement,
): void {
  const {state} = context;
  if (state.announcement?.instance !== announcement.instance) {
    clearConfirmed(state.grants);
  }
  state.announcement = announcement;
  state.runTasksNow = true;
}

/**
 * Handles that the local backend server no longer announces itself. Its slice
 * grants end immediately only if it has exited without having announced that it
 * shuts down; a silent one may still hold slices.
 *
 * @param context - Context of the current input.
 * @param ended - Whether the server's process has ended.
 */
export function handleServerGone(
  context: OwnershipContext,
  ended: boolean,
): void {
  const {state, at} = context;
  const {grants, announcement} = state;
  const wasLeaving = announcement?.leaving === true;
  state.announcement = null;
  if (ended && !wasLeaving) {
    const slices = countHeldSlices(grants, at.monotonic);
    const instance = announcement?.instance ?? '';
    log(context, 'holdsCleared', {instance, slices});
    clearGrants(grants);
  } else clearConfirmed(grants);
  state.runTasksNow = true;
}
