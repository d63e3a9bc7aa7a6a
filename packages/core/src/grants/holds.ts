/**
 * @fileoverview Until when the local backend server may hold slices. A hold
 * ends by its expiry, with the server's process, or by the answer to a release
 * that was sent after the grant was confirmed. An unconfirmed grant may arrive
 * after any release, so it only expires.
 */

import type {ServiceName, Slice} from '../ids/types.js';
import type {Event} from '../loop/types.js';
import {SERVER_CLOCK_ERROR} from '../settings/lease_times.js';
import {sliceKey, sliceKeysOf} from './keys.js';
import type {SliceGrants, UnconfirmedGrant} from './types.js';
import {unconfirmedGrantsOf} from './unconfirmed.js';

/**
 * Returns when the hold of a grant that has arrived ends at the latest. The
 * server counts it from the arrival, which isn't later than its response.
 *
 * @param sent - The grant and its times.
 * @param arrivedBy - Monotonic time by which the call has arrived.
 * @returns Monotonic time, in milliseconds.
 */
export function endOfHold(sent: UnconfirmedGrant, arrivedBy: number): number {
  return arrivedBy + sent.ttlMs * (1 + SERVER_CLOCK_ERROR);
}

/**
 * Records that the server holds the slices of a grant that it confirmed.
 *
 * @param grants - State of the grants.
 * @param sent - The grant and its times.
 * @param answeredAt - Monotonic time of its response.
 */
export function recordHold(
  grants: SliceGrants,
  sent: UnconfirmedGrant,
  answeredAt: number,
): void {
  const confirmedAfter = grants.round;
  const end = endOfHold(sent, answeredAt);
  for (const key of sliceKeysOf(sent.service, sent)) {
    const knownUntil = grants.holds.get(key)?.until ?? 0;
    const until = Math.max(knownUntil, end);
    grants.holds.set(key, {until, confirmedAfter});
    grants.unproven.delete(key);
  }
}

/**
 * Records that the server released slices. Grants that were confirmed after
 * the release was sent may have arrived after it.
 *
 * @param grants - State of the grants.
 * @param event - The slices, and the number of the release.
 * @returns Number of the slices that the server may still hold.
 */
export function recordRelease(
  grants: SliceGrants,
  event: Extract<Event, {kind: 'slicesReleased'}>,
): number {
  const {service, grant, round} = event;
  const {first, count} = grant;
  let kept = 0;
  for (let slice = first; slice < first + count; slice++) {
    const key = sliceKey(service, slice);
    const hold = grants.holds.get(key);
    const isNewer = hold !== undefined && hold.confirmedAfter >= round;
    if (!isNewer) grants.holds.delete(key);
    const isUnconfirmed =
      unconfirmedGrantsOf(grants, service, slice).length > 0;
    if (isNewer || isUnconfirmed) kept += 1;
  }
  return kept;
}

/**
 * Returns whether the server may hold a slice.
 *
 * @param grants - State of the grants.
 * @param service - The service.
 * @param slice - The slice.
 * @param now - Monotonic time, in milliseconds.
 * @returns False if it is safe to grant the slice to another server.
 */
export function mayServerHold(
  grants: SliceGrants,
  service: ServiceName,
  slice: Slice,
  now: number,
): boolean {
  if (now < grants.predecessorGrantsUntil) return true;
  const hold = grants.holds.get(sliceKey(service, slice));
  if (hold !== undefined && now < hold.until) return true;
  return unconfirmedGrantsOf(grants, service, slice).some(
    sent => now < sent.until,
  );
}

/**
 * Returns whether the server may hold any slice.
 *
 * @param grants - State of the grants.
 * @param now - Monotonic time, in milliseconds.
 * @returns False if it is safe to grant all its slices to other servers.
 */
export function mayServerHoldAny(grants: SliceGrants, now: number): boolean {
  if (now < grants.predecessorGrantsUntil) return true;
  const ends = [...grants.holds.values(), ...grants.unconfirmed.values()];
  return ends.some(({until}) => now < until);
}

/**
 * Counts the slices that the server may hold.
 *
 * @param grants - State of the grants.
 * @param now - Monotonic time, in milliseconds.
 * @returns The number of slices, without those of the predecessor's grants.
 */
export function countHeldSlices(grants: SliceGrants, now: number): number {
  const held = new Set<string>();
  for (const [key, {until}] of grants.holds) {
    if (now < until) held.add(key);
  }
  for (const sent of grants.unconfirmed.values()) {
    if (now >= sent.until) continue;
    for (const key of sliceKeysOf(sent.service, sent)) held.add(key);
  }
  return held.size;
}
