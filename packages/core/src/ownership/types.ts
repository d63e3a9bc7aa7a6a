/** @fileoverview What other subjects may ask about ownership. */

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

/** Who owns a slice, as far as this daemon's map says. */
export interface Placement {
  readonly owner: MemberId | null;
  readonly standby: MemberId | null;
  readonly generation: Generation;
  /** True while the slice moves; new requests for it wait. */
  readonly moving: boolean;
}

/** The check at dispatch (rule R1). */
export type DispatchPermission =
  /** Dispatch is allowed; the lease holds until `until`. */
  | {
      readonly kind: 'granted';
      readonly generation: Generation;
      readonly until: Instant;
    }
  | {
      readonly kind: 'denied';
      readonly reason: 'not-owner' | 'no-lease' | 'moving';
    };

/** A member that offers a service and takes new work. */
export interface ServingMember {
  readonly member: MemberId;
  readonly address: Address;
  readonly zone: ZoneName;
  readonly slots: number;
}

/** The questions that routing and execution ask of ownership. */
export interface OwnershipView {
  /** This daemon's member id, or null while it has not joined. */
  readonly self: MemberId | null;
  readonly version: Version;
  /** Number of live members. */
  readonly members: number;
  /** The configuration in force here, or null before the first. */
  readonly workspace: Workspace | null;
  placement(service: ServiceName, slice: Slice): Placement;
  addressOf(member: MemberId): Address | null;
  /** True when the log says that this member has ended. */
  isEnded(member: MemberId): boolean;
  /** Rule R1 for keyed work. */
  mayDispatch(
    service: ServiceName,
    slice: Slice,
    at: Instant,
  ): DispatchPermission;
  /** Rule R1 for shared work: this member holds a lease and takes work. */
  mayServe(at: Instant): DispatchPermission;
  /** Live servers of a service that take new work. */
  serversOf(service: ServiceName): readonly ServingMember[];
}

/** What ownership asks of execution: work in flight at this daemon. */
export interface WorkView {
  inFlight(service: ServiceName, slice: Slice): number;
  inFlightTotal(): number;
  /** Time spent on runs of each slice since the last call, in milliseconds. */
  takeBusyMs(): ReadonlyMap<Slice, number>;
  /** Mean time of a run, in milliseconds; 0 before the first. */
  meanRunMs(): number;
}
