/**
 * @fileoverview Process entry of the stand-in backend server. Each note is
 * written to standard output at once, so that it outlives a SIGKILL.
 */

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

import {runProcess} from '../control/process.js';
import {startServer} from './definition.js';

const ARGUMENTS = await yargs(hideBin(process.argv))
  .options({
    port: {type: 'number', default: 0, describe: 'port for work'},
    controlPort: {type: 'number', default: 0, describe: 'control port'},
    host: {type: 'string', demandOption: true, describe: 'name of the host'},
    service: {type: 'string', demandOption: true, describe: 'service offered'},
    announceTo: {
      type: 'string',
      default: '',
      describe: 'ip:port of the operators port of the daemon beside it',
    },
    slots: {type: 'number', default: 20, describe: 'requests at a time'},
    connections: {type: 'number', default: 130, describe: 'connections'},
    checksGrants: {type: 'boolean', default: false, describe: 'fences work'},
    serviceMs: {type: 'number', default: 4, describe: 'mean service time'},
    coldSlots: {type: 'number', default: 1, describe: 'slots when cold'},
    completedPerSlot: {
      type: 'number',
      default: 5,
      describe: 'completed requests that add a slot',
    },
    breaksAt: {type: 'number', default: 2, describe: 'factor that breaks it'},
    seed: {type: 'number', default: 1, describe: 'seed of service times'},
    journal: {type: 'boolean', default: true, describe: 'print each note'},
  })
  .strict()
  .parse();

await runProcess(signal =>
  startServer(ARGUMENTS, signal, event => {
    if (!ARGUMENTS.journal) return;
    process.stdout.write(`${JSON.stringify(event)}\n`);
  }),
);
