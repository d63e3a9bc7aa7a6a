/** @fileoverview What the coordinator changes next in the map. */

import type {MemberId, ServiceName, Slice} from '../ids/types.js';
import type {Change, SliceMove, SliceRun} from '../log/types.js';
import {memberAt, acceptsWork} from '../map/logic.js';
import {NO_MEMBER} from '../map/state.js';
import type {ClusterMap, Member, ServicePlacement} from '../map/types.js';

/** Most runs or moves in one entry. */
const MOST_RUNS = 2048;
/** Gap between two members, as a share of the mean, that is evened out. */
const LEAST_GAP_SHARE = 0.15;

/**
 * Finds the most urgent change of placement.
 *
 * @param map - The map.
 * @returns The change, or null when nothing is to be done.
 */
export function nextPlacement(map: ClusterMap): Change | null {
  const services = configuredServices(map);
  for (const step of [placeUnowned, moveAway, placeStandbys]) {
    for (const service of services) {
      const candidates = eligibleMembers(map, service.name);
      if (candidates.length === 0) continue;
      const change = step(map, service, candidates);
      if (change !== null) return change;
    }
  }
  return null;
}

/**
 * Lists the members that take new work of a service, in a stable order.
 *
 * @param map - The map.
 * @param service - The service.
 * @returns The members.
 */
export function eligibleMembers(
  map: ClusterMap,
  service: ServiceName,
): Member[] {
  const found: Member[] = [];
  for (const member of map.members.values()) {
    if (member.offer?.service !== service) continue;
    if (acceptsWork(map, member)) found.push(member);
  }
  return found.sort((a, b) => (a.id < b.id ? -1 : 1));
}

/**
 * Lists the keyed services of the configuration in force.
 *
 * @param map - The map.
 * @returns Their placements.
 */
export function configuredServices(map: ClusterMap): ServicePlacement[] {
  const named = map.configuration?.workspace.services ?? [];
  const placements = named.map(({name}) => map.services.get(name));
  return placements.filter(each => each !== undefined);
}

/** Gives slices without an owner to the members with the fewest. */
function placeUnowned(
  map: ClusterMap,
  service: ServicePlacement,
  candidates: readonly Member[],
): Change | null {
  const counts = countOwned(service);
  const free = countFree(service);
  if (free === 0) return null;
  const runs = new RunList();
  const quota = Math.ceil(service.slices / candidates.length);
  const nextOwner = isOrdered(map, service.name)
    ? ownersInTurn(candidates, counts)
    : ownersByQuota(candidates, counts, quota);
  for (let slice = 0; slice < service.slices; slice++) {
    if (service.owner[slice] !== NO_MEMBER) continue;
    const owner = nextOwner();
    counts.set(owner.index, count(counts, owner) + 1);
    const standby = standbyFor(owner, candidates, slice);
    if (!runs.add(slice, owner.id, standby?.id ?? null)) break;
  }
  return placed(service, runs);
}

/** Neighbouring slices of ordered keys are hot together: owners alternate. */
function isOrdered(map: ClusterMap, name: ServiceName): boolean {
  const services = map.configuration?.workspace.services ?? [];
  const division = services.find(each => each.name === name)?.division;
  return division?.kind === 'keyed' && typeof division.keys === 'number';
}

function ownersInTurn(
  candidates: readonly Member[],
  counts: ReadonlyMap<number, number>,
): () => Member {
  let last = -1;
  return () => {
    const least = Math.min(...candidates.map(each => count(counts, each)));
    for (let step = 1; step <= candidates.length; step++) {
      const index = (last + step) % candidates.length;
      if (count(counts, candidates[index]) > least) continue;
      last = index;
      break;
    }
    return candidates[last];
  };
}

function ownersByQuota(
  candidates: readonly Member[],
  counts: ReadonlyMap<number, number>,
  quota: number,
): () => Member {
  let at = 0;
  return () => {
    const isFull = (): boolean => count(counts, candidates[at]) >= quota;
    while (at < candidates.length - 1 && isFull()) at += 1;
    return candidates[at];
  };
}

function placed(service: ServicePlacement, runs: RunList): Change {
  const {name, slices} = service;
  return {kind: 'placed', service: name, slices, runs: runs.list};
}

/** Moves slices away from members that take no new work. */
function moveAway(
  map: ClusterMap,
  service: ServicePlacement,
  candidates: readonly Member[],
): Change | null {
  const eligible = new Map(candidates.map(each => [each.index, each]));
  const counts = countOwned(service);
  const moves = new MoveList();
  for (let slice = 0; slice < service.slices; slice++) {
    const owner = service.owner[slice];
    if (owner === NO_MEMBER || eligible.has(owner)) continue;
    const current = service.moves.get(slice as Slice);
    if (current !== undefined && eligible.has(current)) continue;
    const target =
      eligible.get(service.standby[slice]) ?? leastLoaded(candidates, counts);
    const holder = memberAt(map, owner);
    if (holder === null || holder.awaited) continue;
    counts.set(target.index, (counts.get(target.index) ?? 0) + 1);
    if (!moves.add(slice, target.id)) break;
  }
  if (moves.list.length === 0) return null;
  return {kind: 'moving', service: service.name, moves: moves.list};
}

