/** @fileoverview The state of a daemon at its start. */

import {createExecutionState, workViewOf} from '../execution/state.js';
import {createOwnershipState} from '../ownership/state.js';
import type {OwnershipSettings} from '../ownership/state.js';
import {createOwnershipView} from '../ownership/view.js';
import {createRoutingState} from '../routing/state.js';
import type {Daemon} from './types.js';

/**
 * Makes the state of a daemon that has not joined yet.
 *
 * @param settings - Who the daemon is, and its tuning.
 * @returns The state; the reducer updates it in place.
 */
export function createDaemon(settings: OwnershipSettings): Daemon {
  const ownership = createOwnershipState(settings);
  const execution = createExecutionState(settings.tuning);
  return {
    ownership,
    execution,
    routing: createRoutingState(settings.tuning, settings.zone),
    ownershipView: createOwnershipView(ownership),
    work: workViewOf(execution),
  };
}
