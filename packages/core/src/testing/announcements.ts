/** @fileoverview Announcements of a backend server, for tests. */

import type {InstanceId} from '../ids/types.js';
import type {Announcement} from '../loop/types.js';

/** Slots of the server unless stated otherwise. */
export const SLOTS = 8;

/**
 * Builds the announcement of a server that reports no cold start.
 *
 * @param instance - Its instance.
 * @param changes - Fields with other values.
 * @returns The announcement.
 */
export function makeAnnouncement(
  instance: string,
  changes: Partial<Announcement> = {},
): Announcement {
  return {
    instance: instance as InstanceId,
    service: 's' as never,
    address: '' as never,
    slots: SLOTS,
    connections: 100,
    checksGrants: false,
    coldStart: null,
    leaving: false,
    ...changes,
  };
}
