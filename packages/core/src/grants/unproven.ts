/**
 * @fileoverview Slices that the server may hold although their grants count as
 * ended: a call without a response may have waited at a server that stood still.
 * What this member no longer owns is released once the server is heard again.
 */

import type {Slice} from '../ids/types.js';
import type {Event} from '../loop/types.js';
import type {ServicePlacement} from '../map/types.js';
import type {OwnershipContext} from '../ownership/state.js';
import {CALL_TIMEOUT_MS} from './calls.js';
import {sliceKey, sliceKeysOf} from './keys.js';
import {sendReleases} from './releases.js';
import type {SliceGrants, UnconfirmedGrant, UnprovenEnd} from './types.js';

/**
 * Records the slices of a grant that ended without a proof.
 *
 * @param grants - State of the grants.
 * @param sent - The grant.
 */
export function recordUnproven(
  grants: SliceGrants,
  sent: UnconfirmedGrant,
): void {
  const {service, first, count} = sent;
  for (let slice = first; slice < first + count; slice++) {
    const key = sliceKey(service, slice);
    if (grants.unproven.has(key)) continue;
    const unproven = {service, slice, releaseRound: null, releasedAt: 0};
    grants.unproven.set(key, unproven);
  }
}

/**
 * Records all slices of which the server may hold an unconfirmed grant, as this
 * member is removed: its successor knows nothing of them.
 *
 * @param grants - State of the grants.
 */
export function recordAllUnproven(grants: SliceGrants): void {
  for (const sent of grants.unconfirmed.values()) recordUnproven(grants, sent);
}

/**
 * Asks the server to release unproven slices that this member doesn't own. They
 * are asked for again until the server responds.
 *
 * @param context - Context of the current input.
 */
export function releaseUnproven(context: OwnershipContext): void {
  const {grants, announcement} = context.state;
  if (announcement?.checksGrants !== true) return;
  for (const [service, slices] of releasable(context)) {
    sendReleases(context, service, slices, 'unprovenReleased', (key, round) => {
      const unproven = grants.unproven.get(key);
      if (unproven === undefined) return;
      unproven.releaseRound = round;
      unproven.releasedAt = context.at.monotonic;
    });
  }
}

/**
 * Forgets unproven slices that the server has released.
 *
 * @param grants - State of the grants.
 * @param event - The slices, and the number of the release.
 */
export function recordUnprovenReleased(
  grants: SliceGrants,
  event: Extract<Event, {kind: 'slicesReleased'}>,
): void {
  for (const key of sliceKeysOf(event.service, event.grant)) {
    if (grants.unproven.get(key)?.releaseRound !== event.round) continue;
    grants.unproven.delete(key);
  }
}

/** Lists unproven slices that belong to other members and are due for release. */
function releasable({
  state,
  at,
}: OwnershipContext): Map<ServicePlacement, Slice[]> {
  const {grants, map} = state;
  const own = map.members.get(state.self)?.index;
  const found = new Map<ServicePlacement, Slice[]>();
  for (const [key, unproven] of grants.unproven) {
    const service = map.services.get(unproven.service);
    if (service === undefined) grants.unproven.delete(key);
    else if (service.owner[unproven.slice] === own) continue;
    else if (isDue(unproven, at.monotonic)) {
      const slices = found.get(service) ?? [];
      slices.push(unproven.slice);
      found.set(service, slices);
    }
  }
  for (const slices of found.values()) slices.sort((a, b) => a - b);
  return found;
}

function isDue({releaseRound, releasedAt}: UnprovenEnd, now: number): boolean {
  return releaseRound === null || now - releasedAt >= CALL_TIMEOUT_MS;
}
