/** @fileoverview Asks the backend server to release slices, a few at a time. */

import type {Slice} from '../ids/types.js';
import type {SliceGrant} from '../loop/types.js';
import type {ServicePlacement} from '../map/types.js';
import {log} from '../ownership/effects.js';
import type {OwnershipContext} from '../ownership/state.js';
import {MAX_CALLS_UNDER_WAY} from './calls.js';
import {sliceKey, sliceKeysOf} from './keys.js';
import {groupIntoGrants} from './logic.js';

/**
 * Asks the server to release slices, as far as few enough calls are under way.
 *
 * @param context - Context of the current input.
 * @param service - The service's placement.
 * @param slices - The slices in ascending order.
 * @param event - Log event for each range that is asked for.
 * @param onAsked - Called with the key of each slice that is asked for, and the
 *     number of the release.
 */
export function sendReleases(
  context: OwnershipContext,
  service: ServicePlacement,
  slices: readonly Slice[],
  event: 'releaseSent' | 'unprovenReleased',
  onAsked: (key: string, round: number) => void,
): void {
  const {state, at, effects} = context;
  const {grants, releasesUnderWay} = state;
  const {name} = service;
  const asked: SliceGrant[] = [];
  const round = grants.round + 1;
  for (const grant of groupIntoGrants(service, slices)) {
    if (releasesUnderWay.size >= MAX_CALLS_UNDER_WAY) break;
    const {first, count, generation} = grant;
    releasesUnderWay.set(sliceKey(name, first), at.monotonic);
    for (const key of sliceKeysOf(name, grant)) onAsked(key, round);
    log(context, event, {service: name, round, first, count, generation});
    asked.push(grant);
  }
  if (asked.length === 0) return;
  grants.round = round;
  effects.push({
    kind: 'releaseSlices',
    service: name,
    slices: service.slices,
    grants: asked,
    round,
  });
}
