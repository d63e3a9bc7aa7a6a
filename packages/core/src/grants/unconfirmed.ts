/**
 * @fileoverview Grants that were sent and not confirmed. They are indexed by
 * slice, since the release of a slice waits for those of that slice.
 */

import type {ServiceName, Slice} from '../ids/types.js';
import type {SliceGrant} from '../loop/types.js';
import {grantKey, sliceKey, sliceKeysOf} from './keys.js';
import type {SliceGrants, UnconfirmedGrant} from './types.js';

/**
 * Records that a grant was sent.
 *
 * @param grants - State of the grants.
 * @param round - Number of the effect that sent it.
 * @param sent - The grant and its times.
 */
export function addUnconfirmed(
  grants: SliceGrants,
  round: number,
  sent: UnconfirmedGrant,
): void {
  grants.unconfirmed.set(grantKey(round, sent), sent);
  for (const key of sliceKeysOf(sent.service, sent)) {
    const known = grants.unconfirmedBySlice.get(key);
    if (known === undefined) {
      grants.unconfirmedBySlice.set(key, new Set([sent]));
    } else known.add(sent);
  }
}

/**
 * Removes a grant that was confirmed, or of which nothing was written.
 *
 * @param grants - State of the grants.
 * @param round - Number of the effect that sent it.
 * @param grant - The grant.
 * @returns The grant and its times, or undefined if it isn't known.
 */
export function takeUnconfirmed(
  grants: SliceGrants,
  round: number,
  grant: SliceGrant,
): UnconfirmedGrant | undefined {
  const key = grantKey(round, grant);
  const sent = grants.unconfirmed.get(key);
  if (sent !== undefined) drop(grants, key, sent);
  return sent;
}

/**
 * Drops the grants that can no longer take effect.
 *
 * @param grants - State of the grants.
 * @param now - Monotonic time, in milliseconds.
 * @returns The dropped grants, oldest first.
 */
export function dropExpired(
  grants: SliceGrants,
  now: number,
): readonly UnconfirmedGrant[] {
  const expired: UnconfirmedGrant[] = [];
  for (const [key, sent] of grants.unconfirmed) {
    if (now < sent.until) continue;
    drop(grants, key, sent);
    expired.push(sent);
  }
  return expired;
}

/**
 * Lists the unconfirmed grants of a slice.
 *
 * @param grants - State of the grants.
 * @param service - The service.
 * @param slice - The slice.
 * @returns The grants, oldest first.
 */
export function unconfirmedGrantsOf(
  grants: SliceGrants,
  service: ServiceName,
  slice: Slice,
): UnconfirmedGrant[] {
  return [...(grants.unconfirmedBySlice.get(sliceKey(service, slice)) ?? [])];
}

function drop(grants: SliceGrants, key: string, sent: UnconfirmedGrant): void {
  grants.unconfirmed.delete(key);
  for (const slice of sliceKeysOf(sent.service, sent)) {
    const known = grants.unconfirmedBySlice.get(slice);
    known?.delete(sent);
    if (known?.size === 0) grants.unconfirmedBySlice.delete(slice);
  }
}
