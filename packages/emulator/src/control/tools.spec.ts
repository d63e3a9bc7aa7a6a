/**
 * @fileoverview Tests that tools which are ended by signals end their child
 * processes, with real processes.
 */

import {randomUUID} from 'node:crypto';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync, readdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

import test from 'ava';

import {sleep} from './logic.js';

/** Marks the environment of a tool, which its child processes inherit. */
const MARK = 'JACKDAWFALL_TOOL_TEST';
/** Processes that a tool has started when it gets the signals. */
const MIN_CHILDREN = 2;
const START_MS = 20_000;
const END_MS = 5000;
const INTERVAL_MS = 50;

interface Case {
  readonly tool: string;
  readonly args: readonly string[];
  readonly signals: readonly NodeJS.Signals[];
}

const CASES: readonly Case[] = [
  {tool: 'demo', args: [], signals: ['SIGTERM']},
  {tool: 'demo', args: [], signals: ['SIGHUP', 'SIGINT']},
  {tool: 'scenario', args: ['daemon_stops'], signals: ['SIGINT', 'SIGINT']},
  {tool: 'scenario', args: ['daemon_stops'], signals: ['SIGHUP']},
  {tool: 'owners', args: [], signals: ['SIGTERM', 'SIGTERM']},
  {tool: 'bench', args: ['links'], signals: ['SIGHUP', 'SIGTERM']},
];

// Guards against a tool that ends before its child processes, which then run on.
for (const {tool, args, signals} of CASES) {
  const name = `${tool} gets ${signals.join(', ')}: no process is left`;
  test.serial(name, async t => {
    const mark = `${MARK}=${randomUUID()}`;
    const [key, value] = mark.split('=');
    const main = fileURLToPath(new URL(`../${tool}/main.js`, import.meta.url));
    const child = spawn(process.execPath, [main, ...args], {
      env: {...process.env, [key]: value},
      stdio: 'ignore',
    });
    const ended = once(child, 'exit');
    t.teardown(() => findProcesses(mark).forEach(killProcess));
    const untilMs = performance.now() + START_MS;
    while (findProcesses(mark).length <= MIN_CHILDREN) {
      if (performance.now() > untilMs) throw new Error('no child processes');
      await sleep(INTERVAL_MS);
    }
    for (const each of signals) {
      child.kill(each);
      await sleep(INTERVAL_MS);
    }
    const end = await Promise.race([ended, sleep(END_MS)]);
    t.not(end, undefined, 'the tool still runs');
    await sleep(INTERVAL_MS);
    t.deepEqual(findProcesses(mark), []);
  });
}

/** Lists the processes whose environment has a mark. */
function findProcesses(mark: string): number[] {
  return readdirSync('/proc')
    .filter(name => /^\d+$/.test(name))
    .filter(id => readEnvironment(id).includes(mark))
    .map(Number);
}

/** Reads the variables of a process; none if it has ended or is another's. */
function readEnvironment(id: string): readonly string[] {
  try {
    return readFileSync(`/proc/${id}/environ`, 'utf8').split('\0');
  } catch {
    return [];
  }
}

function killProcess(id: number): void {
  try {
    process.kill(id, 'SIGKILL');
  } catch {
    // It has ended since it was listed.
  }
}
