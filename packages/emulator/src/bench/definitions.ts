/** @fileoverview Every bench, in the order in which they run. */

import {linksBench} from './links/definition.js';
import type {Bench} from './types.js';

/** All benches. */
export const BENCHES: readonly Bench[] = [linksBench];
