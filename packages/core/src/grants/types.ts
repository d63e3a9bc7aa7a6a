/** @fileoverview State of slice grants to the local backend server. */

import type {Generation, ServiceName, Slice} from '../ids/types.js';

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
}

/** What the server has confirmed of a slice. */
export interface ConfirmedGrant {
  readonly generation: Generation;
  /** Monotonic time until which the server surely holds the slice. */
  readonly heldUntil: number;
}

/**
 * State of the slice grants that a daemon sends. Keys are `service/slice`
 * unless stated otherwise.
 */
export interface SliceGrants {
  /** The latest confirmation of each slice. */
  readonly confirmed: Map<string, ConfirmedGrant>;
  /** Monotonic time until which the server may hold each slice. */
  readonly mayHoldUntil: Map<string, number>;
  /**
   * Monotonic time until which the server may hold any slice under grants of
   * this daemon's predecessor on the host.
   */
  predecessorGrantsUntil: number;
  /** Unconfirmed grants, by round and first slice. */
  readonly unconfirmed: Map<string, UnconfirmedGrant>;
  /** Number of the latest round of slice grants. */
  round: number;
  /** Monotonic time of the next round, if the lease isn't extended before. */
  renewAt: number;
  /** Monotonic end of the lease under which the latest round was sent. */
  leaseEndsAt: number;
}
