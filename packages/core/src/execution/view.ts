/** @fileoverview The work in flight as shown to operators. */

import type {ExecutionState} from './types.js';

/**
 * Renders the state.
 *
 * @param execution - The state.
 * @returns A plain value.
 */
export function renderExecution(execution: ExecutionState): unknown {
  const {admission: gate, server, history: memory} = execution;
  return {
    server: server === null ? null : server.address,
    instance: gate.instance,
    leaving: execution.leavingSince !== null,
    limit: gate.limit,
    ceiling: gate.maxLimit,
    running: gate.running,
    waiting: {
      interactive: gate.queues.interactive.length,
      deferrable: gate.queues.deferrable.length,
    },
    remembered: memory.unkeyed.size + memory.keyed.size,
    origins: memory.watermarks.size,
  };
}
