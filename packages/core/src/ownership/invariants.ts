/** @fileoverview Invariants that a daemon checks on itself. */

import type {ClusterMap} from '../map/types.js';
import {violate} from './effects.js';
import type {Context} from './state.js';

/**
 * Checks what must hold at every tick.
 *
 * @param context - The step.
 */
export function checkInvariants(context: Context): void {
  const {state, at} = context;
  const {map} = state;
  const configuration = map.configuration?.number ?? 0;
  if (map.version < state.checked.version) {
    violate(context, 'version-never-falls', String(map.version));
  }
  if (configuration < state.checked.configuration) {
    violate(context, 'configuration-never-reverts', String(configuration));
  }
  state.checked = {version: map.version, configuration};
  for (const member of state.closed) {
    const ward = state.wards.get(member);
    if (ward === undefined || ward.promisedUntil <= at.monotonic) continue;
    violate(context, 'closed-member-has-no-promise', member);
  }
  const takesPart = state.phase !== 'joining' && state.phase !== 'left';
  if (takesPart && !map.members.has(state.self)) {
    violate(context, 'joined-member-is-listed', state.self);
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
  context: Context,
  before: ClusterMap,
  after: ClusterMap,
): void {
  for (const [name, old] of before.services) {
    const service = after.services.get(name);
    const falls = old.generation.some(
      (generation, slice) => (service?.generation[slice] ?? 0) < generation,
    );
    if (falls) violate(context, 'generation-never-falls', name);
  }
}
