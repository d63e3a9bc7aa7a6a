/** @fileoverview The map as an object in the platform's object store. */

import type {MemberId, ServiceName, Version, ZoneName} from '../ids/types.js';
import type {Member} from '../map/types.js';

/** Placement of one service; arrays are base64 texts of the typed arrays. */
export interface ServiceSnapshot {
  readonly name: ServiceName;
  readonly slices: number;
  readonly owner: string;
  readonly standby: string;
  readonly generation: string;
  /** Moving slices with the index of the member each moves to. */
  readonly moves: ReadonlyArray<readonly [number, number]>;
  /** Slices with what their previous holders handed over. */
  readonly handovers: ReadonlyArray<readonly [number, string]>;
}

/** The whole map at one version. */
export interface MapSnapshot {
  readonly version: Version;
  /** Revision of the row of that version's entry. */
  readonly revision: number;
  readonly members: readonly Member[];
  readonly ended: readonly MemberId[];
  readonly zonesOut: readonly ZoneName[];
  readonly configuration: {
    readonly number: number;
    readonly document: string;
  } | null;
  readonly services: readonly ServiceSnapshot[];
}

/** Value of the row that names the newest snapshot. */
export interface SnapshotPointer {
  readonly version: Version;
  /** Name of the object. */
  readonly object: string;
  /** Log rows up to this version, but the first, are deleted. */
  readonly trimmedTo: number;
}

/** What a daemon does about snapshots. */
export interface Snapshots {
  /** Version of the newest snapshot that is known. */
  version: number;
  /** Revision of the pointer's row; 0 while there is none. */
  revision: number;
  trimmedTo: number;
  busy: boolean;
  /** Monotonic time before which nothing is begun. */
  notBefore: number;
}
