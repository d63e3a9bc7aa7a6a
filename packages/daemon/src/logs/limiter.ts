/** @fileoverview How many lines a second of each flow are written. */

import type {LogEvent} from '@jackdawfall/core';

type Flow = LogEvent['flow'];

const SECOND_MS = 1000;
/**
 * Lines a second of each flow: a daemon at its usual load writes all, at
 * overload enough to follow single requests. Changes of state are rare.
 */
const LINES_PER_SECOND: Readonly<Record<Flow, number>> = {
  state: Infinity,
  request: 150,
  failure: 100,
};
/** Seconds for which unused lines are saved up. */
const BURST_SECONDS = 4;

/** Counts lines of each flow. */
export class LineRateLimiter {
  private readonly left = new Map<Flow, number>();
  private filledMs: number;

  /** @param nowMs - Monotonic time, in milliseconds. */
  constructor(nowMs: number) {
    this.filledMs = nowMs;
    for (const [flow, lines] of entriesOf(LINES_PER_SECOND)) {
      this.left.set(flow, lines * BURST_SECONDS);
    }
  }

  /**
   * Takes one line.
   *
   * @param flow - Its flow.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Whether it may be written.
   */
  take(flow: Flow, nowMs: number): boolean {
    this.fill(nowMs);
    const left = this.left.get(flow) ?? 0;
    if (left < 1) return false;
    this.left.set(flow, left - 1);
    return true;
  }

  private fill(nowMs: number): void {
    const seconds = (nowMs - this.filledMs) / SECOND_MS;
    if (seconds <= 0) return;
    this.filledMs = nowMs;
    for (const [flow, lines] of entriesOf(LINES_PER_SECOND)) {
      const left = (this.left.get(flow) ?? 0) + lines * seconds;
      this.left.set(flow, Math.min(left, lines * BURST_SECONDS));
    }
  }
}

function entriesOf(
  lines: Readonly<Record<Flow, number>>,
): ReadonlyArray<[Flow, number]> {
  return Object.entries(lines) as Array<[Flow, number]>;
}
