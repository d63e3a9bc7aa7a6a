/** @fileoverview The ring of members and the choice of grantors (R7). */

import {compareIds, hostOf} from '../ids/logic.js';
import type {MemberId, ZoneName} from '../ids/types.js';
import type {ClusterMap, Member} from '../map/types.js';

/** Live members from which on two grantors are needed. */
const MEMBERS_FOR_TWO_GRANTORS = 5;

/** Live members in ring order. */
export interface Ring {
  readonly order: readonly MemberId[];
  readonly position: ReadonlyMap<MemberId, number>;
}

/** The ring without members. */
export const EMPTY_RING: Ring = {order: [], position: new Map()};

/**
 * Orders the live members in a ring by hash, so that a member that joins or
 * leaves changes only its neighbours.
 *
 * @param map - The map.
 * @returns The ring.
 */
export function buildRing(map: ClusterMap): Ring {
  const order = sortedBy(map, member => member.ringHash);
  const position = new Map(order.map((id, at) => [id, at]));
  return {order, position};
}

/**
 * Ranks the live members for the office of coordinator.
 *
 * @param map - The map.
 * @returns Member ids, the first rank first.
 */
export function rankMembers(map: ClusterMap): MemberId[] {
  return sortedBy(map, member => member.rankHash);
}

/**
 * Chooses a member's grantors: the next ones in the ring on other hosts, in
 * other availability zones where there are such.
 *
 * @param map - The map.
 * @param ring - The ring of the map.
 * @param member - The member that needs grantors.
 * @param passedOver - Members that are not to be chosen.
 * @returns No, one or two members.
 */
export function chooseGrantors(
  map: ClusterMap,
  ring: Ring,
  member: MemberId,
  passedOver: ReadonlySet<MemberId>,
): MemberId[] {
  const wanted = map.members.size < MEMBERS_FOR_TWO_GRANTORS ? 1 : 2;
  const own = map.members.get(member)?.zone;
  const chosen: MemberId[] = [];
  const zones = new Set([own]);
  const free = (id: MemberId): boolean =>
    !passedOver.has(id) && !chosen.includes(id);
  const zoneOf = (id: MemberId): ZoneName | undefined =>
    map.members.get(id)?.zone;
  while (chosen.length < wanted) {
    const next =
      nextInRing(ring, member, id => free(id) && !zones.has(zoneOf(id))) ??
      nextInRing(ring, member, id => free(id) && zoneOf(id) !== own) ??
      nextInRing(ring, member, free);
    if (next === null) break;
    chosen.push(next);
    zones.add(zoneOf(next));
  }
  return chosen;
}

function nextInRing(
  ring: Ring,
  member: MemberId,
  suits: (id: MemberId) => boolean,
): MemberId | null {
  const start = ring.position.get(member) ?? 0;
  const host = hostOf(member);
  const {order} = ring;
  for (let step = 1; step <= order.length; step++) {
    const id = order[(start + step) % order.length];
    if (hostOf(id) !== host && suits(id)) return id;
  }
  return null;
}

function sortedBy(
  map: ClusterMap,
  hashOf: (member: Member) => number,
): MemberId[] {
  const members = [...map.members.values()];
  members.sort((a, b) => hashOf(a) - hashOf(b) || compareIds(a.id, b.id));
  return members.map(member => member.id);
}
