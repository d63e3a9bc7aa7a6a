/** @fileoverview All benches, in the order in which they run. */

import {disseminationBench} from '../dissemination/definition.js';
import {grantsBench} from '../grants_model/definition.js';
import {balanceBench} from '../soak/benches/balance.js';
import {churnBench} from '../soak/benches/churn.js';
import {controlBench} from '../soak/benches/control.js';
import {failoverBench} from '../soak/benches/failover.js';
import {idleBench} from './idle/definition.js';
import {linksBench} from './links/definition.js';
import {mapBench} from './map/definition.js';
import {pathBench} from './path/definition.js';
import {overloadBench, tailBench} from './requests/definition.js';
import {tailProcessesBench} from './requests/processes.js';
import type {Bench} from './types.js';

/** All benches. */
export const BENCHES: readonly Bench[] = [
  linksBench,
  mapBench,
  idleBench,
  pathBench,
  disseminationBench,
  failoverBench,
  churnBench,
  balanceBench,
  controlBench,
  grantsBench,
  tailBench,
  tailProcessesBench,
  overloadBench,
];
