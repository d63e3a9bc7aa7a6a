/** @fileoverview What operators see of slice grants. */

import type {OwnershipState} from '../ownership/state.js';
import {groupIntoGrants, ownedSlices} from './logic.js';

/** Figures about the slices of a daemon and their grants. */
export interface GrantFigures {
  /** Ranges of adjacent slices, each of which needs a grant of its own. */
  readonly ranges: number;
  /** Grants that the backend server hasn't confirmed and that may take effect. */
  readonly unconfirmed: number;
}

/**
 * Counts the ranges of slices that a daemon owns and its unconfirmed grants.
 *
 * @param state - State of ownership.
 * @returns The figures.
 */
export function grantFiguresOf(state: OwnershipState): GrantFigures {
  const {map, grants} = state;
  const index = map.members.get(state.self)?.index;
  let ranges = 0;
  for (const service of map.services.values()) {
    if (index === undefined) break;
    ranges += groupIntoGrants(service, ownedSlices(service, index)).length;
  }
  return {ranges, unconfirmed: grants.unconfirmed.size};
}
