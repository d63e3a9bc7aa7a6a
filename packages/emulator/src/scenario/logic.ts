/** @fileoverview Reads scenario files and the list of known failures. */

import type {Fault, Scenario, Step, Word} from './types.js';
import type {ZodError} from 'zod';

import {parse} from 'yaml';

import {HEAD, VOCABULARY} from './types.js';

/** Raised when a scenario file is wrong; lists every fault with its place. */
export class ScenarioError extends Error {
  override readonly name = 'ScenarioError';

  /**
   * @param file - Name of the scenario.
   * @param faults - Every fault found.
   */
  constructor(
    readonly file: string,
    readonly faults: readonly Fault[],
  ) {
    const lines = faults.map(fault => `  ${fault.path}: ${fault.message}`);
    super(`${file}:\n${lines.join('\n')}`);
  }
}

/**
 * Reads one scenario.
 *
 * @param name - Name of the scenario.
 * @param text - The YAML text.
 * @returns The checked scenario.
 * @throws {ScenarioError} Lists every fault with its place.
 */
export function parseScenario(name: string, text: string): Scenario {
  const head = HEAD.safeParse(parseYaml(name, text));
  if (!head.success) throw new ScenarioError(name, faultsOf(head.error, []));
  const faults: Fault[] = [];
  const steps = head.data.steps.flatMap((step, index) => {
    const read = parseStep(step, index, faults);
    return read === null ? [] : [read];
  });
  if (faults.length === 0 && steps[0]?.word !== 'start') {
    faults.push({path: 'steps.0', message: 'must be start'});
  }
  if (faults.length > 0) throw new ScenarioError(name, faults);
  const {title, timeout, allow} = head.data;
  return {name, title, timeoutMs: timeout, allow, steps};
}

/**
 * Finds the scenarios that are known to fail.
 *
 * @param text - Text of KNOWN-RED.txt; an entry names `scenario NAME`.
 * @returns Names of scenarios.
 */
export function knownRed(text: string): ReadonlySet<string> {
  const names = [...text.matchAll(/\bscenario:? ([a-z0-9_]+)/g)];
  return new Set(names.map(match => match[1] ?? ''));
}

function parseYaml(name: string, text: string): unknown {
  try {
    return parse(text) as unknown;
  } catch (error) {
    throw new ScenarioError(name, [{path: '', message: String(error)}]);
  }
}

function parseStep(
  step: Readonly<Record<string, unknown>>,
  index: number,
  faults: Fault[],
): Step | null {
  const words = Object.keys(step);
  const [word] = words;
  if (word === undefined || words.length > 1) {
    faults.push({path: `steps.${index}`, message: 'must hold one word'});
    return null;
  }
  if (!isWord(word)) {
    const known = Object.keys(VOCABULARY).join(', ');
    const message = `unknown word "${word}"; known: ${known}`;
    faults.push({path: `steps.${index}`, message});
    return null;
  }
  const read = VOCABULARY[word].safeParse(step[word]);
  if (read.success) return {word, says: read.data} as Step;
  faults.push(...faultsOf(read.error, ['steps', index, word]));
  return null;
}

function isWord(word: string): word is Word {
  return Object.hasOwn(VOCABULARY, word);
}

function faultsOf(
  error: ZodError,
  prefix: ReadonlyArray<string | number>,
): Fault[] {
  return error.issues.map(issue => ({
    path: [...prefix, ...issue.path].map(String).join('.'),
    message: issue.message,
  }));
}
