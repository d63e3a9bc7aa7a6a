/** @fileoverview Renders the results of operators' commands. */

import type {Instant} from '../clock/types.js';
import type {ServiceName} from '../ids/types.js';
import {currentRanks} from '../ownership/state.js';
import {currentLease} from '../leases/logic.js';
import type {Change} from '../log/types.js';
import {memberAt} from '../map/logic.js';
import {NO_MEMBER} from '../map/state.js';
import type {ClusterMap, Member, ServicePlacement} from '../map/types.js';
import type {OwnershipState} from '../ownership/state.js';
import type {
  AcceptedChange,
  MapRange,
  MapView,
  MemberStatus,
  Progress,
  ServiceStatus,
  Status,
} from './types.js';

/**
 * Renders the state of a workspace as this daemon sees it.
 *
 * @param state - The ownership state.
 * @param at - The current instant; with null, the lease counts as not held.
 * @returns The body of `status`.
 */
export function renderStatus(
  state: OwnershipState,
  at: Instant | null,
): Status {
  const {map, lease} = state;
  const owned = countByMember(map, service => service.owner);
  const standby = countByMember(map, service => service.standby);
  return {
    workspace: state.settings.workspace,
    zone: state.settings.zone,
    phase: state.phase,
    ...renderProgress(state),
    document: map.configuration?.document ?? null,
    coordinator: currentRanks(state)[0] ?? null,
    lease: {
      held: at !== null && currentLease(state, at).source !== 'none',
      grantors: lease.grantors,
    },
    storeReachable: state.storeReachable,
    zonesOut: [...map.zonesOut],
    members: [...map.members.values()].map(member =>
      renderMember(member, owned[member.index], standby[member.index]),
    ),
    services: [...map.services.values()].map(renderService),
  };
}

/**
 * Renders what this daemon has applied.
 *
 * @param state - The ownership state.
 * @returns The body of `progress`.
 */
export function renderProgress(state: OwnershipState): Progress {
  const {map, self} = state;
  return {
    member: map.members.has(self) ? self : null,
    version: map.version,
    configuration: map.configuration?.number ?? 0,
  };
}

/**
 * Renders an accepted change.
 *
 * @param state - The ownership state.
 * @param version - Log version of the change.
 * @returns The body of commands that change the workspace.
 */
export function renderAccepted(
  state: OwnershipState,
  version: number,
): AcceptedChange {
  return {version, configuration: state.map.configuration?.number ?? 0};
}

/**
 * Renders the placement of one service.
 *
 * @param map - The map.
 * @param name - The service.
 * @returns The body of `map`, or null if no keyed service has this name.
 */
export function renderMap(map: ClusterMap, name: ServiceName): MapView | null {
  const service = map.services.get(name);
  if (service === undefined) return null;
  const runs: MapRange[] = [];
  let first = 0;
  for (let slice = 1; slice <= service.slices; slice++) {
    if (slice < service.slices && samePlacement(service, first, slice)) {
      continue;
    }
    runs.push(renderRange(map, service, first, slice - first));
    first = slice;
  }
  return {service: name, version: map.version, runs};
}

/**
 * Describes the change of a log entry for the audit trail.
 *
 * @param change - The change.
 * @returns A short phrase.
 */
export function describeChange(change: Change): string {
  switch (change.kind) {
    case 'joined':
      return `${change.member} joined in zone ${change.zone}`;
    case 'combined':
      return change.changes.map(describeChange).join('; ');
    case 'ended':
      return `${change.members.join(', ')} ended`;
    case 'offered':
      return `${change.member} offers ${change.service}`;
    case 'withdrawn':
      return `${change.member} offers nothing`;
    case 'draining':
      return `${change.member} drains`;
    case 'placed':
      return `slices of ${change.service} placed`;
    case 'moving':
      return `slices of ${change.service} moving`;
    case 'released':
      return `slices of ${change.service} released`;
    case 'configured':
      return `configuration ${change.number - 1} -> ${change.number}`;
    case 'zone':
      return `zone ${change.zone} ${change.out ? 'out' : 'in'}`;
    case 'unreadable':
      return 'unreadable';
  }
}

/** Counts slices by the member index in one of the placement arrays. */
function countByMember(
  map: ClusterMap,
  arrayOf: (service: ServicePlacement) => Uint16Array,
): Uint32Array {
  const counts = new Uint32Array(NO_MEMBER + 1);
  for (const service of map.services.values()) {
    for (const index of arrayOf(service)) counts[index]++;
  }
  return counts;
}

function renderMember(
  member: Member,
  owned: number,
  standby: number,
): MemberStatus {
  const {offer} = member;
  return {
    member: member.id,
    zone: member.zone,
    operators: member.operators,
    server: offer && {
      service: offer.service,
      slots: offer.slots,
      leaving: offer.leaving,
    },
    owned,
    standby,
    draining: member.draining,
  };
}

function renderService(service: ServicePlacement): ServiceStatus {
  const countNone = (array: Uint16Array): number =>
    array.reduce((count, index) => count + Number(index === NO_MEMBER), 0);
  return {
    service: service.name,
    slices: service.slices,
    unowned: countNone(service.owner),
    withoutStandby: countNone(service.standby),
    moving: service.moves.size,
  };
}

function samePlacement(
  service: ServicePlacement,
  a: number,
  b: number,
): boolean {
  const {owner, standby, generation, moves} = service;
  return (
    owner[a] === owner[b] &&
    standby[a] === standby[b] &&
    generation[a] === generation[b] &&
    moves.get(a as never) === moves.get(b as never)
  );
}

function renderRange(
  map: ClusterMap,
  service: ServicePlacement,
  first: number,
  count: number,
): MapRange {
  return {
    first,
    count,
    owner: memberAt(map, service.owner[first])?.id ?? null,
    standby: memberAt(map, service.standby[first])?.id ?? null,
    generation: service.generation[first],
    moving: service.moves.has(first as never),
  };
}
