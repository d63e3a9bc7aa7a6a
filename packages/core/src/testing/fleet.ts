/** @fileoverview A fleet's map for tests of placement and of balancing. */

import type {MemberId, ServiceName, Version} from '../ids/types.js';
import type {Change, Entry} from '../log/types.js';
import {applyEntry} from '../map/logic.js';
import {createMap} from '../map/state.js';
import type {ClusterMap, ServicePlacement} from '../map/types.js';

/** The keyed service of the fleet; its keys are numbers. */
export const BOOKINGS = 'bookings' as ServiceName;
/** Number of its keys. */
export const FLEET_KEYS = 65_536;
/** Maximum size of a row's value on the users' platform, in base64. */
const ROW_BYTES = 65_536;

/**
 * Builds the id of a member.
 *
 * @param index - Its number in the fleet.
 * @returns The id.
 */
export function fleetMember(index: number): MemberId {
  return `h${String(index).padStart(3, '0')}#1` as MemberId;
}

/**
 * Applies a change as the next log entry.
 *
 * @param map - The map, updated in place.
 * @param change - The change.
 */
export function applyChange(map: ClusterMap, change: Change): void {
  const version = (map.version + 1) as Version;
  const entry = {version, by: 'test', at: 0, change} as unknown as Entry;
  applyEntry(map, {entry, revision: version}, 0);
}

/**
 * Creates the map of a fleet in which nothing is placed.
 *
 * @param slices - Number of slices of the keyed service.
 * @param members - Number of members, each with a server of the service.
 * @param zones - Number of availability zones, filled in turn.
 * @returns The map.
 */
export function createFleet(
  slices: number,
  members: number,
  zones: number,
): ClusterMap {
  const map = createMap();
  const division = {kind: 'keyed', slices, keys: FLEET_KEYS};
  const document = JSON.stringify({
    services: [{name: BOOKINGS, division}],
    limits: {maxMovingSlices: 16},
  });
  applyChange(map, {kind: 'configured', number: 1, document});
  for (let index = 0; index < members; index++) {
    addServer(map, index, `zone-${index % zones}`);
  }
  return map;
}

/**
 * Adds a member with a server of the keyed service.
 *
 * @param map - The map, updated in place.
 * @param index - Number of the member.
 * @param zone - Its availability zone.
 */
export function addServer(map: ClusterMap, index: number, zone: string): void {
  const member = fleetMember(index);
  applyChange(map, {
    kind: 'joined',
    member,
    zone: zone as never,
    address: '' as never,
    operators: null,
    replaces: null,
  });
  applyChange(map, {
    kind: 'offered',
    member,
    service: BOOKINGS,
    instance: `server of ${member}` as never,
    slots: 18,
    leaving: false,
  });
}

/**
 * Returns the placement of the keyed service.
 *
 * @param map - The map.
 * @returns The placement.
 */
export function placementOf(map: ClusterMap): ServicePlacement {
  const placement = map.services.get(BOOKINGS);
  if (placement === undefined) throw new Error('the service is not placed');
  return placement;
}

/**
 * Returns whether an entry with a change fits into a row of the platform.
 *
 * @param change - The change.
 * @returns False if the platform would refuse the row.
 */
export function fitsIntoRow(change: Change): boolean {
  const text = JSON.stringify(change);
  return Buffer.from(text).toString('base64').length < ROW_BYTES;
}
