/**
 * @fileoverview The one reducer of a daemon: every input goes to each subject
 * in a fixed order.
 */

import {EXECUTION} from '../execution/definition.js';
import {workOf} from '../execution/state.js';
import type {Effect, Input} from '../loop/types.js';
import {OWNERSHIP} from '../ownership/definition.js';
import {viewOf} from '../ownership/view.js';
import type {OwnershipView} from '../ownership/types.js';
import {ROUTING} from '../routing/definition.js';
import type {Daemon} from './types.js';

/**
 * Handles one input.
 *
 * @param daemon - The daemon's state; updated in place.
 * @param input - Event, moment and randomness.
 * @returns Effects for the runner, in order.
 */
export function reduceDaemon(daemon: Daemon, input: Input): Effect[] {
  const {ownership, execution, routing} = daemon;
  const work = workOf(execution);
  const effects = OWNERSHIP.reduce(ownership, input, {work});
  const peers = {ownership: viewOf(ownership)};
  effects.push(...EXECUTION.reduce(execution, input, peers));
  effects.push(...ROUTING.reduce(routing, input, peers));
  return effects;
}

/**
 * Gives the questions that may be asked of ownership.
 *
 * @param daemon - The daemon's state.
 * @returns A view that follows the state.
 */
export function viewOfDaemon(daemon: Daemon): OwnershipView {
  return viewOf(daemon.ownership);
}
