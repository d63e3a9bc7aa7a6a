/** @fileoverview Applying log entries to the cluster map. */

import {hostOf} from '../ids/logic.js';
import type {MemberId, ServiceName, Slice, ZoneName} from '../ids/types.js';
import type {Change, CommittedEntry} from '../log/types.js';
import type {ExternalConfiguration} from '../loop/types.js';
import {NO_ERA} from '../restore/era.js';
import type {Workspace} from '../workspace/types.js';
import {
  GENERATIONS_PER_ERA,
  NO_MEMBER,
  addMember,
  createServicePlacement,
  recordDeparture,
  removeMember,
  wasNeverPlaced,
} from './state.js';
import type {
  ClusterMap,
  Configuration,
  Member,
  ServicePlacement,
} from './types.js';

/**
 * Applies the entry that follows the map's version.
 *
 * @param map - The map, updated in place.
 * @param committed - The entry at version `map.version + 1`.
 * @param now - Monotonic time, in milliseconds.
 */
export function applyEntry(
  map: ClusterMap,
  committed: CommittedEntry,
  now: number,
): void {
  const {era = NO_ERA} = committed.entry;
  if (era > map.era) raiseGenerations(map, era);
  applyChange(map, committed.entry.change, now);
  map.version = committed.entry.version;
  map.revision = committed.revision;
}

/**
 * Returns whether a member takes new work for its backend server.
 *
 * @param map - The map.
 * @param member - The member.
 * @returns False without a backend server, while the server is shutting down,
 *   while the member drains and while its availability zone is evacuated.
 */
export function acceptsWork(map: ClusterMap, member: Member): boolean {
  if (member.offer === null || member.offer.leaving) return false;
  if (member.draining) return false;
  return !map.zonesOut.has(member.zone);
}

/**
 * Returns the member with an index.
 *
 * @param map - The map.
 * @param index - Index from a placement array, or `NO_MEMBER`.
 * @returns The member, or null.
 */
export function memberAt(map: ClusterMap, index: number): Member | null {
  if (index === NO_MEMBER) return null;
  return map.membersByIndex[index] ?? null;
}

/**
 * Parses an accepted configuration document.
 *
 * @param number - Version of the configuration.
 * @param document - JSON text, validated when it was accepted.
 * @returns The configuration.
 */
export function parseConfiguration(
  number: number,
  document: string,
): Configuration {
  const parsed = JSON.parse(document) as Workspace;
  return {number, document, workspace: {...parsed, version: number}};
}

/**
 * Applies the configuration and the evacuated zones of an external source.
 *
 * @param map - The map, updated in place.
 * @param external - The state.
 */
export function applyExternalConfiguration(
  map: ClusterMap,
  external: ExternalConfiguration,
): void {
  configure(map, parseConfiguration(external.number, external.document));
  map.zonesOut.clear();
  for (const zone of external.zonesOut) map.zonesOut.add(zone);
}

function applyChange(map: ClusterMap, change: Change, now: number): void {
  switch (change.kind) {
    case 'joined':
      addMember(map, {
        id: change.member,
        zone: change.zone,
        address: change.address,
        operators: change.operators,
        offer: null,
        draining: false,
        awaited: change.replaces !== null,
      });
      if (change.replaces !== null) {
        replaceMember(map, change.replaces, change.member, now);
      }
      return;
    case 'combined':
      for (const each of change.changes) applyChange(map, each, now);
      return;
    case 'ended':
      applyEnded(map, change.members, now);
      return;
    case 'offered':
      applyOffer(map, change);
      return;
    case 'withdrawn':
      updateMember(map, change.member, member => {
        member.offer = null;
        member.awaited = false;
      });
      return;
    case 'draining':
      updateMember(map, change.member, member => (member.draining = true));
      return;
    case 'placed':
      applyPlaced(map, change);
      return;
    case 'moving':
      applyMoving(map, change);
      return;
    case 'released':
      applyReleased(map, change);
      return;
    case 'configured':
      applyConfigured(map, change);
      return;
    case 'zone':
      setZone(map, change.zone, change.out);
      return;
    case 'unreadable':
      return;
  }
}

