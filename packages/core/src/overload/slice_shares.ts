/**
 * @fileoverview Shares of a server's slots among its slices. Made for a hot key
 * with 35% of a kind, in overload: without shares its requests fill the queue,
 * and those of the server's other slices are refused with them.
 */

import type {Slice} from '../ids/types.js';

/** A job at the server, as far as shares depend on it. */
export interface SharingJob {
  /** Null for a shared service. */
  readonly slice: Slice | null;
  /** Order among waiting requests; lower values go first. */
  readonly urgency: number;
  readonly isQueued: boolean;
}

/**
 * A slice is hot if it has so many times the jobs of any other that waits. With
 * a comparison to the even share alone, slices of equal load refused each
 * other's requests: 93 in 100 served in time instead of 98 at 0.7 of the
 * capacity.
 */
const HOT_FACTOR = 2;

/**
 * Returns whether a request exceeds its slice's share of the slots: the slots
 * divided by the slices with jobs. This matters only while a request of another
 * slice waits that is at least as urgent, so that no slot stays free for it, and
 * only for a slice that is hot.
 *
 * @param request - The request that asks for a slot.
 * @param jobs - All jobs at the server, without the request.
 * @param slots - Runs that the server may have at the same time.
 * @returns Whether to refuse the request.
 */
export function exceedsShare(
  request: Pick<SharingJob, 'slice' | 'urgency'>,
  jobs: Iterable<SharingJob>,
  slots: number,
): boolean {
  const {slice, urgency} = request;
  if (slice === null) return false;
  const counts = new Map<Slice | null, number>([[slice, 0]]);
  const waiting = new Set<Slice | null>();
  for (const job of jobs) {
    counts.set(job.slice, (counts.get(job.slice) ?? 0) + 1);
    if (job.isQueued && job.urgency <= urgency) waiting.add(job.slice);
  }
  waiting.delete(slice);
  if (waiting.size === 0) return false;
  const own = counts.get(slice) ?? 0;
  if (own < Math.max(1, slots / counts.size)) return false;
  const others = [...waiting].map(each => counts.get(each) ?? 0);
  return own >= HOT_FACTOR * Math.max(...others);
}
