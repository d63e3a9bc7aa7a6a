/**
 * @fileoverview Exhaustive search over short histories, by depth-first searches
 * of growing depth, so that the first violation found has the fewest steps.
 */

import {keyOf} from './copies.js';
import {createWorld, next, possibleSteps} from './logic.js';
import type {Bounds, Finding, SearchResult, Step, World} from './types.js';

/**
 * Searches all histories within bounds.
 *
 * @param bounds - The bounds.
 * @param signal - Aborts the search with an error.
 * @returns The shortest history with two holders, if there is one.
 */
export function search(bounds: Bounds, signal?: AbortSignal): SearchResult {
  const {prefix = []} = bounds;
  const start = prefix.reduce(next, createWorld(bounds));
  let tried = 0;
  /** Steps that were left when a state was searched, by its key. */
  const searched = new Map<string, number>();
  const visit = (world: World, steps: Step[], left: number): Finding | null => {
    const key = keyOf(world);
    if ((searched.get(key) ?? 0) >= left) return null;
    searched.set(key, left);
    signal?.throwIfAborted();
    for (const step of possibleSteps(world)) {
      tried += 1;
      const after = next(world, step);
      const {violation} = after;
      const history = [...steps, step];
      if (violation !== null) return {steps: history, violation};
      if (left === 1) continue;
      const finding = visit(after, history, left - 1);
      if (finding !== null) return finding;
    }
    return null;
  };
  for (let depth = 1; depth <= bounds.depth; depth++) {
    const finding = visit(start, [...prefix], depth);
    if (finding !== null) return {finding, depth, tried};
  }
  return {finding: null, depth: bounds.depth, tried};
}
