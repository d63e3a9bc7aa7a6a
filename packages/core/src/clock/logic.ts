/** @fileoverview Times by both clocks of a host. */

import type {Instant} from './types.js';

/**
 * Finds the time until an instant. The monotonic clock may stand still while
 * the host is frozen, so the clock that has come nearer to it counts.
 *
 * @param until - The later instant.
 * @param at - The present instant.
 * @returns Milliseconds; negative when either clock has passed the instant.
 */
export function timeLeftMs(until: Instant, at: Instant): number {
  const byMonotonic = until.monotonic - at.monotonic;
  const byWall = until.wall - at.wall;
  return Math.min(byMonotonic, byWall);
}
