/** @fileoverview State of a daemon as shown to operators. */

import {EXECUTION} from '../execution/definition.js';
import {OWNERSHIP} from '../ownership/definition.js';
import {QUOTAS} from '../quotas/definition.js';
import {ROUTING} from '../routing/definition.js';
import type {Daemon} from './types.js';

/**
 * Renders every subsystem.
 *
 * @param daemon - The daemon's state.
 * @returns A plain value that can be printed as JSON.
 */
export function renderDaemon(daemon: Daemon): unknown {
  return {
    ownership: OWNERSHIP.render(daemon.ownership),
    execution: EXECUTION.render(daemon.execution),
    quotas: QUOTAS.render(daemon.quotas),
    routing: ROUTING.render(daemon.routing),
  };
}
