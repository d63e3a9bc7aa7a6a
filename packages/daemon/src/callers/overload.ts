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

/** Event loop lag from which the loop counts as stalled. */
const STALLED_LAG_MS = 500;
/** Event loop lag below which a stalled loop counts as keeping up again. */
const RESUMED_LAG_MS = 200;

/** Time for which stalls are remembered. */
const STALL_MEMORY_MS = 60_000;

/** A time in which the process did not handle anything. */
interface Stall {
  readonly endedMs: number;
  readonly lastedMs: number;
}

/** Tracks an exponential moving average of the event loop lag. */
export class OverloadDetector {
  private averageLagMs = 0;
  private lastTickMs: number | null = null;
  private stalled = false;
  /** The latest stalls, oldest first. */
  private stalls: Stall[] = [];

  /** @param intervalMs - Interval of the timer that calls `recordTick`. */
  constructor(private readonly intervalMs: number) {}

  /**
   * Records that the timer has fired.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The time by which it was late, or null the first time.
   */
  recordTick(nowMs: number): number | null {
    const last = this.lastTickMs;
    this.lastTickMs = nowMs;
    if (last === null) return null;
    const sampleMs = Math.max(0, nowMs - last - this.intervalMs);
    this.averageLagMs += (sampleMs - this.averageLagMs) * SMOOTHING_FACTOR;
    const limitMs = this.stalled ? RESUMED_LAG_MS : STALLED_LAG_MS;
    this.stalled = this.averageLagMs >= limitMs;
    if (sampleMs >= STALLED_LAG_MS) this.recordStall(nowMs, sampleMs);
    return sampleMs;
  }

  /**
   * Returns for how long the process stood still, with its timers late by
   * half a second or more each time.
   *
   * @param sinceMs - Monotonic time from which stalls count if they ended later.
   * @returns Their total, in milliseconds.
   */
  stalledMsSince(sinceMs: number): number {
    let totalMs = 0;
    for (const {endedMs, lastedMs} of this.stalls) {
      if (endedMs > sinceMs) totalMs += lastedMs;
    }
    return totalMs;
  }

  private recordStall(endedMs: number, lastedMs: number): void {
    this.stalls = this.stalls.filter(
      each => each.endedMs > endedMs - STALL_MEMORY_MS,
    );
    this.stalls.push({endedMs, lastedMs});
  }

  /** @returns Whether the loop is too late to take connections in time. */
  get isStalled(): boolean {
    return this.stalled;
  }

  /** @returns The moving average of the lag, in milliseconds. */
  get lagMs(): number {
    return this.averageLagMs;
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
