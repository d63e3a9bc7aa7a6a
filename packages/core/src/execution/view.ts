/** @fileoverview Execution state as shown to operators. */

import type {ExecutionState} from './types.js';

/**
 * Renders the state.
 *
 * @param execution - The state.
 * @returns A plain value that can be printed as JSON.
 */
export function renderExecution(execution: ExecutionState): unknown {
  const {admission, server, history} = execution;
  return {
    server: server === null ? null : server.address,
    instance: admission.instance,
    leaving: execution.leavingSince !== null,
    limit: admission.limit,
    ceiling: admission.maxLimit,
    running: admission.running,
    waiting: {
      interactive: admission.queues.interactive.length,
      deferrable: admission.queues.deferrable.length,
    },
    // What scheduling by cost goes by; zeros while it is off.
    slowness: execution.costs.slowness,
    estimateError: execution.costs.errorShare,
    classes: execution.costs.table.classes.size,
    // Outcomes in the history.
    remembered: history.unkeyed.size + history.keyed.size,
    // Origins with a low watermark.
    origins: history.watermarks.size,
  };
}
