/** @fileoverview The invariant of the model: no two servers hold a slice. */

import {START_MS, holdEnd, mayArrive, passesFence} from './server.js';
import type {ServerCall, World} from './types.js';

/**
 * Checks that no other server may hold a slice as long as this one does, or may
 * do so by a call that is on its way.
 *
 * @param world - The world.
 * @returns What violates that, or null.
 */
export function findViolation(world: World): string | null {
  for (const [slice, free] of world.freeFrom.entries()) {
    if (free === Infinity) continue;
    const other = `another server may hold slice ${slice} from ${free - START_MS}`;
    const {until, generation} = world.held[slice];
    if (until > Math.max(free, world.now)) {
      const end = Math.round(until - START_MS);
      return `${other}, this one does until ${end} (generation ${generation})`;
    }
    const late = world.calls.find(
      call => mayHoldBy(world, call, slice) > Math.max(free, world.now),
    );
    if (late === undefined) continue;
    const end = Math.round(mayHoldBy(world, late, slice) - START_MS);
    return `${other}, this one may until ${end} by call ${late.number}`;
  }
  return null;
}

/** Latest end of a hold by a grant that isn't carried out yet; 0 if none. */
function mayHoldBy(world: World, call: ServerCall, slice: number): number {
  const {first, count} = call.grant;
  if (call.ttlMs === null || call.done) return 0;
  if (slice < first || slice >= first + count) return 0;
  if (!passesFence(world, call)) return 0;
  const {calls} = world.bounds;
  if (call.arrivedAt !== null) {
    return calls.includes('carryOut') ? holdEnd(call, call.arrivedAt) : 0;
  }
  const isOnItsWay = calls.includes('arrive') && mayArrive(world, call);
  return isOnItsWay ? holdEnd(call, call.arrivesBy) : 0;
}
