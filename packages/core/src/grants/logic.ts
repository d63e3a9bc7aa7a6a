/**
 * @fileoverview Slice grants to the local backend server. An unconfirmed grant
 * may still take effect late, so its slices are not released to another member
 * until it has expired.
 */

import type {Generation, ServiceName, Slice} from '../ids/types.js';
import type {Event, SliceGrant} from '../loop/types.js';
import type {ServicePlacement} from '../map/types.js';
import {recordHold} from './holds.js';
import {sliceKey, sliceKeysOf} from './keys.js';
import type {SliceGrants, UnconfirmedGrant} from './types.js';
import {takeUnconfirmed, unconfirmedGrantsOf} from './unconfirmed.js';

/** Time after which an unconfirmed grant no longer delays a release request. */
const CONFIRM_TIMEOUT_MS = 600;

/**
 * Records that the server confirmed a grant. A confirmation that arrives after
 * the grant has expired is ignored.
 *
 * @param grants - State of the grants.
 * @param event - The grant and its round.
 * @param expires - Whether the server checks grants, which expire there.
 * @param now - Monotonic time, in milliseconds.
 * @returns The grant as it was sent, or undefined if it has expired or the
 *     server doesn't check grants.
 */
export function confirmGrant(
  grants: SliceGrants,
  event: Extract<Event, {kind: 'slicesGranted'}>,
  expires: boolean,
  now: number,
): UnconfirmedGrant | undefined {
  const {service, grant, round} = event;
  const sent = takeUnconfirmed(grants, round, grant);
  if (sent === undefined && expires) return undefined;
  const {generation} = grant;
  for (const key of sliceKeysOf(service, grant)) {
    const known = grants.confirmed.get(key);
    const knownUntil = known?.generation === generation ? known.heldUntil : 0;
    const heldUntil = Math.max(knownUntil, sent?.heldUntil ?? Infinity);
    grants.confirmed.set(key, {generation, heldUntil});
  }
  if (sent !== undefined) recordHold(grants, sent, now);
  return sent;
}

/**
 * Clears the confirmations of an earlier instance of the server, so that all
 * slices are granted again.
 *
 * @param grants - State of the grants.
 */
export function clearConfirmed(grants: SliceGrants): void {
  grants.confirmed.clear();
  grants.schedule.clear();
  grants.queue.length = 0;
  grants.underWay.clear();
}

/**
 * Clears all grants once the server's process is known to have ended: it no
 * longer holds slices.
 *
 * @param grants - State of the grants.
 */
export function clearGrants(grants: SliceGrants): void {
  clearConfirmed(grants);
  grants.holds.clear();
  grants.unconfirmed.clear();
  grants.unconfirmedBySlice.clear();
  grants.predecessorGrantsUntil = 0;
}

/**
 * Returns whether the server holds a slice under a generation: it confirmed the
 * grant, which has not expired.
 *
 * @param grants - State of the grants.
 * @param service - The service.
 * @param slice - The slice.
 * @param generation - The slice's current generation.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether the server would run work on the slice.
 */
export function isGrantConfirmed(
  grants: SliceGrants,
  service: ServiceName,
  slice: Slice,
  generation: number,
  now: number,
): boolean {
  const confirmed = grants.confirmed.get(sliceKey(service, slice));
  return confirmed?.generation === generation && now < confirmed.heldUntil;
}

/**
 * Returns whether the server may be asked to release a slice. While a recent
 * grant of the slice awaits its confirmation, it may not: the grant could
 * arrive after the release request, and the server would hold the slice again.
 *
 * @param grants - State of the grants.
 * @param service - The service.
 * @param slice - The slice.
 * @param now - Monotonic time, in milliseconds.
 * @returns False while a recent grant of the slice is unconfirmed.
 */
export function mayRequestRelease(
  grants: SliceGrants,
  service: ServiceName,
  slice: Slice,
  now: number,
): boolean {
  return unconfirmedGrantsOf(grants, service, slice).every(
    each => now - each.sentAt >= CONFIRM_TIMEOUT_MS,
  );
}

/**
 * Merges consecutive slices with the same generation and handover into grants.
 *
 * @param service - The service's placement.
 * @param slices - Slices in ascending order.
 * @returns The grants, in ascending order.
 */
export function groupIntoGrants(
  service: ServicePlacement,
  slices: readonly Slice[],
): SliceGrant[] {
  const grants: SliceGrant[] = [];
  for (const slice of slices) {
    const generation = service.generation[slice] as Generation;
    const handover = service.handovers.get(slice) ?? null;
    const last = grants.at(-1);
    const extendsLast =
      last !== undefined &&
      last.first + last.count === slice &&
      last.generation === generation &&
      last.handover === handover;
    if (extendsLast) grants.pop();
    const first = extendsLast ? last.first : slice;
    const count = extendsLast ? last.count + 1 : 1;
    grants.push({first, count, generation, handover});
  }
  return grants;
}

/**
 * Lists a member's slices that don't move away.
 *
 * @param service - The service's placement.
 * @param owner - Index of the member.
 * @returns The slices in ascending order.
 */
export function ownedSlices(service: ServicePlacement, owner: number): Slice[] {
  const slices: Slice[] = [];
  for (let slice = 0; slice < service.slices; slice++) {
    if (service.owner[slice] !== owner) continue;
    if (!service.moves.has(slice as Slice)) slices.push(slice as Slice);
  }
  return slices;
}
