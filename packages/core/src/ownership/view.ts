/** @fileoverview The view of ownership that other subsystems get. */

import type {Instant} from '../clock/types.js';
import {sourceWatchDelayMs} from '../configuration/source.js';
import {isGrantConfirmed} from '../grants/logic.js';
import {NO_VERSION} from '../ids/logic.js';
import type {
  Address,
  Generation,
  MemberId,
  ServiceName,
  Slice,
} from '../ids/types.js';
import {currentLease} from '../leases/logic.js';
import {memberAt, acceptsWork} from '../map/logic.js';
import type {ServicePlacement} from '../map/types.js';
import type {OwnershipState} from './state.js';
import {isRuleEnabled} from './state.js';
import type {
  OwnershipView,
  DispatchPermission,
  Placement,
  ServingMember,
} from './types.js';

const UNPLACED: Placement = {
  owner: null,
  standby: null,
  generation: 0 as Generation,
  moving: false,
};

/** Permission for shared services where the settings demand no lease. */
const GRANTED_WITHOUT_LEASE: DispatchPermission = {
  kind: 'granted',
  generation: 0 as Generation,
  until: {monotonic: Infinity, wall: Infinity},
};

/**
 * Creates the view that other subsystems get.
 *
 * @param state - State of ownership.
 * @returns The view; it reads the state at each call.
 */
export function createOwnershipView(state: OwnershipState): OwnershipView {
  return {
    get self() {
      return state.map.members.has(state.self) ? state.self : null;
    },
    get version() {
      return state.map.version ?? NO_VERSION;
    },
    get members() {
      return state.map.members.size;
    },
    get departedServer() {
      return state.map.departures.get(state.settings.host) ?? null;
    },
    get workspace() {
      return state.map.configuration?.workspace ?? null;
    },
    placement: (service, slice) => placementOf(state, service, slice),
    addressOf: member => addressOf(state, member),
    sourceWatchDelayMs: at => sourceWatchDelayMs(state, at),
    isEnded: member => state.map.ended.has(member),
    mayDispatch: (service, slice, at) => mayDispatch(state, service, slice, at),
    mayServe: at => mayServe(state, at),
    serversOf: service => serversOf(state, service),
  };
}

/**
 * Checks whether this member may dispatch work on a slice: its map names it as
 * the owner, the slice isn't moving, this member isn't past the drain grace, a
 * server that checks slice grants has confirmed the generation, and the lease
 * is valid (R1). Here and in the rules, to dispatch is to hand an attempt to
 * the local backend server; the origin's dispatch to this daemon came before.
 *
 * The denial `moving` covers every slice that isn't ready here: one that moves,
 * any slice after the drain grace, and one whose grant isn't confirmed.
 *
 * @param state - State of ownership.
 * @param service - The service.
 * @param slice - The slice.
 * @param at - The instant of dispatch.
 * @returns The permission, or why it is denied.
 */
export function mayDispatch(
  state: OwnershipState,
  service: ServiceName,
  slice: Slice,
  at: Instant,
): DispatchPermission {
  const placement = state.map.services.get(service);
  const self = state.map.members.get(state.self);
  if (placement === undefined || self === undefined) return denied('not-owner');
  if (effectiveOwner(state, placement, slice) !== self.index) {
    return denied('not-owner');
  }
  if (isRuleEnabled(state, 'R6') && placement.moves.has(slice)) {
    return denied('moving');
  }
  if (isPastDrainGrace(state, at)) return denied('moving');
  const generation = placement.generation[slice];
  const checks = state.announcement?.checksGrants === true;
  const {grants} = state;
  const now = at.monotonic;
  if (checks && !isGrantConfirmed(grants, service, slice, generation, now)) {
    return denied('moving');
  }
  return permissionUnderLease(state, generation, at);
}

function placementOf(
  state: OwnershipState,
  name: ServiceName,
  slice: Slice,
): Placement {
  const service = state.map.services.get(name);
  if (service === undefined || slice >= service.slices) return UNPLACED;
  return {
    owner: memberAt(state.map, service.owner[slice])?.id ?? null,
    standby: memberAt(state.map, service.standby[slice])?.id ?? null,
    generation: service.generation[slice] as Generation,
    moving: service.moves.has(slice),
  };
}

function addressOf(state: OwnershipState, member: MemberId): Address | null {
  return state.map.members.get(member)?.address ?? null;
}

function serversOf(
  state: OwnershipState,
  service: ServiceName,
): ServingMember[] {
  const servers: ServingMember[] = [];
  for (const member of state.map.members.values()) {
    const {offer} = member;
    if (offer === null || offer.service !== service) continue;
    if (!acceptsWork(state.map, member)) continue;
    const {id, address, zone} = member;
    servers.push({member: id, address, zone, slots: offer.slots});
  }
  return servers;
}

function mayServe(state: OwnershipState, at: Instant): DispatchPermission {
  const self = state.map.members.get(state.self);
  if (self === undefined || !acceptsWork(state.map, self)) {
    return denied('not-owner');
  }
  if (!state.settings.tuning.leases.coversShared) return GRANTED_WITHOUT_LEASE;
  return permissionUnderLease(state, 0, at);
}

/**
 * Returns the index of the owner. It differs from the map only in tests: if one
 * disables R5 or R6, the standby or the target of a move counts as the owner
 * before the map names it.
 */
function effectiveOwner(
  state: OwnershipState,
  service: ServicePlacement,
  slice: Slice,
): number {
  const target = service.moves.get(slice);
  if (!isRuleEnabled(state, 'R6') && target !== undefined) {
    const self = state.map.members.get(state.self);
    if (target === self?.index) return target;
  }
  if (!isRuleEnabled(state, 'R5')) {
    const owner = memberAt(state.map, service.owner[slice]);
    if (owner !== null && state.evictions.has(owner.id)) {
      return service.standby[slice];
    }
  }
  return service.owner[slice];
}

/** Returns whether this member has accepted no work for over `drainGraceMs`. */
function isPastDrainGrace(state: OwnershipState, at: Instant): boolean {
  if (state.notAcceptingWorkSince === null) return false;
  const {drainGraceMs} = state.settings.tuning.membership;
  return at.monotonic - state.notAcceptingWorkSince > drainGraceMs;
}

function permissionUnderLease(
  state: OwnershipState,
  generation: number,
  at: Instant,
): DispatchPermission {
  // A member that is removing itself counts as one without a lease.
  if (state.phase === 'ending' || state.phase === 'left') {
    return denied('no-lease');
  }
  const {source, until} = currentLease(state, at);
  if (source === 'none' && isRuleEnabled(state, 'R1')) {
    return denied('no-lease');
  }
  return {kind: 'granted', generation: generation as Generation, until};
}

function denied(
  reason: Extract<DispatchPermission, {kind: 'denied'}>['reason'],
): DispatchPermission {
  return {kind: 'denied', reason};
}
