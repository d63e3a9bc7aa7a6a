/** @fileoverview The cluster map: members, services and slice placement. */

import type {
  Address,
  HostName,
  InstanceId,
  MemberId,
  ServiceName,
  Slice,
  Version,
  ZoneName,
} from '../ids/types.js';
import type {Workspace} from '../workspace/types.js';

/**
 * What a member's local backend server offers, as the log knows it: the latest
 * `offered` entry of the member.
 */
export interface ServerOffer {
  readonly service: ServiceName;
  readonly instance: InstanceId;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  /** True once the server is shutting down: it asked to or was told to. */
  readonly leaving: boolean;
}

/** One member that the map lists. */
export interface Member {
  readonly id: MemberId;
  /** Its index in placement arrays; reused after its removal. */
  readonly index: number;
  readonly zone: ZoneName;
  readonly address: Address;
  /** Address of its port for operators, or null if it has none. */
  readonly operators: Address | null;
  /** Position in the ring that grantors are chosen from. */
  readonly ringHash: number;
  /** Sort key for the order in which members succeed as coordinator. */
  readonly rankHash: number;
  /** Its local backend server, or null. */
  offer: ServerOffer | null;
  /**
   * True once it or its backend server is to stop: it takes no new work and its
   * slices move away. Reset when a new instance of its server registers.
   */
  draining: boolean;
  /**
   * True after the member replaced a predecessor, until its backend server
   * registers with it or it reports that it has none. Until then, its slices
   * are not moved away.
   */
  awaited: boolean;
}

/** Placement of a keyed service. The arrays are indexed by slice. */
export interface ServicePlacement {
  readonly name: ServiceName;
  readonly slices: number;
  /** Index of the member that owns the slice, or `NO_MEMBER`. */
  readonly owner: Uint16Array;
  /**
   * Index of the standby, the member that becomes owner if the owner is
   * removed, or `NO_MEMBER`.
   */
  readonly standby: Uint16Array;
  readonly generation: Uint32Array;
  /** Moving slices, each with the index of the member it moves to. */
  readonly moves: Map<Slice, number>;
  /**
   * Tokens from the previous backend server for the next one, by slice; they
   * hold for the current generation.
   */
  readonly handovers: Map<Slice, string>;
}

/** The applied configuration. */
export interface Configuration {
  /** Version of the configuration; it isn't a log version. */
  readonly number: number;
  /** JSON text of the workspace. */
  readonly document: string;
  readonly workspace: Workspace;
}

/** The state that results from all log entries up to a version. */
export interface ClusterMap {
  version: Version;
  /** Revision in the store of the log row of the latest entry. */
  revision: number;
  /** Highest era of an entry; `NO_ERA` in a store without eras. */
  era: number;
  readonly members: Map<MemberId, Member>;
  /** Members by their index; null where an index is free. */
  readonly membersByIndex: Array<Member | null>;
  readonly services: Map<ServiceName, ServicePlacement>;
  /** Evacuated availability zones: their members take no new work. */
  readonly zonesOut: Set<ZoneName>;
  configuration: Configuration | null;
  /**
   * Removed members, each with the monotonic time at which this daemon applied
   * the removal.
   */
  readonly ended: Map<MemberId, number>;
  /**
   * The last server on each host that was registered as shutting down, oldest
   * first. It outlives its member, so that a late announcement doesn't bring
   * the server back after a restart of the daemon.
   */
  readonly departures: Map<HostName, InstanceId>;
  /** Rises when members join or are removed; the cached ring depends on it. */
  membershipChanges: number;
}
