/** @fileoverview Instants, which the reducer gets as part of its input. */

/** One moment read from both clocks of a host, in milliseconds. */
export interface Instant {
  /** Monotonic clock; may stop while the host is suspended. */
  readonly monotonic: number;
  /** Wall clock since the epoch; may jump. */
  readonly wall: number;
}
