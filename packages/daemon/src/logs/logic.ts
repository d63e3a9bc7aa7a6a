/** @fileoverview Structured log lines through the log library. */

import {LOGS} from '@jackdawfall/core';
import type {Tuning} from '@jackdawfall/core';
import loglevel from 'loglevel';

import type {LogContext, Logger} from './types.js';

/**
 * Creates the daemon's logger.
 *
 * @param level - The least level that is written.
 * @param context - What each line says of its author.
 * @param write - Receives each line with its line end.
 * @returns The logger.
 */
export function createLogger(
  level: Tuning['logs']['level'],
  context: LogContext,
  write: (line: string) => void = line => process.stdout.write(line),
): Logger {
  const library = loglevel.getLogger(Symbol('jackdawfalld'));
  library.methodFactory =
    () =>
    (...parts: unknown[]) => {
      write(`${parts.join(' ')}\n`);
    };
  library.setLevel(level, false);
  let author = context;
  return {
    log(name, fields = {}) {
      const {code, level: severity, text} = LOGS[name];
      const time = new Date().toISOString();
      const line = {time, code, level: severity, name, text, fields, ...author};
      library[severity](JSON.stringify(line));
    },
    setContext(change) {
      author = {...author, ...change};
    },
  };
}
