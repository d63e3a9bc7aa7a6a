/** @fileoverview Snapshots of the cluster map in the object store. */

import type {
  HostName,
  InstanceId,
  MemberId,
  ServiceName,
  Version,
  ZoneName,
} from '../ids/types.js';
import type {Member} from '../map/types.js';

/** Placement of one service, with the bytes of its arrays in base64. */
export interface ServiceSnapshot {
  readonly name: ServiceName;
  readonly slices: number;
  readonly owner: string;
  readonly standby: string;
  readonly generation: string;
  /** Moving slices, each with the index of the member it moves to. */
  readonly moves: ReadonlyArray<readonly [number, number]>;
  /** Slices with the tokens from their previous backend servers. */
  readonly handovers: ReadonlyArray<readonly [number, string]>;
}

/** The whole cluster map at one version. */
export interface MapSnapshot {
  readonly version: Version;
  /** Revision of the log row of that version. */
  readonly revision: number;
  /** Highest era of an entry; absent if the store sends none. */
  readonly era?: number;
  readonly members: readonly Member[];
  /** Removed members. */
  readonly ended: readonly MemberId[];
  /**
   * Servers that were registered as shutting down, by host; absent in snapshots
   * of older versions.
   */
  readonly departures?: ReadonlyArray<readonly [HostName, InstanceId]>;
  /** Evacuated availability zones. */
  readonly zonesOut: readonly ZoneName[];
  readonly configuration: {
    /** Version of the configuration. */
    readonly number: number;
    readonly document: string;
  } | null;
  readonly services: readonly ServiceSnapshot[];
}

/** Value of the row that points to the latest snapshot. */
export interface SnapshotPointer {
  readonly version: Version;
  /** Name of the object that holds the snapshot. */
  readonly object: string;
  /** Log rows up to this version are deleted, except the first. */
  readonly trimmedTo: number;
}

/**
 * State of storing snapshots, which only the coordinator does. Every daemon
 * records the latest pointer that it has read.
 */
export interface SnapshotWriter {
  /** Version of the latest known snapshot. */
  version: number;
  /** Revision of the pointer row; 0 while there is none. */
  revision: number;
  /** Log rows up to this version are deleted, except the first. */
  trimmedTo: number;
  /** True while a snapshot is being stored. */
  busy: boolean;
  /**
   * Whether to store one although there is a recent one: a restored store may
   * have lost its object.
   */
  forced: boolean;
  /** Monotonic time before which no snapshot is stored. */
  notBefore: number;
}
