/** @fileoverview The grants bench: the model check of slice grants, deeper. */

import {setImmediate} from 'node:timers/promises';

import {printProgress} from '../bench/progress.js';
import type {Bench, Measurements} from '../bench/types.js';
import {CASES} from './cases.js';
import {search} from './search.js';
import {formatFinding} from './view.js';

/** Number of steps beyond the depth of the tests. */
const FURTHER_STEPS = 2;

/** The search of all histories of slice grants up to a depth. */
export const grantsBench: Bench = {
  name: 'grants',
  text: 'histories of slice grants, searched for two holders of a slice',
  run: searchAll,
};

async function searchAll(signal: AbortSignal): Promise<Measurements> {
  const figures: Record<string, Measurements> = {};
  let found = 0;
  for (const {name, bounds} of CASES) {
    printProgress(`  ${name}`);
    await setImmediate();
    const deeper = {...bounds, depth: bounds.depth + FURTHER_STEPS};
    const {finding, depth, tried} = search(deeper, signal);
    figures[name] = {depth, steps: tried};
    if (finding === null) continue;
    found += 1;
    printProgress(formatFinding(finding, deeper));
  }
  if (found > 0) throw new Error(`${found} histories with two holders`);
  return figures;
}
