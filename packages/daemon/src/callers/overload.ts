/**
 * @fileoverview Detects that the process itself is overloaded: its timers fire
 * late because the event loop is busy.
 */

/** Event loop lag above which new requests are rejected. */
const MAX_LAG_MS = 100;
/** With fewer pending requests than this, none is rejected for lag. */
const MIN_PENDING_TO_REJECT = 32;
/** Weight of the newest sample in the moving average of the lag. */
const SMOOTHING_FACTOR = 0.3;

/** Tracks an exponential moving average of the event loop lag. */
export class OverloadDetector {
  private averageLagMs = 0;
  private lastTickMs: number | null = null;

  /** @param intervalMs - Interval of the timer that calls `recordTick`. */
  constructor(private readonly intervalMs: number) {}

  /**
   * Records that the timer has fired.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  recordTick(nowMs: number): void {
    const last = this.lastTickMs;
    this.lastTickMs = nowMs;
    if (last === null) return;
    const sampleMs = Math.max(0, nowMs - last - this.intervalMs);
    this.averageLagMs += (sampleMs - this.averageLagMs) * SMOOTHING_FACTOR;
  }

  /**
   * Decides whether to reject a new request.
   *
   * @param pending - Number of pending requests.
   * @returns True if the process can't keep up with its pending requests.
   */
  shouldReject(pending: number): boolean {
    return pending >= MIN_PENDING_TO_REJECT && this.averageLagMs > MAX_LAG_MS;
  }
}
