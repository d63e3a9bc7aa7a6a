/**
 * @fileoverview Entry point of `npm run bench [-- NAME...]`: runs benches one
 * after another and prints a JSON document with the results.
 */

import {availableParallelism, totalmem} from 'node:os';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {abortOnSignals} from '../control/signals.js';
import {BENCHES} from './definitions.js';
import {printProgress} from './progress.js';
import type {Bench, Measurements} from './types.js';

interface BenchOutcome {
  readonly durationMs: number;
  readonly figures?: Measurements;
  readonly error?: string;
}

const names = BENCHES.map(bench => bench.name);
const args = await yargs(hideBin(process.argv))
  .scriptName('bench')
  .usage('$0 [NAME...]\n\nBenches: ' + names.join(', '))
  .check(({_}) => {
    const unknown = _.find(name => !names.includes(String(name)));
    if (unknown === undefined) return true;
    throw new Error(`no bench "${unknown}"; there are: ${names.join(', ')}`);
  })
  .strictOptions()
  .parseAsync();

const abort = new AbortController();
abortOnSignals(abort);

const requested = args._.map(String);
const outcomes: Record<string, BenchOutcome> = {};
for (const bench of BENCHES) {
  if (abort.signal.aborted) break;
  if (requested.length > 0 && !requested.includes(bench.name)) {
    continue;
  }
  outcomes[bench.name] = await runBench(bench);
}
const machine = {
  node: process.version,
  processors: availableParallelism(),
  memoryBytes: totalmem(),
};
process.stdout.write(
  `${JSON.stringify({machine, benches: outcomes}, null, 2)}\n`,
);
const failed = Object.values(outcomes).some(({error}) => error !== undefined);
process.exitCode = failed || abort.signal.aborted ? 1 : 0;

async function runBench(bench: Bench): Promise<BenchOutcome> {
  printProgress(`bench ${bench.name}: ${bench.text}`);
  const startMs = performance.now();
  const elapsedMs = () => Math.round(performance.now() - startMs);
  try {
    const figures = await bench.run(abort.signal);
    return {durationMs: elapsedMs(), figures};
  } catch (error) {
    printProgress(`bench ${bench.name} failed: ${String(error)}`);
    return {durationMs: elapsedMs(), error: String(error)};
  }
}
