/**
 * @fileoverview Reading of scenario files and of the list of known failures.
 */

import type {ScenarioFault, Scenario, Step, StepName} from './types.js';
import type {ZodError} from 'zod';

import {parse} from 'yaml';

import {SCENARIO_SCHEMA, STEP_SCHEMAS} from './types.js';

/** Thrown if a scenario file is invalid; lists every fault with its path. */
export class ScenarioError extends Error {
  override readonly name = 'ScenarioError';

  /**
   * @param file - Name of the scenario.
   * @param faults - Every fault found.
   */
  constructor(
    readonly file: string,
    readonly faults: readonly ScenarioFault[],
  ) {
    const lines = faults.map(fault => `  ${fault.path}: ${fault.message}`);
    super(`${file}:\n${lines.join('\n')}`);
  }
}

/**
 * Parses a scenario file.
 *
 * @param name - Name of the scenario.
 * @param text - The YAML text.
 * @returns The scenario.
 * @throws {ScenarioError} If the file is invalid; it lists every fault.
 */
export function parseScenario(name: string, text: string): Scenario {
  const head = SCENARIO_SCHEMA.safeParse(parseYaml(name, text));
  if (!head.success) {
    throw new ScenarioError(name, faultsOf(head.error, []));
  }
  const faults: ScenarioFault[] = [];
  const steps = head.data.steps.flatMap((step, index) => {
    const read = parseStep(step, index, faults);
    return read === null ? [] : [read];
  });
  if (faults.length === 0 && steps[0]?.name !== 'start') {
    faults.push({path: 'steps.0', message: 'must be start'});
  }
  if (faults.length > 0) throw new ScenarioError(name, faults);
  const {title, timeout, allow} = head.data;
  return {name, title, timeoutMs: timeout, allow, steps};
}

/**
 * Lists the scenarios that are known to fail.
 *
 * @param text - Text of KNOWN-RED.txt; an entry names `scenario NAME`.
 * @returns Names of scenarios.
 */
export function parseKnownRed(text: string): ReadonlySet<string> {
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
  faults: ScenarioFault[],
): Step | null {
  const names = Object.keys(step);
  const [name] = names;
  if (name === undefined || names.length > 1) {
    faults.push({
      path: `steps.${index}`,
      message: 'must have exactly one step name',
    });
    return null;
  }
  if (!isStepName(name)) {
    const known = Object.keys(STEP_SCHEMAS).join(', ');
    const message = `unknown step "${name}"; known: ${known}`;
    faults.push({path: `steps.${index}`, message});
    return null;
  }
  const read = STEP_SCHEMAS[name].safeParse(step[name]);
  if (read.success) return {name, args: read.data} as Step;
  faults.push(...faultsOf(read.error, ['steps', index, name]));
  return null;
}

function isStepName(name: string): name is StepName {
  return Object.hasOwn(STEP_SCHEMAS, name);
}

function faultsOf(
  error: ZodError,
  prefix: ReadonlyArray<string | number>,
): ScenarioFault[] {
  return error.issues.map(issue => ({
    path: [...prefix, ...issue.path].map(String).join('.'),
    message: issue.message,
  }));
}
