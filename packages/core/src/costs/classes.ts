/** @fileoverview Assigns requests to cost classes. */

import type {CostClass} from '../ids/types.js';
import {hashKey} from '../keys/logic.js';
import type {Route} from '../workspace/types.js';

/**
 * Upper bounds of the size classes of bodies, in bytes; larger bodies share the
 * last class. The sizes differ by a factor of four, so that the run time within
 * a class differs by little more if it is proportional to the size.
 */
const SIZE_BOUNDS_BYTES: readonly number[] = [8 * 1024, 32 * 1024, 128 * 1024];
/** Low bits of a class that hold the size class. */
const SIZE_MASK = 3;
/** Stands for a request without a class. */
export const NO_COST_CLASS = 0 as CostClass;
/** Used where the hash of a route would give `NO_COST_CLASS`. */
const REPLACEMENT_CLASS = 4 as CostClass;

/**
 * Returns the cost class of a request. It depends on the pattern of the route
 * and not on its position, so that daemons with different versions of the
 * configuration agree on it.
 *
 * @param route - The route that the request matched.
 * @param bodyBytes - Size of the request's body, in bytes.
 * @returns A signed 32-bit integer, never `NO_COST_CLASS`.
 */
export function costClassOf(
  route: Pick<Route, 'host' | 'method' | 'path'>,
  bodyBytes: number,
): CostClass {
  const {host, method, path} = route;
  const hash = hashKey(`${host ?? ''} ${method} ${path}`);
  const size = SIZE_BOUNDS_BYTES.filter(bound => bodyBytes > bound).length;
  const costClass = (hash & ~SIZE_MASK) | size;
  return costClass === NO_COST_CLASS
    ? REPLACEMENT_CLASS
    : (costClass as CostClass);
}
