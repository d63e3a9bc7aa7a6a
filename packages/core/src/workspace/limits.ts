/** @fileoverview Limits in force, also while no configuration is known. */

import type {Workspace} from './types.js';

/** Maximum time of a drain while no configuration is known, in milliseconds. */
export const DEFAULT_DRAIN_MS = 2000;

/**
 * Returns the time for which runs on a moving slice may continue.
 *
 * @param workspace - The workspace in force, or null if none is known.
 * @returns The time in milliseconds.
 */
export function drainMsOf(workspace: Workspace | null): number {
  return workspace?.limits.drainMs ?? DEFAULT_DRAIN_MS;
}
