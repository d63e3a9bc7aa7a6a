/** @fileoverview Entry point of the load's process; prints a summary. */

import type {LoadRoute} from './types.js';

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

import {runProcess} from '../control/process.js';
import {startLoad} from './definition.js';
import {summarizeLatency, longestUnserved} from './logic.js';

const ARGUMENTS = await yargs(hideBin(process.argv))
  .options({
    targets: {type: 'string', array: true, demandOption: true},
    perSecond: {
      type: 'number',
      default: 200,
      describe: 'requests a second, open loop',
    },
    callers: {
      type: 'number',
      default: 0,
      describe: 'callers of a closed loop; 0 for open loop',
    },
    durationMs: {
      type: 'number',
      default: 5000,
      describe: 'duration in milliseconds',
    },
    maxRequests: {
      type: 'number',
      default: 100_000,
      describe: 'maximum number of requests',
    },
    seed: {type: 'number', default: 1, describe: 'seed of keys and routes'},
    keys: {type: 'number', default: 100, describe: 'number of keys'},
    zipf: {
      type: 'number',
      default: 0,
      describe: 'exponent of key popularity; 0 is uniform',
    },
    bodyBytes: {
      type: 'number',
      default: 100,
      describe: 'bytes of request bodies',
    },
    routes: {
      type: 'string',
      default: '[]',
      describe: 'JSON list of {name, service, weight, method, path, timeoutMs}',
    },
  })
  .strict()
  .parse();

await runProcess(async signal => {
  const {callers, perSecond, routes, ...rest} = ARGUMENTS;
  const load = startLoad(
    {
      ...rest,
      arrivals:
        callers > 0 ? {kind: 'closed', callers} : {kind: 'open', perSecond},
      routes: JSON.parse(routes) as LoadRoute[],
    },
    signal,
  );
  await load.finished;
  const outcomes: Record<string, number> = {};
  for (const {outcome} of load.records) {
    outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
  }
  const latency = summarizeLatency(load.records);
  const unserved = longestUnserved(load.records);
  return {sent: load.sent(), outcomes, latency, unserved};
});
