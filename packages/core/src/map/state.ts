/** @fileoverview Creating the cluster map, and adding and removing members. */

import murmurhash from 'murmurhash';

import {NO_VERSION} from '../ids/logic.js';
import type {
  HostName,
  InstanceId,
  MemberId,
  ServiceName,
  Slice,
} from '../ids/types.js';
import {NO_ERA} from '../restore/era.js';
import type {ClusterMap, Member, ServicePlacement} from './types.js';

/** Index that means "none" in the placement arrays. */
export const NO_MEMBER = 0xffff;

/**
 * Seeds of the hashes for the ring of grantors and for the coordinator order.
 */
const RING_SEED = 0x72696e67;
const RANK_SEED = 0x72616e6b;
/** Maximum number of removed members whose ids are kept. */
const MAX_ENDED = 8192;
/** Maximum number of hosts whose last departure is kept. */
const MAX_DEPARTURES = 1024;

/**
 * Generations of each era: more than entries issue in one. 1,023 eras fit into
 * 32 bits.
 */
export const GENERATIONS_PER_ERA = 2 ** 20;

/**
 * Creates the map of a log without entries.
 *
 * @returns An empty map at version 0.
 */
export function createMap(): ClusterMap {
  return {
    version: NO_VERSION,
    revision: 0,
    era: NO_ERA,
    members: new Map(),
    membersByIndex: [],
    services: new Map(),
    zonesOut: new Set(),
    configuration: null,
    ended: new Map(),
    departures: new Map(),
    membershipChanges: 0,
  };
}

/**
 * Creates the placement of a service, without owners. Its generations begin above
 * those of earlier eras, in which lost entries may have placed it.
 *
 * @param name - The service.
 * @param slices - Number of its slices.
 * @param era - Highest era of an entry of the map.
 * @returns The placement.
 */
export function createServicePlacement(
  name: ServiceName,
  slices: number,
  era: number = NO_ERA,
): ServicePlacement {
  return {
    name,
    slices,
    owner: new Uint16Array(slices).fill(NO_MEMBER),
    standby: new Uint16Array(slices).fill(NO_MEMBER),
    generation: new Uint32Array(slices).fill(era * GENERATIONS_PER_ERA),
    moves: new Map<Slice, number>(),
    handovers: new Map<Slice, string>(),
  };
}

/**
 * Returns whether no slice of a service ever had an owner.
 *
 * @param service - Placement of the service.
 * @returns False from the first placement on, also if all owners are lost.
 */
export function wasNeverPlaced(service: ServicePlacement): boolean {
  return (
    service.owner.every(owner => owner === NO_MEMBER) &&
    service.generation.every(each => each % GENERATIONS_PER_ERA === 0)
  );
}

/**
 * Returns the hash that orders members in the ring.
 *
 * @param member - The member.
 * @returns The hash.
 */
export function ringHashOf(member: MemberId): number {
  return murmurhash.v3(member, RING_SEED);
}

/**
 * Adds a member at the lowest free index.
 *
 * @param map - The map, updated in place.
 * @param member - The member, without its index and hashes.
 */
export function addMember(
  map: ClusterMap,
  member: Omit<Member, 'index' | 'ringHash' | 'rankHash'>,
): void {
  const free = map.membersByIndex.indexOf(null);
  const index = free < 0 ? map.membersByIndex.length : free;
  const added: Member = {
    ...member,
    index,
    ringHash: ringHashOf(member.id),
    rankHash: murmurhash.v3(member.id, RANK_SEED),
  };
  map.membersByIndex[index] = added;
  map.members.set(added.id, added);
  map.membershipChanges += 1;
}

/**
 * Removes a member to which no placement refers.
 *
 * @param map - The map, updated in place.
 * @param member - The member.
 * @param now - Monotonic time, in milliseconds.
 */
export function removeMember(
  map: ClusterMap,
  member: MemberId,
  now: number,
): void {
  const removed = map.members.get(member);
  if (removed !== undefined) {
    map.membersByIndex[removed.index] = null;
    map.members.delete(member);
    map.membershipChanges += 1;
  }
  if (!map.ended.has(member)) map.ended.set(member, now);
  while (map.ended.size > MAX_ENDED) {
    const oldest = map.ended.keys().next().value;
    if (oldest === undefined) return;
    map.ended.delete(oldest);
  }
}

/**
 * Records the server on a host that is shutting down.
 *
 * @param map - The map.
 * @param host - The host.
 * @param instance - The server.
 */
export function recordDeparture(
  map: ClusterMap,
  host: HostName,
  instance: InstanceId,
): void {
  const {departures} = map;
  departures.delete(host);
  departures.set(host, instance);
  if (departures.size <= MAX_DEPARTURES) return;
  const [oldest] = departures.keys();
  departures.delete(oldest);
}