function updateMember(
  map: ClusterMap,
  id: MemberId,
  update: (member: Member) => void,
): void {
  const member = map.members.get(id);
  if (member !== undefined) update(member);
}

function applyOffer(
  map: ClusterMap,
  change: Extract<Change, {kind: 'offered'}>,
): void {
  if (change.leaving) {
    recordDeparture(map, hostOf(change.member), change.instance);
  }
  updateMember(map, change.member, member => {
    const restarted =
      member.offer === null || member.offer.instance !== change.instance;
    if (restarted) member.draining = false;
    if (restarted) advanceGenerationsOfOwner(map, member.index);
    member.awaited = false;
    member.offer = {
      service: change.service,
      instance: change.instance,
      slots: change.slots,
      leaving: change.leaving,
    };
  });
}

/**
 * Raises the generations of an owner's slices after its backend server was
 * restarted: that fences off grants of the old instance. The new instance holds
 * no slices and needs new grants.
 */
function advanceGenerationsOfOwner(map: ClusterMap, index: number): void {
  for (const service of map.services.values()) {
    for (let slice = 0; slice < service.slices; slice++) {
      if (service.owner[slice] !== index) continue;
      advanceGeneration(service, slice as Slice);
    }
  }
}

function advanceGeneration(service: ServicePlacement, slice: Slice): void {
  service.generation[slice] += 1;
  service.handovers.delete(slice);
}

/**
 * Raises all generations at the first entry of an era, above those that entries
 * may have issued which the restored store has lost.
 */
function raiseGenerations(map: ClusterMap, era: number): void {
  map.era = era;
  for (const {generation} of map.services.values()) {
    for (let slice = 0; slice < generation.length; slice++) {
      const wasPlaced = generation[slice] % GENERATIONS_PER_ERA > 0;
      generation[slice] = era * GENERATIONS_PER_ERA + Number(wasPlaced);
    }
  }
}

/**
 * Gives a predecessor's slices, standby roles and move targets to its successor
 * on the host. The lease isn't taken over.
 */
function replaceMember(
  map: ClusterMap,
  from: MemberId,
  to: MemberId,
  now: number,
): void {
  const old = map.members.get(from)?.index;
  const next = map.members.get(to)?.index;
  if (old === undefined || next === undefined) return;
  for (const service of map.services.values()) {
    for (const [slice, target] of service.moves) {
      if (target === old) service.moves.set(slice, next);
    }
    for (let slice = 0; slice < service.slices; slice++) {
      if (service.standby[slice] === old) service.standby[slice] = next;
      if (service.owner[slice] !== old) continue;
      service.owner[slice] = next;
      advanceGeneration(service, slice as Slice);
    }
  }
  removeMember(map, from, now);
}

/**
 * Removes members. The entry names no slices: every daemon derives the new
 * owners from its map. One pass covers all members of the entry, so that a
 * standby that is removed as well isn't promoted.
 */
function applyEnded(
  map: ClusterMap,
  ids: readonly MemberId[],
  now: number,
): void {
  const ended = new Uint8Array(NO_MEMBER + 1);
  for (const id of ids) {
    const member = map.members.get(id);
    if (member !== undefined) ended[member.index] = 1;
  }
  for (const service of map.services.values()) promoteStandbys(service, ended);
  for (const id of ids) removeMember(map, id, now);
}

/**
 * Gives slices of removed owners to their move target, else their standby. A
 * slice whose move ends with its target gets a new generation: a release that
 * its owner has already proposed no longer matches it.
 */
