/** @fileoverview Summary of the requests in flight, for operators. */

import type {RoutingState} from './types.js';

/**
 * Renders the state of routing.
 *
 * @param routing - The state.
 * @returns A plain value.
 */
export function renderRouting(routing: RoutingState): unknown {
  return {
    requests: routing.requests.size,
    waiting: routing.waiting.size,
    attempts: routing.attempts.size,
    attemptsMade: routing.sequence,
    retries: routing.retries,
    hedges: routing.hedges,
    retryBudget: routing.budget.available,
    // Members with statistics for the selection of servers.
    peers: routing.selection.servers.size,
  };
}
