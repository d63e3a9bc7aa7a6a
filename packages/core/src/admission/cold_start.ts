/** @fileoverview The pace of a server that reports its cold start. */

import type {Announcement} from '../loop/types.js';
import type {Admission} from './types.js';

const SECOND_MS = 1000;

/**
 * Tells whether the server is cold, as it reported.
 *
 * @param gate - The gate.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether its pace is limited.
 */
export function isCold(gate: Admission, now: number): boolean {
  return gate.cold !== null && now < gate.cold.warmAt;
}

/**
 * Tells whether a cold server may be given another run.
 *
 * @param gate - The gate; forgets starts that are older than a second.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether the starts of the last second leave room.
 */
export function hasColdStartCapacity(gate: Admission, now: number): boolean {
  gate.recentStarts = gate.recentStarts.filter(at => now - at < SECOND_MS);
  return gate.recentStarts.length < (gate.cold?.perSecond ?? 0);
}

/**
 * Finds how long a life of a server is cold as far as is known: a report that
 * was under way for long never shortens its cold start.
 *
 * @param gate - The gate.
 * @param said - The newest report.
 * @returns Monotonic time in milliseconds; 0 for a new life.
 */
export function knownWarmAt(gate: Admission, said: Announcement): number {
  return gate.instance === said.instance ? (gate.cold?.warmAt ?? 0) : 0;
}
