/** @fileoverview Between the map and its image. */

import type {Slice} from '../ids/types.js';
import {parseConfiguration} from '../map/logic.js';
import {createMap} from '../map/state.js';
import type {ClusterMap, ServicePlacement} from '../map/types.js';
import type {MapSnapshot, ServiceSnapshot} from './types.js';

/**
 * Writes the map as text.
 *
 * @param map - The map.
 * @returns JSON text of a `MapImage`.
 */
export function serializeMap(map: ClusterMap): string {
  const {configuration} = map;
  const image: MapSnapshot = {
    version: map.version,
    revision: map.revision,
    members: [...map.members.values()],
    ended: [...map.ended.keys()],
    zonesOut: [...map.zonesOut],
    configuration: configuration && {
      number: configuration.number,
      document: configuration.document,
    },
    services: [...map.services.values()].map(imageOfService),
  };
  return JSON.stringify(image);
}

/**
 * Reads a map from its image.
 *
 * @param text - JSON text of a `MapImage`.
 * @param now - Monotonic time from which ended members count as seen.
 * @returns The map.
 */
export function parseMap(text: string, now: number): ClusterMap {
  const image = JSON.parse(text) as MapSnapshot;
  const map = createMap();
  map.version = image.version;
  map.revision = image.revision;
  for (const member of image.members) {
    while (map.membersByIndex.length <= member.index) {
      map.membersByIndex.push(null);
    }
    map.membersByIndex[member.index] = member;
    map.members.set(member.id, member);
  }
  for (const member of image.ended) map.ended.set(member, now);
  for (const zone of image.zonesOut) map.zonesOut.add(zone);
  if (image.configuration !== null) {
    const {number, document} = image.configuration;
    map.configuration = parseConfiguration(number, document);
  }
  for (const service of image.services) {
    map.services.set(service.name, serviceOfImage(service));
  }
  return map;
}

function imageOfService(service: ServicePlacement): ServiceSnapshot {
  return {
    name: service.name,
    slices: service.slices,
    owner: bytesText(service.owner),
    standby: bytesText(service.standby),
    generation: bytesText(service.generation),
    moves: [...service.moves],
    handovers: [...service.handovers],
  };
}

function serviceOfImage(image: ServiceSnapshot): ServicePlacement {
  return {
    name: image.name,
    slices: image.slices,
    owner: new Uint16Array(bytesOf(image.owner)),
    standby: new Uint16Array(bytesOf(image.standby)),
    generation: new Uint32Array(bytesOf(image.generation)),
    moves: new Map(image.moves.map(([slice, to]) => [slice as Slice, to])),
    handovers: new Map(
      image.handovers.map(([slice, token]) => [slice as Slice, token]),
    ),
  };
}

function bytesText(array: Uint16Array | Uint32Array): string {
  const {buffer, byteOffset, byteLength} = array;
  return Buffer.from(buffer, byteOffset, byteLength).toString('base64');
}

/** A buffer of its own, so that typed arrays are aligned. */
function bytesOf(text: string): ArrayBuffer {
  return new Uint8Array(Buffer.from(text, 'base64')).buffer;
}
