/** @fileoverview Entry point of the relay's process. */

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

import {runProcess} from '../control/process.js';
import {startRelay} from './definition.js';

const ARGUMENTS = await yargs(hideBin(process.argv))
  .options({
    port: {type: 'number', default: 0, describe: 'port to listen on'},
    controlPort: {type: 'number', default: 0, describe: 'control port'},
    target: {
      type: 'string',
      demandOption: true,
      describe: 'ip:port of the target',
    },
  })
  .strict()
  .parse();

await runProcess(signal => startRelay(ARGUMENTS, signal));
