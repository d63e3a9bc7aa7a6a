/** @fileoverview What the backend server beside a daemon may hold. */

import type {Generation} from '../ids/types.js';

/** A grant without an answer. */
export interface OpenGrant {
  /** Slices it names, as `service/slice`. */
  readonly slices: readonly string[];
  readonly generation: Generation;
  readonly sentAt: number;
  /** Monotonic time until which it may take hold. */
  readonly until: number;
}

/** State of the grants that a daemon gives. Keys are `service/slice`. */
export interface Grants {
  /** Generation of each slice that the server has confirmed. */
  readonly confirmed: Map<string, Generation>;
  /** Monotonic time until which the server may hold each slice. */
  readonly heldUntil: Map<string, number>;
  /** The same for every slice, by grants of an earlier process here. */
  inheritedUntil: number;
  /** Grants without an answer, by round and first slice. */
  readonly open: Map<string, OpenGrant>;
  /** Number of the latest round of grants. */
  round: number;
  /** Monotonic time of the next round. */
  renewAt: number;
}
