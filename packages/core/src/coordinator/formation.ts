/**
 * @fileoverview When a fleet that starts has formed. Slices that were never
 * owned are placed once, on all servers that started together, instead of on
 * the first one, from which most of them would move away again.
 */

import type {ClusterMap} from '../map/types.js';

/** Maximum wait for a fleet to form, as a multiple of `formMs`. */
const MAX_FORM_INTERVALS = 3;

/** What the coordinator saw of a fleet that forms. */
export interface Formation {
  /** Number of members at the latest check. */
  members: number;
  /** Number of members with a backend server at the latest check. */
  servers: number;
  /** Monotonic time at which either number changed last. */
  changedAt: number;
  /** Monotonic time of the first check with a server, or null before it. */
  startedAt: number | null;
}

/**
 * Creates the state before the first check.
 *
 * @returns The state.
 */
export function createFormation(): Formation {
  return {members: 0, servers: 0, changedAt: 0, startedAt: null};
}

/**
 * Checks whether the fleet has formed: for some time no member joined and no
 * server was added, or the maximum wait is over.
 *
 * @param formation - State of earlier checks; updated.
 * @param map - The map.
 * @param now - Monotonic time, in milliseconds.
 * @param formMs - Time without a change, in milliseconds.
 * @returns Whether slices may be placed for the first time.
 */
export function hasFormed(
  formation: Formation,
  map: ClusterMap,
  now: number,
  formMs: number,
): boolean {
  const members = map.members.size;
  let servers = 0;
  for (const {offer} of map.members.values()) if (offer !== null) servers += 1;
  if (members !== formation.members || servers !== formation.servers) {
    Object.assign(formation, {members, servers, changedAt: now});
  }
  if (servers > 0) formation.startedAt ??= now;
  if (now - formation.changedAt >= formMs) return true;
  const {startedAt} = formation;
  return startedAt !== null && now - startedAt >= MAX_FORM_INTERVALS * formMs;
}
