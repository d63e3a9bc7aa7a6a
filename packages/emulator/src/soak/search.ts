/** @fileoverview Search for violations in random runs, and their shrinking. */

import fc from 'fast-check';
import type {Rule} from '@jackdawfall/core';
import {createHash} from 'node:crypto';

import {MAX_HOSTS, STEP, STEP_WITH_RESTORES} from './actions.js';
import {runSteps} from './run.js';
import type {Step, Violation} from './types.js';

/** Maximum number of steps in one run. */
const STEPS_PER_RUN = 120;
/** Runs with one seed of fast-check. */
const RUNS_PER_SEED = 20;
/** Maximum time for one seed, shrinking included, in milliseconds. */
const SHRINK_MS = 60_000;

/** Settings of a search. */
export interface SearchSettings {
  readonly seed: number;
  readonly steps: number;
  readonly rulesOff: ReadonlySet<Rule>;
  /** Whether the store is restored to older copies; false if absent. */
  readonly restores?: boolean;
  /** Whether to shrink a violation to a short run. */
  readonly shrink: boolean;
  /** Called after each seed with the number of steps so far. */
  readonly onSeed?: (seed: number, steps: number) => void;
}

/** A violation with the run that reproduces it. */
export interface Finding {
  readonly librarySeed: number;
  readonly runSeed: number;
  readonly hosts: number;
  readonly steps: readonly Step[];
  readonly violation: Violation;
  /** Newest lines of the trace. */
  readonly lines: readonly string[];
}

/** Result of a search. */
export interface SearchResult {
  readonly finding: Finding | null;
  readonly steps: number;
  readonly runs: number;
  readonly seeds: number;
  /** Hash over the traces of all runs. */
  readonly digest: string;
}

const RUN = arbitraryRun(STEP);
const RUN_WITH_RESTORES = arbitraryRun(STEP_WITH_RESTORES);

/**
 * Runs random steps until the number of steps is reached or a violation found.
 *
 * @param settings - Seed, number of steps and disabled rules.
 * @returns The violation, if any, and counts of what was run.
 */
export function search(settings: SearchSettings): SearchResult {
  const hash = createHash('sha256');
  let steps = 0;
  let runs = 0;
  let seeds = 0;
  let finding: Finding | null = null;
  while (steps < settings.steps && finding === null) {
    const librarySeed = settings.seed + seeds;
    seeds += 1;
    finding = checkSeed(settings, librarySeed, (count, digest) => {
      steps += count;
      runs += 1;
      hash.update(digest);
    });
    settings.onSeed?.(librarySeed, steps);
  }
  return {finding, steps, runs, seeds, digest: hash.digest('hex')};
}

function checkSeed(
  settings: SearchSettings,
  librarySeed: number,
  onRun: (steps: number, digest: string) => void,
): Finding | null {
  let found = false;
  const {rulesOff, restores = false} = settings;
  const run = restores ? RUN_WITH_RESTORES : RUN;
  const property = fc.property(run, ([seed, hosts, steps]) => {
    const result = runSteps({seed, hosts, rulesOff, restores}, steps);
    // Runs that only serve to shrink a violation are not counted.
    if (!found) onRun(steps.length, result.digest);
    found ||= result.violation !== null;
    return result.violation === null;
  });
  const details = fc.check(property, {
    seed: librarySeed,
    numRuns: RUNS_PER_SEED,
    endOnFailure: !settings.shrink,
    interruptAfterTimeLimit: settings.shrink ? SHRINK_MS : undefined,
    markInterruptAsFailure: false,
  });
  const example = details.counterexample?.[0];
  if (example === undefined) return null;
  const [runSeed, hosts, steps] = example;
  const {violation, lines} = runSteps(
    {seed: runSeed, hosts, rulesOff, restores},
    steps,
  );
  if (violation === null) throw new Error('a run is not reproducible');
  return {librarySeed, runSeed, hosts, steps, violation, lines};
}

function arbitraryRun(
  step: fc.Arbitrary<Step>,
): fc.Arbitrary<[number, number, Step[]]> {
  return fc.tuple(
    fc.nat({max: 2 ** 30}),
    fc.integer({min: 2, max: MAX_HOSTS}),
    fc.array(step, {minLength: 1, maxLength: STEPS_PER_RUN, size: 'max'}),
  );
}
