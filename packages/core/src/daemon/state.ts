/** @fileoverview The state of a daemon at its start. */

import {createExecution} from '../execution/state.js';
import {createOwnership} from '../ownership/state.js';
import type {OwnershipSettings} from '../ownership/state.js';
import {createRouting} from '../routing/state.js';
import type {Daemon} from './types.js';

/**
 * Makes the state of a daemon that has not joined yet.
 *
 * @param settings - Who the daemon is, and its tuning.
 * @returns The state; the reducer updates it in place.
 */
export function createDaemon(settings: OwnershipSettings): Daemon {
  return {
    ownership: createOwnership(settings),
    execution: createExecution(settings.tuning),
    routing: createRouting(settings.tuning),
  };
}
