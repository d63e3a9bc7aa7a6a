/** @fileoverview Process entry of the relay. */

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

import {runProcess} from '../control/process.js';
import {startRelay} from './definition.js';

const ARGUMENTS = await yargs(hideBin(process.argv))
  .options({
    port: {type: 'number', default: 0, describe: 'port that is relayed'},
    controlPort: {type: 'number', default: 0, describe: 'control port'},
    target: {type: 'string', demandOption: true, describe: 'ip:port behind'},
  })
  .strict()
  .parse();

await runProcess(signal => startRelay(ARGUMENTS, signal));
