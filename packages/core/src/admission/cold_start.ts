/**
 * @fileoverview Start rate of a server that reports its cold start (warm-up).
 */

import type {Announcement} from '../loop/types.js';
import type {Admission} from './types.js';

const SECOND_MS = 1000;

/**
 * Returns whether the server is cold (still warming up) by its own report.
 *
 * @param admission - The admission state.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether its start rate is limited.
 */
export function isCold(admission: Admission, now: number): boolean {
  return admission.cold !== null && now < admission.cold.warmAt;
}

/**
 * Returns whether another run may start on a cold server.
 *
 * @param admission - The admission state; older starts are dropped from it.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether the starts of the last second are below the rate.
 */
export function hasColdStartCapacity(
  admission: Admission,
  now: number,
): boolean {
  admission.recentStarts = admission.recentStarts.filter(
    at => now - at < SECOND_MS,
  );
  return admission.recentStarts.length < (admission.cold?.perSecond ?? 0);
}

/**
 * Returns until when an instance is known to be cold, so that a delayed report
 * never shortens the cold start.
 *
 * @param admission - The admission state.
 * @param announcement - The newest announcement.
 * @returns Monotonic time in milliseconds; 0 for a new instance.
 */
export function knownWarmAt(
  admission: Admission,
  announcement: Announcement,
): number {
  return admission.instance === announcement.instance
    ? (admission.cold?.warmAt ?? 0)
    : 0;
}
