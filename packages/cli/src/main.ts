#!/usr/bin/env node
/** @fileoverview Entry point of `jackdawfall`. */

import loglevel from 'loglevel';

import {EXIT_CODES} from './output/logic.js';
import {runProgram} from './program.js';

const logger = loglevel.getLogger('jackdawfall');
logger.methodFactory =
  () =>
  (...parts: unknown[]) => {
    process.stderr.write(`${parts.join(' ')}\n`);
  };
logger.setLevel('info', false);

const stop = new AbortController();
for (const name of ['SIGINT', 'SIGTERM'] as const) {
  process.on(name, () => stop.abort());
}

try {
  process.exitCode = await runProgram(
    process.argv.slice(2),
    {
      write: text => process.stdout.write(`${text}\n`),
      writeError: text => logger.error(text),
    },
    stop.signal,
  );
} catch (error) {
  logger.error(error);
  process.exitCode = EXIT_CODES.internal;
}
