/** @fileoverview Time spans by the monotonic and the wall clock of a host. */

import type {Instant} from './types.js';

/**
 * Computes the time remaining until an instant: the smaller of the times by
 * both clocks, since the monotonic clock may stop while the host is suspended.
 *
 * @param until - The later instant.
 * @param at - The current instant.
 * @returns Milliseconds; negative when either clock has passed the instant.
 */
export function timeLeftMs(until: Instant, at: Instant): number {
  const byMonotonic = until.monotonic - at.monotonic;
  const byWall = until.wall - at.wall;
  return Math.min(byMonotonic, byWall);
}
