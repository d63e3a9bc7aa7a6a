/** @fileoverview The cluster map: members, services and slice placement. */

import type {
  Address,
  InstanceId,
  MemberId,
  ServiceName,
  Slice,
  Version,
  ZoneName,
} from '../ids/types.js';
import type {Workspace} from '../workspace/types.js';

/** The backend server beside a member, as it announced itself. */
export interface Offer {
  readonly service: ServiceName;
  readonly instance: InstanceId;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  /** True once it asked to leave or was told to stop. */
  readonly leaving: boolean;
}

/** One live member. */
export interface Member {
  readonly id: MemberId;
  /** Number that stands for it in placement arrays; reused after its end. */
  readonly index: number;
  readonly zone: ZoneName;
  readonly address: Address;
  /** Address of its port for operators, or null if it has none. */
  readonly operators: Address | null;
  /** Position in the ring that grantors are chosen from. */
  readonly ringHash: number;
  /** Sort key for coordinator ranks. */
  readonly rankHash: number;
  /** Its backend server, or null. */
  offer: Offer | null;
  /** True while it takes no new work and its slices move away. */
  draining: boolean;
  /**
   * True from replacing a predecessor until it reports its backend server or
   * that it has none; until then, its slices are not moved away.
   */
  awaited: boolean;
}

/** Placement of a keyed service. The arrays are indexed by slice. */
export interface ServicePlacement {
  readonly name: ServiceName;
  readonly slices: number;
  /** Index of the owner, or `NO_MEMBER`. */
  readonly owner: Uint16Array;
  /** Index of the standby, or `NO_MEMBER`. */
  readonly standby: Uint16Array;
  readonly generation: Uint32Array;
  /** Moving slices with the index of the member that each moves to. */
  readonly moves: Map<Slice, number>;
  /** Handover tokens of previous holders, for the current generation. */
  readonly handovers: Map<Slice, string>;
}

/** The configuration in force. */
export interface Configuration {
  /** Version of the configuration. */
  readonly number: number;
  /** JSON text of the workspace. */
  readonly document: string;
  readonly workspace: Workspace;
}

/** The state that results from all log entries up to a version. */
export interface ClusterMap {
  version: Version;
  /** Revision of the log row of the latest entry. */
  revision: number;
  readonly members: Map<MemberId, Member>;
  /** Members by their index; null where an index is free. */
  readonly membersByIndex: Array<Member | null>;
  readonly services: Map<ServiceName, ServicePlacement>;
  /** Availability zones that take no new work. */
  readonly zonesOut: Set<ZoneName>;
  configuration: Configuration | null;
  /** Ended members with the monotonic time at which this daemon saw it. */
  readonly ended: Map<MemberId, number>;
  /** Rises whenever members join or end; the cached ring depends on it. */
  membershipChanges: number;
}
