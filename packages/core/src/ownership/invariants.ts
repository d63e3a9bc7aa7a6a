/** @fileoverview Invariants of ownership that a daemon checks while it runs. */

import type {ClusterMap} from '../map/types.js';
import {reportViolation} from './effects.js';
import type {OwnershipContext} from './state.js';

/**
 * Checks the invariants that hold whenever due tasks have run.
 *
 * @param context - Context of the current input.
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
  for (const member of state.revokedMembers) {
    const watched = state.watchedMembers.get(member);
    if (watched === undefined || watched.leaseExpiresAt <= at.monotonic) {
      continue;
    }
    // The promise is a lease granted here that hasn't expired.
    reportViolation(context, 'closed-member-has-no-promise', member);
  }
  const isMember = state.phase !== 'joining' && state.phase !== 'left';
  if (isMember && !map.members.has(state.self)) {
    reportViolation(context, 'joined-member-is-listed', state.self);
  }
}

/**
 * Checks that no slice has a lower generation in a newer map.
 *
 * @param context - Context of the current input.
 * @param before - The map that it replaces.
 * @param after - The newer map.
 */
export function checkGenerations(
  context: OwnershipContext,
  before: ClusterMap,
  after: ClusterMap,
): void {
  for (const [name, old] of before.services) {
    const service = after.services.get(name);
    const isLower = old.generation.some(
      (generation, slice) => (service?.generation[slice] ?? 0) < generation,
    );
    if (isLower) reportViolation(context, 'generation-never-falls', name);
  }
}
