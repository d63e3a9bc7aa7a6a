/** @fileoverview Writes log events as JSON lines. */

import {LOG_EVENTS} from '@jackdawfall/core';
import type {LogEventName, Tuning} from '@jackdawfall/core';
import loglevel from 'loglevel';

import {LineRateLimiter} from './limiter.js';
import type {LogContext, LogFields, Logger, Sink} from './types.js';

/** Minimum time between two reports of dropped lines. */
const MIN_REPORT_INTERVAL_MS = 1000;

/**
 * Creates the daemon's logger.
 *
 * @param level - Minimum level of the lines that are written.
 * @param context - Fields that identify the daemon in each line.
 * @param sink - Receives each line with its line terminator.
 * @returns The logger.
 */
export function createLogger(
  level: Tuning['logs']['level'],
  context: LogContext,
  sink: Sink,
): Logger {
  const library = loglevel.getLogger(Symbol('jackdawfalld'));
  library.methodFactory =
    () =>
    (...parts: unknown[]) => {
      sink.write(`${parts.join(' ')}\n`);
    };
  library.setLevel(level, false);
  let currentContext = context;
  const limiter = new LineRateLimiter(performance.now());
  let dropped = 0;
  let reportedMs = -MIN_REPORT_INTERVAL_MS;
  const write = (name: LogEventName, fields: LogFields): void => {
    const {code, level: severity, text} = LOG_EVENTS[name];
    const time = new Date().toISOString();
    const line = {
      time,
      code,
      level: severity,
      name,
      text,
      fields,
      ...currentContext,
    };
    library[severity](JSON.stringify(line));
  };
  /**
   * Reports the lines dropped since the last report: `overVolume` by the rate
   * limit, `unread` because the reader of the output is slow.
   */
  const reportDropped = (nowMs: number): void => {
    if (nowMs - reportedMs < MIN_REPORT_INTERVAL_MS) return;
    const unread = sink.takeDroppedCount();
    if (dropped + unread === 0) return;
    reportedMs = nowMs;
    write('linesDropped', {overVolume: dropped, unread});
    dropped = 0;
  };
  return {
    log(name, fields = {}) {
      const nowMs = performance.now();
      reportDropped(nowMs);
      if (limiter.take(LOG_EVENTS[name].flow, nowMs)) write(name, fields);
      else dropped += 1;
    },
    setContext(change) {
      currentContext = {...currentContext, ...change};
    },
  };
}
