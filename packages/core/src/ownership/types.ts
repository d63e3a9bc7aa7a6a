/** @fileoverview What other subsystems may ask of ownership, and it of them. */

import type {Instant} from '../clock/types.js';
import type {
  Address,
  Generation,
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
  readonly standby: MemberId | null;
  readonly generation: Generation;
  /** True while the slice moves to another owner; new requests wait. */
  readonly moving: boolean;
}

/** Result of the check at dispatch (R1). */
export type DispatchPermission =
  /** Dispatch is allowed; the lease is valid until `until`. */
  | {
      readonly kind: 'granted';
      readonly generation: Generation;
      readonly until: Instant;
    }
  | {
      readonly kind: 'denied';
      readonly reason: 'not-owner' | 'no-lease' | 'moving';
    };

/** A member whose backend server offers a service and accepts new work. */
export interface ServingMember {
  readonly member: MemberId;
  readonly address: Address;
  readonly zone: ZoneName;
  readonly slots: number;
}

/** What routing and execution ask of ownership. */
export interface OwnershipView {
  /** This daemon's member id, or null while it isn't in the map. */
  readonly self: MemberId | null;
  /** Log version of this daemon's map. */
  readonly version: Version;
  /** Number of live members. */
  readonly members: number;
  /** The configuration in force at this daemon, or null before the first. */
  readonly workspace: Workspace | null;
  placement(service: ServiceName, slice: Slice): Placement;
  addressOf(member: MemberId): Address | null;
  /** Tells whether the log has the end of this member. */
  isEnded(member: MemberId): boolean;
  /**
   * Tells whether this member may dispatch keyed work: its map names it as the
   * owner, and its lease is valid (R1).
   */
  mayDispatch(
    service: ServiceName,
    slice: Slice,
    at: Instant,
  ): DispatchPermission;
  /**
   * Tells whether this member may dispatch shared work: it accepts work, and
   * its lease is valid, unless the settings exempt shared services.
   */
  mayServe(at: Instant): DispatchPermission;
  /** Lists the members that accept new work of a service. */
  serversOf(service: ServiceName): readonly ServingMember[];
}

/** What ownership asks of execution: the work at this daemon. */
export interface WorkView {
  /** Number of runs in flight on a slice. */
  inFlight(service: ServiceName, slice: Slice): number;
  /** Number of runs in flight on all slices. */
  inFlightTotal(): number;
  /**
   * Returns and resets the time spent on runs of each slice, in milliseconds.
   */
  takeBusyMs(): ReadonlyMap<Slice, number>;
  /** Mean duration of a run, in milliseconds; 0 before the first. */
  meanRunMs(): number;
}
