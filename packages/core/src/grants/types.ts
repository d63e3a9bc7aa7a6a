/** @fileoverview State of slice grants to the local backend server. */

import type {Generation, ServiceName, Slice} from '../ids/types.js';
import type {SliceGrant} from '../loop/types.js';

/** A slice grant that was sent and is not confirmed. */
export interface UnconfirmedGrant {
  readonly service: ServiceName;
  /** Its first slice. */
  readonly first: Slice;
  /** Number of its slices. */
  readonly count: number;
  readonly generation: Generation;
  /** Monotonic time at which it was sent. */
  readonly sentAt: number;
  /** Monotonic time until which it may take effect. */
  readonly until: number;
  /** Monotonic time until which the server surely holds it once confirmed. */
  readonly heldUntil: number;
  /** Longest time to live that the call may ask for, in milliseconds. */
  readonly ttlMs: number;
}

/** When a slice was granted last, and when it is due again. */
export interface ScheduledSlice {
  readonly generation: Generation;
  /** Monotonic end of the lease under which the grant was sent. */
  readonly leaseEndsAt: number;
  /** Monotonic time of the next grant, if the lease isn't extended before. */
  readonly renewAt: number;
}

/** What the server has confirmed of a slice. */
export interface ConfirmedGrant {
  readonly generation: Generation;
  /** Monotonic time until which the server surely holds the slice. */
  readonly heldUntil: number;
}

/** That the server may hold a slice under grants that it has confirmed. */
export interface ServerHold {
  /** Monotonic time of its end at the latest. */
  readonly until: number;
  /** Number of the latest grant or release when it was last confirmed. */
  readonly confirmedAfter: number;
}

/** A slice whose grants ended without a proof from the server. */
export interface UnprovenEnd {
  readonly service: ServiceName;
  readonly slice: Slice;
  /** Number of the latest release that asked for it, or null. */
  releaseRound: number | null;
  /** Monotonic time of that release. */
  releasedAt: number;
}

/**
 * State of the slice grants that a daemon sends. Keys are `service/slice`
 * unless stated otherwise.
 */
export interface SliceGrants {
  /** The latest confirmation of each slice. */
  readonly confirmed: Map<string, ConfirmedGrant>;
  /** Holds by confirmed grants; those of unconfirmed ones come on top. */
  readonly holds: Map<string, ServerHold>;
  /**
   * Monotonic time until which the server may hold any slice under grants of
   * this daemon's predecessor on the host.
   */
  predecessorGrantsUntil: number;
  /** Unconfirmed grants, by round and first slice. */
  readonly unconfirmed: Map<string, UnconfirmedGrant>;
  /** The same grants by slice; a slice without any has no entry. */
  readonly unconfirmedBySlice: Map<string, Set<UnconfirmedGrant>>;
  /** Slices that the server may hold though their grants count as ended. */
  readonly unproven: Map<string, UnprovenEnd>;
  /** Number of the latest `grantSlices` or `releaseSlices` effect. */
  round: number;
  /** The latest grant of each slice. */
  readonly schedule: Map<string, ScheduledSlice>;
  /** Grants that are due and wait for a call to end, the most urgent first. */
  readonly queue: SliceGrant[];
  /** Monotonic times at which calls under way began, by round and first slice. */
  readonly underWay: Map<string, number>;
}
