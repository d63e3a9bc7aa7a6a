/** @fileoverview Invariants that a daemon checks on itself. */

import type {ClusterMap} from '../map/types.js';
import {reportViolation} from './effects.js';
import type {OwnershipContext} from './state.js';

/**
 * Checks what must hold at every tick.
 *
 * @param context - The step.
 */
export function checkInvariants(context: OwnershipContext): void {
  const {state, at} = context;
  const {map} = state;
  const configuration = map.configuration?.number ?? 0;
  if (map.version < state.lastChecked.version) {
    reportViolation(context, 'version-never-falls', String(map.version));
  }
  if (configuration < state.lastChecked.configuration) {
    reportViolation(
      context,
      'configuration-never-reverts',
      String(configuration),
    );
  }
  state.lastChecked = {version: map.version, configuration};
  for (const member of state.closed) {
    const ward = state.watchedMembers.get(member);
    if (ward === undefined || ward.leaseExpiresAt <= at.monotonic) continue;
    reportViolation(context, 'closed-member-has-no-promise', member);
  }
  const takesPart = state.phase !== 'joining' && state.phase !== 'left';
  if (takesPart && !map.members.has(state.self)) {
    reportViolation(context, 'joined-member-is-listed', state.self);
  }
}

/**
 * Checks that a newer map lowers no generation.
 *
 * @param context - The step.
 * @param before - The map that is replaced.
 * @param after - The newer map.
 */
export function checkGenerations(
  context: OwnershipContext,
  before: ClusterMap,
  after: ClusterMap,
): void {
  for (const [name, old] of before.services) {
    const service = after.services.get(name);
    const falls = old.generation.some(
      (generation, slice) => (service?.generation[slice] ?? 0) < generation,
    );
    if (falls) reportViolation(context, 'generation-never-falls', name);
  }
}
