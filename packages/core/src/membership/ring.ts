/** @fileoverview The hash ring of members, and the choice of grantors in it. */

import {compareIds, hostOf} from '../ids/logic.js';
import type {MemberId, ZoneName} from '../ids/types.js';
import type {ClusterMap, Member} from '../map/types.js';

/** Minimum number of members at which each needs two grantors. */
const MEMBERS_FOR_TWO_GRANTORS = 5;

/** Members of the workspace in ring order. */
export interface Ring {
  readonly order: readonly MemberId[];
  /** Index of each member in `order`. */
  readonly position: ReadonlyMap<MemberId, number>;
}

/** What the ring depends on: the members with their hashes and zones. */
export interface Membership {
  readonly members: ReadonlyMap<
    MemberId,
    Pick<Member, 'id' | 'zone' | 'ringHash'>
  >;
}

/** A ring without members. */
export const EMPTY_RING: Ring = {order: [], position: new Map()};

/**
 * Orders the members in a ring by hash, so that a member that joins or is
 * removed changes the order of no others.
 *
 * @param map - Map of the workspace.
 * @returns The ring.
 */
export function buildRing(map: Membership): Ring {
  const order = sortByHash(map.members, member => member.ringHash);
  const position = new Map(order.map((id, at) => [id, at]));
  return {order, position};
}

/**
 * Returns the order in which members succeed each other as coordinator; the
 * first one is the coordinator. It follows a hash other than the ring's.
 *
 * @param map - Map of the workspace.
 * @returns Member ids by rank.
 */
export function rankMembers(map: ClusterMap): MemberId[] {
  return sortByHash(map.members, member => member.rankHash);
}

/**
 * Chooses a member's grantors: the next members in the ring on other hosts,
 * each in a different availability zone if possible, and not the member's.
 *
 * @param map - Map of the workspace.
 * @param ring - Ring of the map's members.
 * @param member - The member that needs grantors.
 * @param excluded - Members that must not be chosen.
 * @returns Up to two members, in order of choice.
 */
export function chooseGrantors(
  map: Membership,
  ring: Ring,
  member: MemberId,
  excluded: ReadonlySet<MemberId>,
): MemberId[] {
  const count = map.members.size < MEMBERS_FOR_TWO_GRANTORS ? 1 : 2;
  const ownZone = map.members.get(member)?.zone;
  const chosen: MemberId[] = [];
  const zones = new Set([ownZone]);
  const isFree = (id: MemberId): boolean =>
    !excluded.has(id) && !chosen.includes(id);
  const zoneOf = (id: MemberId): ZoneName | undefined =>
    map.members.get(id)?.zone;
  while (chosen.length < count) {
    const next =
      nextInRing(ring, member, id => isFree(id) && !zones.has(zoneOf(id))) ??
      nextInRing(ring, member, id => isFree(id) && zoneOf(id) !== ownZone) ??
      nextInRing(ring, member, isFree);
    if (next === null) break;
    chosen.push(next);
    zones.add(zoneOf(next));
  }
  return chosen;
}

function nextInRing(
  ring: Ring,
  member: MemberId,
  accepts: (id: MemberId) => boolean,
): MemberId | null {
  const start = ring.position.get(member) ?? 0;
  const host = hostOf(member);
  const {order} = ring;
  for (let step = 1; step <= order.length; step++) {
    const id = order[(start + step) % order.length];
    if (hostOf(id) !== host && accepts(id)) return id;
  }
  return null;
}

function sortByHash<T extends Pick<Member, 'id'>>(
  members: ReadonlyMap<MemberId, T>,
  hashOf: (member: T) => number,
): MemberId[] {
  const sorted = [...members.values()];
  sorted.sort((a, b) => hashOf(a) - hashOf(b) || compareIds(a.id, b.id));
  return sorted.map(member => member.id);
}
