/** @fileoverview The map of members, services and slices at one version. */

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

/** What the backend server beside a member offers. */
export interface Offer {
  readonly service: ServiceName;
  readonly instance: InstanceId;
  readonly slots: number;
  readonly leaving: boolean;
}

/** One live member. */
export interface Member {
  readonly id: MemberId;
  /** Position in the typed arrays of this process; reused after its end. */
  readonly index: number;
  readonly zone: ZoneName;
  readonly address: Address;
  /** Its operators port, or null when it has none. */
  readonly operators: Address | null;
  /** Place in the ring of grantors. */
  readonly ringHash: number;
  /** Rank for the office of coordinator. */
  readonly rankHash: number;
  offer: Offer | null;
  draining: boolean;
  /** True from replacing a member until it says what it offers. */
  awaited: boolean;
}

/** Placement of one keyed service: index arrays by slice. */
export interface ServicePlacement {
  readonly name: ServiceName;
  readonly slices: number;
  readonly owner: Uint16Array;
  readonly standby: Uint16Array;
  readonly generation: Uint32Array;
  /** Slices that move, with the index of the member they move to. */
  readonly moves: Map<Slice, number>;
  /** What previous holders handed over, for the present generation. */
  readonly handovers: Map<Slice, string>;
}

/** The configuration in force. */
export interface Configuration {
  readonly number: number;
  readonly document: string;
  readonly workspace: Workspace;
}

/** Everything that the log says, at one version. */
export interface ClusterMap {
  version: Version;
  /** Revision of the row of the newest entry. */
  revision: number;
  readonly members: Map<MemberId, Member>;
  readonly membersByIndex: Array<Member | null>;
  readonly services: Map<ServiceName, ServicePlacement>;
  readonly zonesOut: Set<ZoneName>;
  configuration: Configuration | null;
  /** Ended members with the monotonic time at which this was seen. */
  readonly ended: Map<MemberId, number>;
  /** Rises whenever members join or end. */
  membershipChanges: number;
}
