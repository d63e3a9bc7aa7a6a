/**
 * @fileoverview Entry point of the emulated backend server's process. Each
 * record is printed immediately, so none is lost when the process is killed.
 */

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

import {runProcess} from '../control/process.js';
import {startServer} from './definition.js';

const ARGUMENTS = await yargs(hideBin(process.argv))
  .options({
    port: {type: 'number', default: 0, describe: 'port for requests'},
    controlPort: {type: 'number', default: 0, describe: 'control port'},
    host: {type: 'string', demandOption: true, describe: 'name of the host'},
    service: {
      type: 'string',
      demandOption: true,
      describe: 'service that it serves',
    },
    announceTo: {
      type: 'string',
      default: '',
      describe:
        'ip:port of the port for operators of the daemon on the same host',
    },
    slots: {type: 'number', default: 20, describe: 'requests at the same time'},
    connections: {
      type: 'number',
      default: 130,
      describe: 'maximum connections',
    },
    checksGrants: {
      type: 'boolean',
      default: false,
      describe: 'refuses requests under a stale grant',
    },
    serviceMs: {
      type: 'number',
      default: 4,
      describe: 'mean service time in milliseconds',
    },
    coldSlots: {
      type: 'number',
      default: 1,
      describe: 'slots after a cold start',
    },
    completedPerSlot: {
      type: 'number',
      default: 5,
      describe: 'completed requests that add a slot while it warms up',
    },
    breaksAt: {
      type: 'number',
      default: 2,
      describe: 'load over capacity, as a factor, that overruns it',
    },
    seed: {type: 'number', default: 1, describe: 'seed of service times'},
    journal: {type: 'boolean', default: true, describe: 'print each record'},
  })
  .strict()
  .parse();

await runProcess(signal =>
  startServer(ARGUMENTS, signal, event => {
    if (!ARGUMENTS.journal) return;
    process.stdout.write(`${JSON.stringify(event)}\n`);
  }),
);