/** Gives every slice a standby in another availability zone, if there is. */
function placeStandbys(
  map: ClusterMap,
  service: ServicePlacement,
  candidates: readonly Member[],
): Change | null {
  const eligible = new Map(candidates.map(each => [each.index, each]));
  const zones = new Set(candidates.map(each => each.zone));
  const runs = new RunList();
  for (let slice = 0; slice < service.slices; slice++) {
    const owner = memberAt(map, service.owner[slice]);
    if (owner === null || service.moves.has(slice as Slice)) continue;
    const standby = eligible.get(service.standby[slice]);
    const elsewhere = zones.size > 1 || !zones.has(owner.zone);
    if (standby !== undefined) {
      if (standby.zone !== owner.zone || !elsewhere) continue;
    }
    const chosen = standbyFor(owner, candidates, slice);
    if (chosen === null && service.standby[slice] === NO_MEMBER) continue;
    if (!runs.add(slice, owner.id, chosen?.id ?? null)) break;
  }
  if (runs.list.length === 0) return null;
  return placed(service, runs);
}

/**
 * Evens out the number of slices, a few moves at a time.
 *
 * @param map - The map.
 * @param service - The service.
 * @param candidates - Members that take its work.
 * @returns The change, or null.
 */
export function rebalanceSliceCounts(
  map: ClusterMap,
  service: ServicePlacement,
  candidates: readonly Member[],
): Change | null {
  const limits = map.configuration?.workspace.limits;
  const room = (limits?.maxMovingSlices ?? 0) - service.moves.size;
  if (room <= 0 || service.moves.size > 0) return null;
  const counts = countOwned(service);
  const owned = slicesByOwner(service);
  const mean = service.slices / candidates.length;
  const leastGap = Math.max(2, Math.ceil(mean * LEAST_GAP_SHARE));
  const moves = new MoveList();
  for (let taken = 0; taken < room; taken++) {
    const from = mostLoaded(candidates, counts);
    const to = leastLoaded(candidates, counts);
    const slice = owned.get(from.index)?.pop();
    if (count(counts, from) - count(counts, to) < leastGap) break;
    if (slice === undefined) break;
    counts.set(from.index, count(counts, from) - 1);
    counts.set(to.index, count(counts, to) + 1);
    if (!moves.add(slice, to.id)) break;
  }
  if (moves.list.length === 0) return null;
  return {kind: 'moving', service: service.name, moves: moves.list};
}

function slicesByOwner(service: ServicePlacement): Map<number, Slice[]> {
  const owned = new Map<number, Slice[]>();
  for (let slice = 0; slice < service.slices; slice++) {
    const owner = service.owner[slice];
    const slices = owned.get(owner) ?? [];
    slices.push(slice as Slice);
    owned.set(owner, slices);
  }
  return owned;
}

/** Standbys of one owner are spread over the other members. */
function standbyFor(
  owner: Member,
  candidates: readonly Member[],
  salt: number,
): Member | null {
  let fallback: Member | null = null;
  for (let step = 0; step < candidates.length; step++) {
    const each = candidates[(salt + step) % candidates.length];
    if (each.index === owner.index) continue;
    if (each.zone !== owner.zone) return each;
    fallback ??= each;
  }
  return fallback;
}

function leastLoaded(
  candidates: readonly Member[],
  counts: ReadonlyMap<number, number>,
): Member {
  let best = candidates[0];
  for (const each of candidates) {
    if (count(counts, each) < count(counts, best)) best = each;
  }
  return best;
}

function mostLoaded(
  candidates: readonly Member[],
  counts: ReadonlyMap<number, number>,
): Member {
  let best = candidates[0];
  for (const each of candidates) {
    if (count(counts, each) > count(counts, best)) best = each;
  }
  return best;
}

function count(counts: ReadonlyMap<number, number>, member: Member): number {
  return counts.get(member.index) ?? 0;
}

function countOwned(service: ServicePlacement): Map<number, number> {
  const counts = new Map<number, number>();
  for (let slice = 0; slice < service.slices; slice++) {
    const to = service.moves.get(slice as Slice) ?? service.owner[slice];
    counts.set(to, (counts.get(to) ?? 0) + 1);
  }
  return counts;
}

function countFree(service: ServicePlacement): number {
  let free = 0;
  for (const owner of service.owner) {
    if (owner === NO_MEMBER) free += 1;
  }
  return free;
}

/** Collects runs, joining neighbours that are alike. */
class RunList {
  readonly list: SliceRun[] = [];

  /** Returns false when no more fit. */
  add(slice: number, owner: MemberId, standby: MemberId | null): boolean {
    const last = this.list.at(-1);
    const alike =
      last !== undefined &&
      last.owner === owner &&
      last.standby === standby &&
      last.first + last.count === slice;
    const first = alike ? last.first : (slice as Slice);
    const length = alike ? last.count + 1 : 1;
    if (alike) this.list.pop();
    this.list.push({first, count: length, owner, standby});
    return this.list.length < MOST_RUNS;
  }
}

/** Collects moves, joining neighbours that are alike. */
class MoveList {
  readonly list: SliceMove[] = [];

  /** Returns false when no more fit. */
  add(slice: number, to: MemberId): boolean {
    const last = this.list.at(-1);
    const alike =
      last !== undefined && last.to === to && last.first + last.count === slice;
    const first = alike ? last.first : (slice as Slice);
    const length = alike ? last.count + 1 : 1;
    if (alike) this.list.pop();
    this.list.push({first, count: length, to});
    return this.list.length < MOST_RUNS;
  }
}
