/** @fileoverview Runs scenarios: all, or those named as arguments. */

import type {Result, Scenario} from './types.js';
import {existsSync, readFileSync, readdirSync} from 'node:fs';

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

import {knownRed, parseScenario} from './logic.js';
import {runScenario} from './runner.js';
import {renderFaults, renderResults} from './view.js';

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
  })
  .parse();

const stop = new AbortController();
process.once('SIGINT', () => stop.abort());
process.once('SIGTERM', () => stop.abort());
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
  const scenarios = chosen(names);
  if (ARGUMENTS.check) return 0;
  const red = existsSync(KNOWN_RED)
    ? knownRed(readFileSync(KNOWN_RED, 'utf8'))
    : new Set<string>();
  const results: Result[] = [];
  for (const scenario of scenarios) {
    if (signal.aborted) break;
    say(`${scenario.name}: ${scenario.title}`);
    const result = await runScenario(scenario, signal, say);
    results.push(report(result, red));
  }
  say('');
  say(renderResults(results));
  return results.some(({verdict}) => verdict === 'failed') ? 1 : 0;
}

function chosen(names: readonly string[]): Scenario[] {
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

function report(result: Result, red: ReadonlySet<string>): Result {
  const listed = red.has(result.name);
  if (result.verdict === 'passed') {
    if (listed) say('  passes, but is listed in KNOWN-RED.txt');
    return result;
  }
  say(renderFaults(result));
  if (!listed) return result;
  say('  known red: listed in KNOWN-RED.txt');
  return {...result, verdict: 'known red'};
}

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}
