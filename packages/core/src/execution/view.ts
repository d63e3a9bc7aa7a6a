/** @fileoverview The work in flight as shown to operators. */

import type {Execution} from './types.js';

/**
 * Renders the state.
 *
 * @param execution - The state.
 * @returns A plain value.
 */
export function renderExecution(execution: Execution): unknown {
  const {gate, server, memory} = execution;
  return {
    server: server === null ? null : server.address,
    instance: gate.instance,
    leaving: execution.leavingSince !== null,
    limit: gate.limit,
    ceiling: gate.ceiling,
    running: gate.running,
    waiting: {
      interactive: gate.queues.interactive.length,
      deferrable: gate.queues.deferrable.length,
    },
    remembered: memory.plain.size + memory.keyed.size,
    origins: memory.floors.size,
  };
}
