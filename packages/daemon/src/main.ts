#!/usr/bin/env node
/** @fileoverview Command-line entry point of `jackdawfalld`. */

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

import {ListenError} from './process/listen.js';
import {runProcess} from './process/logic.js';
import {readSettings} from './settings/logic.js';
import {SettingsError} from './settings/logic.js';

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

const args = await yargs(hideBin(process.argv))
  .scriptName('jackdawfalld')
  .usage('$0 --settings FILE')
  .option('settings', {
    type: 'string',
    demandOption: true,
    describe: 'Settings of this daemon, a JSON file',
  })
  .strict()
  .parseAsync();

const stop = new AbortController();
// Kept for further signals, whose default action would end the process.
process.on('SIGTERM', () => stop.abort());
process.on('SIGINT', () => stop.abort());

try {
  await runProcess(await readSettings(args.settings), stop.signal);
  process.exit();
} catch (error) {
  const known = error instanceof SettingsError || error instanceof ListenError;
  if (!known) throw error;
  process.stderr.write(`${error.message}\n`);
  process.exit(error instanceof SettingsError ? EXIT_USAGE : EXIT_FAILURE);
}
