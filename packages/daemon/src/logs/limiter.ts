/** @fileoverview Limits the rate of log lines with token buckets. */

import type {LogEvent} from '@jackdawfall/core';

/** The class of a log event for rate limiting. */
type Flow = LogEvent['flow'];

const SECOND_MS = 1000;
/**
 * Maximum rate of each flow. Under normal load every line is written; under
 * overload there are still enough to trace single requests. State changes are
 * rare, so they are not limited.
 */
const LINES_PER_SECOND: Readonly<Record<Flow, number>> = {
  state: Infinity,
  request: 150,
  failure: 100,
  signal: 10,
};
/** Capacity of a bucket, as seconds of its rate. */
const MAX_BURST_SECONDS = 4;

/** A token bucket for each flow; one line takes one token. */
export class LineRateLimiter {
  /** Number of tokens in each bucket. */
  private readonly tokens = new Map<Flow, number>();
  private lastFillMs: number;

  /** @param nowMs - Monotonic time in milliseconds. */
  constructor(nowMs: number) {
    this.lastFillMs = nowMs;
    for (const [flow, lines] of entriesOf(LINES_PER_SECOND)) {
      this.tokens.set(flow, lines * MAX_BURST_SECONDS);
    }
  }

  /**
   * Takes a token for one line.
   *
   * @param flow - Flow of the line.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the line may be written.
   */
  take(flow: Flow, nowMs: number): boolean {
    this.fill(nowMs);
    const tokens = this.tokens.get(flow) ?? 0;
    if (tokens < 1) return false;
    this.tokens.set(flow, tokens - 1);
    return true;
  }

  private fill(nowMs: number): void {
    const seconds = (nowMs - this.lastFillMs) / SECOND_MS;
    if (seconds <= 0) return;
    this.lastFillMs = nowMs;
    for (const [flow, lines] of entriesOf(LINES_PER_SECOND)) {
      const tokens = (this.tokens.get(flow) ?? 0) + lines * seconds;
      this.tokens.set(flow, Math.min(tokens, lines * MAX_BURST_SECONDS));
    }
  }
}

function entriesOf(
  lines: Readonly<Record<Flow, number>>,
): ReadonlyArray<[Flow, number]> {
  return Object.entries(lines) as Array<[Flow, number]>;
}
