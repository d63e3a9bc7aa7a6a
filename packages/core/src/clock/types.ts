/** @fileoverview Time as an input of the reducer. */

/** One moment read from both clocks of a host, in milliseconds. */
export interface Instant {
  /** Monotonic clock; may stand still while the host is frozen. */
  readonly monotonic: number;
  /** Wall clock since the epoch; may jump. */
  readonly wall: number;
}
