/**
 * @fileoverview Notices that the process itself is the bottleneck: timers come
 * late because the loop has more to do than fits.
 */

/** Lateness of timers at which new requests are refused. */
const MAX_LATENESS_MS = 100;
/** Requests that are taken whatever the lateness. */
const MIN_PENDING = 32;
/** Weight of the newest lateness. */
const WEIGHT = 0.3;

/** Lateness of the loop, smoothed. */
export class OverloadDetector {
  private latenessMs = 0;
  private lastMs: number | null = null;

  /** @param everyMs - Time between two calls of `note` when all is well. */
  constructor(private readonly everyMs: number) {}

  /**
   * Notes that the timer fired.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordTick(nowMs: number): void {
    const last = this.lastMs;
    this.lastMs = nowMs;
    if (last === null) return;
    const late = Math.max(0, nowMs - last - this.everyMs);
    this.latenessMs += (late - this.latenessMs) * WEIGHT;
  }

  /**
   * Decides whether a new request must be refused.
   *
   * @param pending - Requests that are open.
   * @returns True when taking it would make all others late.
   */
  shouldReject(pending: number): boolean {
    return pending >= MIN_PENDING && this.latenessMs > MAX_LATENESS_MS;
  }
}
