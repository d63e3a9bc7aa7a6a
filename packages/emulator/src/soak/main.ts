/** @fileoverview Command line of the randomised run: `npm run soak -- --seed N`. */

import type {Rule} from '@jackdawfall/core';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

import {search} from './search.js';
import type {Finding} from './search.js';

/** Newest lines of the trace to print with a violation. */
const SHOWN_LINES = 60;
/** Rules of the ownership protocol that can be disabled, by id. */
const RULES: readonly Rule[] = ['R1', 'R2', 'R3', 'R4', 'R5', 'R6', 'R8', 'R9'];

const options = yargs(hideBin(process.argv))
  .option('seed', {type: 'number', default: 1, describe: 'First seed'})
  .option('steps', {
    type: 'number',
    default: 20000,
    describe: 'Number of steps',
  })
  .option('off', {choices: RULES, describe: 'Rule to disable'})
  .option('restores', {
    type: 'boolean',
    default: false,
    describe: 'Whether the store is restored to older copies',
  })
  .strict()
  .parseSync();

const result = search({
  seed: options.seed,
  steps: options.steps,
  rulesOff: new Set(options.off === undefined ? [] : [options.off]),
  restores: options.restores,
  shrink: true,
  onSeed: (seed, steps) => {
    process.stderr.write(`seed ${seed} done, ${steps} steps\n`);
  },
});

process.stdout.write(
  `steps ${result.steps} runs ${result.runs} seeds ${result.seeds} ` +
    `trace ${result.digest}\n`,
);
if (result.finding !== null) {
  process.stdout.write(formatFinding(result.finding));
  process.exitCode = 1;
}

function formatFinding(finding: Finding): string {
  const {violation, steps} = finding;
  const lines = steps.map(
    step => `  ${JSON.stringify(step.action)} then ${step.ms} ms`,
  );
  return [
    `violation of ${violation.invariant} at ${violation.atMs.toFixed(0)} ms:`,
    `  ${violation.detail}`,
    `seed ${finding.librarySeed}, run ${finding.runSeed}, hosts ${finding.hosts}`,
    ...lines,
    'newest events:',
    ...finding.lines.slice(-SHOWN_LINES),
    '',
  ].join('\n');
}
