/**
 * @fileoverview How the coordinator places slices: owners, standbys and moves
 * that depend on the map alone, not on load.
 */

import type {MemberId, ServiceName, Slice} from '../ids/types.js';
import {MAX_LIST_CHARACTERS} from '../log/logic.js';
import type {Change, SliceMove, SliceRange} from '../log/types.js';
import {memberAt, acceptsWork} from '../map/logic.js';
import {NO_MEMBER, wasNeverPlaced} from '../map/state.js';
import type {ClusterMap, Member, ServicePlacement} from '../map/types.js';

/**
 * Number of blocks of adjacent slices that an owner of ordered keys gets when
 * it has none: more blocks spread hot keys better, fewer need fewer grants.
 */
const BLOCKS_PER_OWNER = 6;
/**
 * Minimum difference between two members' numbers of slices that is worth a
 * move, as a share of the mean.
 */
const MIN_GAP_SHARE = 0.15;

/**
 * Returns the most urgent change of placement: owners for slices without one,
 * then moves from members that accept no work, then standbys.
 *
 * @param map - Map of the workspace.
 * @param placesNew - Whether services that never had an owner are placed.
 * @returns The change, or null if the placement needs none.
 */
export function nextPlacement(
  map: ClusterMap,
  placesNew = true,
): Change | null {
  const services = configuredServices(map).filter(
    service => placesNew || !wasNeverPlaced(service),
  );
  for (const step of [placeUnowned, moveFromIneligible, placeStandbys]) {
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
 * Lists the members that accept new work of a service, in the order of their
 * ids.
 *
 * @param map - Map of the workspace.
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
 * Lists the placements of the keyed services in the configuration in force.
 *
 * @param map - Map of the workspace.
 * @returns The placements, in the order of the configuration.
 */
export function configuredServices(map: ClusterMap): ServicePlacement[] {
  const services = map.configuration?.workspace.services ?? [];
  const placements = services.map(({name}) => map.services.get(name));
  return placements.filter(each => each !== undefined);
}

/** Gives slices without an owner to the members with the fewest slices. */
function placeUnowned(
  map: ClusterMap,
  service: ServicePlacement,
  candidates: readonly Member[],
): Change | null {
  const counts = countAssigned(service);
  const unowned = countUnowned(service);
  if (unowned === 0) return null;
  const ranges = new RangeList();
  const quota = Math.ceil(service.slices / candidates.length);
  const blockSize = blockSizeOf(map, service, candidates);
  const nextOwner = hasOrderedKeys(map, service.name)
    ? roundRobinOwners(candidates, counts)
    : ownersByQuota(candidates, counts, quota);
  let block: {owner: Member; standby: Member | null; end: number} | null = null;
  for (let slice = 0; slice < service.slices; slice++) {
    if (service.owner[slice] !== NO_MEMBER) {
      block = null;
      continue;
    }
    if (block === null || slice === block.end) {
      const owner = nextOwner();
      const standby = standbyFor(owner, candidates, slice / blockSize);
      block = {owner, standby, end: slice + blockSize};
    }
    const {owner, standby} = block;
    counts.set(owner.index, count(counts, owner) + 1);
    if (!ranges.add(slice, owner.id, standby?.id ?? null)) break;
  }
  return placedChange(service, ranges);
}

/**
 * Number of adjacent slices of ordered keys that get the same owner at first
 * and the same standby; 1 for hashed keys.
 */
function blockSizeOf(
  map: ClusterMap,
  service: ServicePlacement,
  candidates: readonly Member[],
): number {
  if (!hasOrderedKeys(map, service.name)) return 1;
  const blocks = candidates.length * BLOCKS_PER_OWNER;
  return Math.max(1, Math.floor(service.slices / blocks));
}

/**
 * Returns whether a service has ordered keys. Adjacent slices of such keys are
 * under load at the same time, so they get different owners.
 *
 * @param map - Map of the workspace.
 * @param name - The service.
 * @returns Whether slices are ranges of numeric keys.
 */
export function hasOrderedKeys(map: ClusterMap, name: ServiceName): boolean {
  const services = map.configuration?.workspace.services ?? [];
  const division = services.find(each => each.name === name)?.division;
  return division?.kind === 'keyed' && typeof division.keys === 'number';
}

/** Creates a source of owners in turn, each with the fewest slices so far. */
function roundRobinOwners(
  candidates: readonly Member[],
  counts: ReadonlyMap<number, number>,
): () => Member {
  let last = -1;
  return () => {
    const lowest = Math.min(...candidates.map(each => count(counts, each)));
    for (let step = 1; step <= candidates.length; step++) {
      const index = (last + step) % candidates.length;
      if (count(counts, candidates[index]) > lowest) continue;
      last = index;
      break;
    }
    return candidates[last];
  };
}

/** Creates a source of owners, each until it has its quota of slices. */
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

function placedChange(service: ServicePlacement, ranges: RangeList): Change {
  const {name, slices} = service;
  return {kind: 'placed', service: name, slices, runs: ranges.list};
}

/**
 * Moves slices from members that accept no new work, to the standby if
 * possible. Slices of a restarted daemon stay until its backend server has
 * announced itself.
 */
function moveFromIneligible(
  map: ClusterMap,
  service: ServicePlacement,
  candidates: readonly Member[],
): Change | null {
  const eligible = new Map(candidates.map(each => [each.index, each]));
  const counts = countAssigned(service);
  const nextTarget = targetsInRuns(map, service, candidates, counts);
  const moves = new MoveList();
  for (let slice = 0; slice < service.slices; slice++) {
    const owner = service.owner[slice];
    if (owner === NO_MEMBER || eligible.has(owner)) continue;
    const current = service.moves.get(slice as Slice);
    if (current !== undefined && eligible.has(current)) continue;
    const ownerMember = memberAt(map, owner);
    if (ownerMember === null || ownerMember.awaited) continue;
    const target = eligible.get(service.standby[slice]) ?? nextTarget(slice);
    counts.set(target.index, count(counts, target) + 1);
    if (!moves.add(slice, target.id)) break;
  }
  if (moves.list.length === 0) return null;
  return {kind: 'moving', service: service.name, moves: moves.list};
}

/**
 * Creates a source of targets for slices in ascending order. Adjacent slices go
 * to the same target, up to the size of a block and to an even share of all
 * slices: every range of a member needs a grant of its own. A block goes to the
 * owner of the slice before it, unless that has its share already.
 */
function targetsInRuns(
  map: ClusterMap,
  service: ServicePlacement,
  candidates: readonly Member[],
  counts: ReadonlyMap<number, number>,
): (slice: number) => Member {
  const quota = Math.ceil(service.slices / candidates.length);
  const size = hasOrderedKeys(map, service.name)
    ? blockSizeOf(map, service, candidates)
    : quota;
  const hasRoom = (each: Member): boolean => count(counts, each) < quota;
  let block: {target: Member; next: number; end: number} | null = null;
  return slice => {
    const continues =
      block?.next === slice && slice < block.end && hasRoom(block.target);
    if (block === null || !continues) {
      const before = assignedTo(service, slice - 1);
      const neighbor = candidates.find(each => each.index === before);
      const target =
        neighbor !== undefined && hasRoom(neighbor)
          ? neighbor
          : withFewestSlices(candidates, counts);
      block = {target, next: slice, end: slice + size};
    }
    block.next = slice + 1;
    return block.target;
  };
}

/** Index of the member that has a slice or gets it. */
function assignedTo(service: ServicePlacement, slice: number): number {
  const target = service.moves.get(slice as Slice);
  return target ?? service.owner[slice] ?? NO_MEMBER;
}

/**
 * Gives every slice a standby that accepts work, in another availability zone
 * than the owner's if there is one. It waits for moves to end, so that one entry
 * serves all of them; a moving slice whose owner is lost goes to its target.
 */
function placeStandbys(
  map: ClusterMap,
  service: ServicePlacement,
  candidates: readonly Member[],
): Change | null {
  if (service.moves.size > 0) return null;
  const eligible = new Map(candidates.map(each => [each.index, each]));
  const zones = new Set(candidates.map(each => each.zone));
  const blockSize = blockSizeOf(map, service, candidates);
  const ranges = new RangeList();
  for (let slice = 0; slice < service.slices; slice++) {
    const owner = memberAt(map, service.owner[slice]);
    if (owner === null) continue;
    const standby = eligible.get(service.standby[slice]);
    const hasOtherZone = zones.size > 1 || !zones.has(owner.zone);
    if (standby !== undefined) {
      if (standby.zone !== owner.zone || !hasOtherZone) continue;
    }
    const chosen = standbyFor(owner, candidates, slice / blockSize);
    if (chosen === null && service.standby[slice] === NO_MEMBER) continue;
    if (!ranges.add(slice, owner.id, chosen?.id ?? null)) break;
  }
  if (ranges.list.length === 0) return null;
  return placedChange(service, ranges);
}

/**
 * Moves slices from the members with the most to those with the fewest, up to
 * the limit of moving slices. Does nothing while any slice of the service
 * moves, so the whole limit is available.
 *
 * @param map - Map of the workspace.
 * @param service - Placement of the service.
 * @param candidates - Members that accept its work.
 * @returns The change, or null if the numbers are about even.
 */
export function rebalanceSliceCounts(
  map: ClusterMap,
  service: ServicePlacement,
  candidates: readonly Member[],
): Change | null {
  const limits = map.configuration?.workspace.limits;
  const maxNewMoves = (limits?.maxMovingSlices ?? 0) - service.moves.size;
  if (maxNewMoves <= 0 || service.moves.size > 0) return null;
  const counts = countAssigned(service);
  const owned = slicesByOwner(service);
  const mean = service.slices / candidates.length;
  const minGap = Math.max(2, Math.ceil(mean * MIN_GAP_SHARE));
  const moves = new MoveList();
  let from = withMostSlices(candidates, counts);
  let to = withFewestSlices(candidates, counts);
  const gap = (): number => count(counts, from) - count(counts, to);
  for (let added = 0; added < maxNewMoves; added++) {
    // The same pair for as long as both need it, so that slices move in runs.
    const isEven = count(counts, from) <= mean || count(counts, to) >= mean;
    if (isEven || gap() < minGap) {
      from = withMostSlices(candidates, counts);
      to = withFewestSlices(candidates, counts);
    }
    if (gap() < minGap) break;
    const slice = owned.get(from.index)?.pop();
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

/**
 * Chooses a standby in another availability zone, or else any other member. The
 * search starts at a candidate given by the block of slices, which spreads the
 * standbys of one owner over the other members.
 */
function standbyFor(
  owner: Member,
  candidates: readonly Member[],
  block: number,
): Member | null {
  let fallback: Member | null = null;
  const start = Math.floor(block);
  for (let step = 0; step < candidates.length; step++) {
    const each = candidates[(start + step) % candidates.length];
    if (each.index === owner.index) continue;
    if (each.zone !== owner.zone) return each;
    fallback ??= each;
  }
  return fallback;
}

function withFewestSlices(
  candidates: readonly Member[],
  counts: ReadonlyMap<number, number>,
): Member {
  let best = candidates[0];
  for (const each of candidates) {
    if (count(counts, each) < count(counts, best)) best = each;
  }
  return best;
}

function withMostSlices(
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

/**
 * Counts slices by member index; a moving slice counts for the member to which
 * it moves.
 */
function countAssigned(service: ServicePlacement): Map<number, number> {
  const counts = new Map<number, number>();
  for (let slice = 0; slice < service.slices; slice++) {
    const to = service.moves.get(slice as Slice) ?? service.owner[slice];
    counts.set(to, (counts.get(to) ?? 0) + 1);
  }
  return counts;
}

function countUnowned(service: ServicePlacement): number {
  let unowned = 0;
  for (const owner of service.owner) {
    if (owner === NO_MEMBER) unowned += 1;
  }
  return unowned;
}

/**
 * Collects slices, added in ascending order; merges consecutive slices with the
 * same owner and standby into ranges.
 */
class RangeList {
  readonly list: SliceRange[] = [];
  private characters = 0;

  /** Adds a slice; returns false once the entry is full. */
  add(slice: number, owner: MemberId, standby: MemberId | null): boolean {
    const last = this.list.at(-1);
    const extendsLast =
      last !== undefined &&
      last.owner === owner &&
      last.standby === standby &&
      last.first + last.count === slice;
    const first = extendsLast ? last.first : (slice as Slice);
    const length = extendsLast ? last.count + 1 : 1;
    if (extendsLast) this.list.pop();
    const range = {first, count: length, owner, standby};
    this.list.push(range);
    if (!extendsLast) this.characters += JSON.stringify(range).length;
    return this.characters < MAX_LIST_CHARACTERS;
  }
}

/**
 * Collects moves of slices, added one by one; merges consecutive slices that
 * move to the same member into one move.
 */
class MoveList {
  readonly list: SliceMove[] = [];
  private characters = 0;

  /** Adds a slice; returns false once the entry is full. */
  add(slice: number, to: MemberId): boolean {
    const last = this.list.at(-1);
    const extendsLast =
      last !== undefined && last.to === to && last.first + last.count === slice;
    const first = extendsLast ? last.first : (slice as Slice);
    const length = extendsLast ? last.count + 1 : 1;
    if (extendsLast) this.list.pop();
    const move = {first, count: length, to};
    this.list.push(move);
    if (!extendsLast) this.characters += JSON.stringify(move).length;
    return this.characters < MAX_LIST_CHARACTERS;
  }
}
