/** @fileoverview Interfaces between ownership and the other subsystems. */

import type {Instant} from '../clock/types.js';
import type {
  Address,
  Generation,
  InstanceId,
  MemberId,
  ServiceName,
  Slice,
  Version,
  ZoneName,
} from '../ids/types.js';
import type {Workspace} from '../workspace/types.js';

/** Where a slice is placed according to this daemon's map. */
export interface Placement {
  readonly owner: MemberId | null;
  /** Designated next owner, which takes over if the owner is removed. */
  readonly standby: MemberId | null;
  readonly generation: Generation;
  /** True while the slice moves to another owner; new requests wait. */
  readonly moving: boolean;
}

/** Result of the check whether this member may dispatch (R1). */
export type DispatchPermission =
  /** Dispatch is allowed; the lease is valid until `until`. */
  | {
      readonly kind: 'granted';
      readonly generation: Generation;
      readonly until: Instant;
    }
  | {
      readonly kind: 'denied';
      /**
       * Why it is denied. `moving` stands for any slice that isn't ready here:
       * it moves away, the backend server has not confirmed its slice grant, or
       * this member has not accepted work for longer than `drainGraceMs`.
       * `no-lease` means that this member has no valid lease, or is removing
       * itself or has left; as the reason of a `renewed` message, it means that
       * the grantor has none.
       */
      readonly reason: 'not-owner' | 'no-lease' | 'moving';
    };

/** A member whose backend server offers a service and accepts new work. */
export interface ServingMember {
  readonly member: MemberId;
  readonly address: Address;
  readonly zone: ZoneName;
  readonly slots: number;
}

/** Ownership as seen by routing and execution. */
export interface OwnershipView {
  /** This daemon's member id, or null while it isn't in the map. */
  readonly self: MemberId | null;
  /** Log version of this daemon's map. */
  readonly version: Version;
  /** Number of members in the map. */
  readonly members: number;
  /** The configuration in force at this daemon, or null before the first. */
  readonly workspace: Workspace | null;
  placement(service: ServiceName, slice: Slice): Placement;
  addressOf(member: MemberId): Address | null;
  /** The last server on this host that was registered as shutting down. */
  readonly departedServer: InstanceId | null;
  /**
   * Returns the time until this daemon is to watch the configuration's source,
   * unless others do; 0 if it is to watch now.
   */
  sourceWatchDelayMs(at: Instant): number;
  /** Returns whether this member was removed from the workspace. */
  isEnded(member: MemberId): boolean;
  /**
   * Returns whether this member may dispatch keyed work, that is, hand it to
   * its backend server: its map names it as the owner, the slice is ready here,
   * and its lease is valid (R1).
   */
  mayDispatch(
    service: ServiceName,
    slice: Slice,
    at: Instant,
  ): DispatchPermission;
  /**
   * Returns whether this member may dispatch shared work: it accepts work, and
   * its lease is valid, unless the settings exempt shared services.
   */
  mayServe(at: Instant): DispatchPermission;
  /** Lists the members that accept new work of a service. */
  serversOf(service: ServiceName): readonly ServingMember[];
}

/** Work in flight at this daemon, as seen by ownership. */
export interface WorkView {
  /** Number of runs in flight on a slice. */
  inFlight(service: ServiceName, slice: Slice): number;
  /**
   * Number of all jobs of this daemon, queued ones and those of shared services
   * included.
   */
  inFlightTotal(): number;
  /**
   * Returns and resets the time spent on runs of each slice, in milliseconds.
   */
  takeBusyMs(): ReadonlyMap<Slice, number>;
  /** Mean duration of a run, in milliseconds; 0 before the first. */
  meanRunMs(): number;
}
