/** @fileoverview Runs all scenarios, or those named as arguments. */

import type {ScenarioResult, StepArguments, Scenario} from './types.js';
import {existsSync, mkdirSync, readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

import {abortOnSignals} from '../control/signals.js';
import {parseKnownRed, parseScenario} from './logic.js';
import {runScenario} from './runner.js';
import {renderFaults, renderResults} from './view.js';

type TuningOverrides = StepArguments<'start'>['tuning'];

const ROOT = new URL('../../../../', import.meta.url);
const SCENARIOS = new URL('scenarios/', ROOT);
const KNOWN_RED = new URL('KNOWN-RED.txt', ROOT);
const SUFFIX = '.yaml';

const ARGUMENTS = await yargs(hideBin(process.argv))
  .scriptName('scenarios')
  .usage('$0 [NAME..]')
  .options({
    check: {
      type: 'boolean',
      default: false,
      describe: 'only check the files',
    },
    tuning: {
      type: 'string',
      default: '{}',
      describe: 'JSON laid over the tuning of daemons, to see a check fail',
    },
    logs: {
      type: 'string',
      describe: 'folder for the logs of the daemons, one below it a scenario',
    },
    parallel: {
      type: 'number',
      default: 2,
      describe: 'scenarios that run at the same time',
    },
  })
  .parse();

const stop = new AbortController();
abortOnSignals(stop);
try {
  process.exitCode = await main(ARGUMENTS._.map(String), stop.signal);
} catch (error) {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 2;
} finally {
  stop.abort();
}

async function main(
  names: readonly string[],
  signal: AbortSignal,
): Promise<number> {
  const scenarios = readScenarios(names);
  if (ARGUMENTS.check) return 0;
  const knownRed = existsSync(KNOWN_RED)
    ? parseKnownRed(readFileSync(KNOWN_RED, 'utf8'))
    : new Set<string>();
  const results = await runAll(scenarios, knownRed, signal);
  print('');
  print(renderResults(results));
  return results.some(({verdict}) => verdict === 'failed') ? 1 : 0;
}

function withTuning(scenario: Scenario, overrides: TuningOverrides): Scenario {
  const steps = scenario.steps.map(step => {
    if (step.name !== 'start') return step;
    return {
      ...step,
      args: {...step.args, tuning: {...step.args.tuning, ...overrides}},
    };
  });
  return {...scenario, steps};
}

/** Runs several scenarios at a time; returns results in the order of names. */
async function runAll(
  scenarios: readonly Scenario[],
  knownRed: ReadonlySet<string>,
  signal: AbortSignal,
): Promise<ScenarioResult[]> {
  const overrides = JSON.parse(ARGUMENTS.tuning) as TuningOverrides;
  const waiting = [...scenarios];
  const results: ScenarioResult[] = [];
  const work = async (): Promise<void> => {
    for (;;) {
      const scenario = waiting.shift();
      if (scenario === undefined || signal.aborted) return;
      const result = await runScenario(
        withTuning(scenario, overrides),
        signal,
        createLogFolder(scenario),
      );
      print(`${scenario.name}: ${scenario.title}`);
      results.push(reportResult(result, knownRed));
    }
  };
  await Promise.all(Array.from({length: ARGUMENTS.parallel}, work));
  return results.sort((a, b) => (a.name < b.name ? -1 : 1));
}

function createLogFolder({name}: Scenario): string | undefined {
  if (ARGUMENTS.logs === undefined) return undefined;
  const folder = join(ARGUMENTS.logs, name);
  mkdirSync(folder, {recursive: true});
  return folder;
}

function readScenarios(names: readonly string[]): Scenario[] {
  const files = readdirSync(SCENARIOS).filter(file => file.endsWith(SUFFIX));
  const known = files.map(file => file.slice(0, -SUFFIX.length)).sort();
  const unknown = names.filter(name => !known.includes(name));
  if (unknown.length > 0) {
    throw new Error(
      `no scenario ${unknown.join(', ')}; known: ${known.join(', ')}`,
    );
  }
  const wanted = names.length === 0 ? known : names;
  return wanted.map(name => {
    const text = readFileSync(new URL(`${name}${SUFFIX}`, SCENARIOS), 'utf8');
    return parseScenario(name, text);
  });
}

function reportResult(
  result: ScenarioResult,
  knownRed: ReadonlySet<string>,
): ScenarioResult {
  const isKnownRed = knownRed.has(result.name);
  if (result.verdict === 'passed') {
    if (isKnownRed) print('  passes, but is listed in KNOWN-RED.txt');
    return result;
  }
  print(renderFaults(result));
  if (!isKnownRed) return result;
  print('  known red: listed in KNOWN-RED.txt');
  return {...result, verdict: 'known red'};
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
