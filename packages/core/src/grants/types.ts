/** @fileoverview State of slice grants to the local backend server. */

import type {Generation} from '../ids/types.js';

/** A slice grant that was sent and is not confirmed. */
export interface UnconfirmedGrant {
  /** Its slices, as `service/slice`. */
  readonly slices: readonly string[];
  readonly generation: Generation;
  /** Monotonic time at which it was sent. */
  readonly sentAt: number;
  /** Monotonic time until which it may take effect. */
  readonly until: number;
}

/**
 * State of the slice grants that a daemon sends. Keys are `service/slice`
 * unless stated otherwise.
 */
export interface SliceGrants {
  /** Generation under which the server has confirmed each slice. */
  readonly confirmed: Map<string, Generation>;
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
  /** Monotonic time of the next round. */
  renewAt: number;
}
