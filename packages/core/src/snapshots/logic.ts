/** @fileoverview Serializing the cluster map as a snapshot. */

import type {Slice} from '../ids/types.js';
import {parseConfiguration} from '../map/logic.js';
import {createMap} from '../map/state.js';
import type {ClusterMap, ServicePlacement} from '../map/types.js';
import {NO_ERA} from '../restore/era.js';
import {parseDocument} from '../validation/logic.js';
import {mapSnapshotSchema} from './schemas.js';
import type {MapSnapshot, ServiceSnapshot} from './types.js';

/**
 * Serializes the map.
 *
 * @param map - The map.
 * @returns JSON text of a `MapSnapshot`.
 */
export function serializeMap(map: ClusterMap): string {
  const {configuration} = map;
  const snapshot: MapSnapshot = {
    version: map.version,
    revision: map.revision,
    ...(map.era === NO_ERA ? {} : {era: map.era}),
    members: [...map.members.values()],
    ended: [...map.ended.keys()],
    departures: [...map.departures],
    zonesOut: [...map.zonesOut],
    configuration: configuration && {
      number: configuration.number,
      document: configuration.document,
    },
    services: [...map.services.values()].map(toServiceSnapshot),
  };
  return JSON.stringify(snapshot);
}

/**
 * Parses a snapshot of the map.
 *
 * @param text - JSON text of a `MapSnapshot`.
 * @param now - Monotonic time at which removed members count as removed.
 * @returns The map, or null if the text can't be read.
 */
export function parseMap(text: string, now: number): ClusterMap | null {
  const parsed = parseDocument(text, mapSnapshotSchema);
  if (parsed.kind === 'invalid') return null;
  const snapshot = parsed.value as unknown as MapSnapshot;
  const map = createMap();
  map.version = snapshot.version;
  map.revision = snapshot.revision;
  map.era = snapshot.era ?? NO_ERA;
  for (const member of snapshot.members) {
    while (map.membersByIndex.length <= member.index) {
      map.membersByIndex.push(null);
    }
    map.membersByIndex[member.index] = member;
    map.members.set(member.id, member);
  }
  for (const member of snapshot.ended) map.ended.set(member, now);
  for (const [host, instance] of snapshot.departures ?? []) {
    map.departures.set(host, instance);
  }
  for (const zone of snapshot.zonesOut) map.zonesOut.add(zone);
  if (snapshot.configuration !== null) {
    const {number, document} = snapshot.configuration;
    map.configuration = parseConfiguration(number, document);
  }
  for (const service of snapshot.services) {
    map.services.set(service.name, fromServiceSnapshot(service));
  }
  return map;
}

function toServiceSnapshot(service: ServicePlacement): ServiceSnapshot {
  return {
    name: service.name,
    slices: service.slices,
    owner: encodeBytes(service.owner),
    standby: encodeBytes(service.standby),
    generation: encodeBytes(service.generation),
    moves: [...service.moves],
    handovers: [...service.handovers],
  };
}

function fromServiceSnapshot(snapshot: ServiceSnapshot): ServicePlacement {
  return {
    name: snapshot.name,
    slices: snapshot.slices,
    owner: new Uint16Array(decodeBytes(snapshot.owner)),
    standby: new Uint16Array(decodeBytes(snapshot.standby)),
    generation: new Uint32Array(decodeBytes(snapshot.generation)),
    moves: new Map(snapshot.moves.map(([slice, to]) => [slice as Slice, to])),
    handovers: new Map(
      snapshot.handovers.map(([slice, token]) => [slice as Slice, token]),
    ),
  };
}

function encodeBytes(array: Uint16Array | Uint32Array): string {
  const {buffer, byteOffset, byteLength} = array;
  return Buffer.from(buffer, byteOffset, byteLength).toString('base64');
}

/** Copies the bytes to a new buffer, since typed arrays need alignment. */
function decodeBytes(text: string): ArrayBuffer {
  return new Uint8Array(Buffer.from(text, 'base64')).buffer;
}