function promoteStandbys(service: ServicePlacement, ended: Uint8Array): void {
  const {owner, standby, moves} = service;
  for (const [slice, to] of moves) {
    if (ended[to] !== 1) continue;
    moves.delete(slice);
    if (ended[owner[slice]] === 0) advanceGeneration(service, slice);
  }
  for (let slice = 0; slice < service.slices; slice++) {
    if (ended[standby[slice]] === 1) standby[slice] = NO_MEMBER;
    if (ended[owner[slice]] === 0) continue;
    owner[slice] = moves.get(slice as Slice) ?? standby[slice];
    advanceGeneration(service, slice as Slice);
    moves.delete(slice as Slice);
    if (standby[slice] === owner[slice]) standby[slice] = NO_MEMBER;
  }
}

function applyPlaced(
  map: ClusterMap,
  change: Extract<Change, {kind: 'placed'}>,
): void {
  const service = placementForEntry(map, change);
  for (const range of change.runs) {
    const owner = map.members.get(range.owner)?.index ?? NO_MEMBER;
    const standby = indexOfMember(map, range.standby);
    for (let slice = range.first; slice < range.first + range.count; slice++) {
      if (service.owner[slice] === NO_MEMBER) {
        service.owner[slice] = owner;
        advanceGeneration(service, slice);
      }
      if (service.owner[slice] === owner) service.standby[slice] = standby;
    }
  }
}

function applyMoving(
  map: ClusterMap,
  change: Extract<Change, {kind: 'moving'}>,
): void {
  const service = map.services.get(change.service);
  if (service === undefined) return;
  for (const move of change.moves) {
    const to = indexOfMember(map, move.to);
    if (to === NO_MEMBER) continue;
    for (let slice = move.first; slice < move.first + move.count; slice++) {
      service.moves.set(slice, to);
    }
  }
}

function applyReleased(
  map: ClusterMap,
  change: Extract<Change, {kind: 'released'}>,
): void {
  const service = map.services.get(change.service);
  if (service === undefined) return;
  for (const slice of change.slices) {
    const to = service.moves.get(slice);
    if (to === undefined) continue;
    service.moves.delete(slice);
    service.owner[slice] = to;
    advanceGeneration(service, slice);
    if (service.standby[slice] === to) service.standby[slice] = NO_MEMBER;
  }
  for (const {slice, token} of change.handovers) {
    service.handovers.set(slice, token);
  }
}

function applyConfigured(
  map: ClusterMap,
  change: Extract<Change, {kind: 'configured'}>,
): void {
  configure(map, parseConfiguration(change.number, change.document));
}

/**
 * Returns the placement to which an entry refers. The first `placed` entry in
 * the log decides the number of slices, also if the configuration of this
 * daemon, which may be of another release, has another one.
 */
function placementForEntry(
  map: ClusterMap,
  {service: name, slices}: Extract<Change, {kind: 'placed'}>,
): ServicePlacement {
  const existing = findOrCreatePlacement(map, name, slices);
  if (existing.slices === slices || !wasNeverPlaced(existing)) return existing;
  const created = createServicePlacement(name, slices, map.era);
  map.services.set(name, created);
  if (map.configuration !== null) configure(map, map.configuration);
  return created;
}

function configure(map: ClusterMap, configuration: Configuration): void {
  const {workspace} = configuration;
  const services = workspace.services.map(service => {
    const {name, division} = service;
    if (division.kind !== 'keyed') return service;
    const {slices} = findOrCreatePlacement(map, name, division.slices);
    return {...service, division: {...division, slices}};
  });
  map.configuration = {...configuration, workspace: {...workspace, services}};
}

function findOrCreatePlacement(
  map: ClusterMap,
  name: ServiceName,
  slices: number,
): ServicePlacement {
  const existing = map.services.get(name);
  if (existing !== undefined) return existing;
  const created = createServicePlacement(name, slices, map.era);
  map.services.set(name, created);
  return created;
}

function setZone(map: ClusterMap, zone: ZoneName, out: boolean): void {
  if (out) map.zonesOut.add(zone);
  else map.zonesOut.delete(zone);
}

function indexOfMember(map: ClusterMap, member: MemberId | null): number {
  if (member === null) return NO_MEMBER;
  return map.members.get(member)?.index ?? NO_MEMBER;
}
