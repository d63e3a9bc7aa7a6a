/** @fileoverview Structured log lines through the log library. */

import {LOG_EVENTS} from '@jackdawfall/core';
import type {LogEventName, Tuning} from '@jackdawfall/core';
import loglevel from 'loglevel';

import {LineRateLimiter} from './limiter.js';
import type {LogContext, LogFields, Logger, Sink} from './types.js';

/** Time between two reports of lines that were left out. */
const REPORT_MS = 1000;

/**
 * Creates the daemon's logger.
 *
 * @param level - The least level that is written.
 * @param context - What each line says of its author.
 * @param sink - Receives each line with its line end.
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
  let author = context;
  const allowance = new LineRateLimiter(performance.now());
  let dropped = 0;
  let reportedMs = -REPORT_MS;
  const write = (name: LogEventName, fields: LogFields): void => {
    const {code, level: severity, text} = LOG_EVENTS[name];
    const time = new Date().toISOString();
    const line = {time, code, level: severity, name, text, fields, ...author};
    library[severity](JSON.stringify(line));
  };
  const reportDropped = (nowMs: number): void => {
    if (nowMs - reportedMs < REPORT_MS) return;
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
      if (allowance.take(LOG_EVENTS[name].flow, nowMs)) write(name, fields);
      else dropped += 1;
    },
    setContext(change) {
      author = {...author, ...change};
    },
  };
}
