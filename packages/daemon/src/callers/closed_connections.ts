/** @fileoverview Counts and logs connections that were closed to make room. */

import type {LogEventName} from '@jackdawfall/core';

import type {LogFields} from '../logs/types.js';
import type {Metrics} from '../metrics/types.js';

/** Interval of log lines about closed connections. */
const LOG_INTERVAL_MS = 1000;

/** Connections closed for want of room, counted and logged once a second. */
export class ClosedConnections {
  private readonly counts = new Map<string, number>();
  private loggedMs = 0;

  /**
   * @param metrics - Counts them.
   * @param write - Writes a log event.
   */
  constructor(
    private readonly metrics: Metrics,
    private readonly write: (event: LogEventName, fields: LogFields) => void,
  ) {}

  /**
   * Records that connections were closed.
   *
   * @param reason - What there was no room for.
   * @param count - Their number.
   */
  record(reason: string, count: number): void {
    this.metrics.count('connectionsClosed', reason, count);
    this.counts.set(reason, (this.counts.get(reason) ?? 0) + count);
  }

  /**
   * Logs what was closed since the last line, if the interval has passed.
   *
   * @param connections - Number of connections that are open.
   */
  log(connections: number): void {
    const now = performance.now();
    if (now - this.loggedMs < LOG_INTERVAL_MS) return;
    this.loggedMs = now;
    for (const [reason, count] of this.counts) {
      this.write('connectionsClosed', {reason, count, connections});
    }
    this.counts.clear();
  }
}
