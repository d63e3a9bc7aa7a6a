/** @fileoverview Entry point of the emulated platform's process. */

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

import {runProcess} from '../control/process.js';
import {startPlatform} from './definition.js';

const ARGUMENTS = await yargs(hideBin(process.argv))
  .options({
    port: {
      type: 'number',
      default: 0,
      describe: 'port of the table and the object store',
    },
    controlPort: {type: 'number', default: 0, describe: 'control port'},
    seed: {type: 'number', default: 1, describe: 'seed of random faults'},
  })
  .strict()
  .parse();

await runProcess(signal => startPlatform(ARGUMENTS, signal));
