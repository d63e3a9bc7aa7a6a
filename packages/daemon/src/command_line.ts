/** @fileoverview The command line of `jackdawfalld`. */

import {isDeepStrictEqual} from 'node:util';

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

import {ListenError} from './process/listen.js';
import {runProcess} from './process/logic.js';
import type {ProcessSignals} from './process/signals.js';
import {SettingsError, readSettings} from './settings/logic.js';

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

/**
 * Runs the daemon that the command line asks for and exits.
 *
 * @param signals - Signals that the process receives.
 */
export async function runCommandLine(signals: ProcessSignals): Promise<void> {
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
  try {
    const settings = await readSettings(args.settings);
    await runProcess({
      settings,
      signals,
      haveSettingsChanged: async () =>
        !isDeepStrictEqual(await readSettings(args.settings), settings),
    });
    process.exit();
  } catch (error) {
    const known =
      error instanceof SettingsError || error instanceof ListenError;
    if (!known) throw error;
    process.stderr.write(`${error.message}\n`);
    process.exit(error instanceof SettingsError ? EXIT_USAGE : EXIT_FAILURE);
  }
}
