/** @fileoverview Every bench, in the order in which they run. */

import {disseminationBench} from '../dissemination/definition.js';
import {linksBench} from './links/definition.js';
import {pathBench} from './path/definition.js';
import {overloadBench, tailBench} from './requests/definition.js';
import type {Bench} from './types.js';

/** All benches. */
export const BENCHES: readonly Bench[] = [
  linksBench,
  pathBench,
  disseminationBench,
  tailBench,
  overloadBench,
];
