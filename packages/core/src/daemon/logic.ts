/**
 * @fileoverview The reducer of a daemon: every input goes to each subsystem in
 * a fixed order.
 */

import {EXECUTION} from '../execution/definition.js';
import type {Effect, Input} from '../loop/types.js';
import {OWNERSHIP} from '../ownership/definition.js';
import {QUOTAS} from '../quotas/definition.js';
import {ROUTING} from '../routing/definition.js';
import type {Daemon} from './types.js';

/**
 * Handles one input.
 *
 * @param daemon - The daemon's state; updated in place.
 * @param input - Event, time and randomness.
 * @returns Effects for the runtime, in order.
 */
export function reduceDaemon(daemon: Daemon, input: Input): Effect[] {
  const {ownership, execution, routing, ownershipView, work} = daemon;
  const {quotas, quotaMembership, quotaGate} = daemon;
  const effects = OWNERSHIP.reduce(ownership, input, {work});
  effects.push(
    ...EXECUTION.reduce(execution, input, {ownership: ownershipView}),
  );
  const membership = quotaMembership;
  const {tuning} = ownership.settings;
  effects.push(...QUOTAS.reduce(quotas, input, {membership, tuning}));
  effects.push(
    ...ROUTING.reduce(routing, input, {
      ownership: ownershipView,
      quotas: quotaGate,
    }),
  );
  return effects;
}
