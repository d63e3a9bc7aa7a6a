/** @fileoverview What a running scenario keeps. */

import type {Scenario} from './types.js';
import type {Cluster} from '../deployment/types.js';
import type {Load} from '../load/definition.js';
import type {Workspace} from '@jackdawfall/core';

/** An expectation that is judged after the load has ended. */
export interface Later {
  readonly step: number;
  /** Returns what is wrong, or null. */
  readonly judge: () => string | null;
}

/** A scenario under way. */
export interface Stage {
  readonly scenario: Scenario;
  readonly signal: AbortSignal;
  readonly loads: Load[];
  readonly later: Later[];
  readonly faults: string[];
  /** Ends of the times in which hosts begin no work; open until they return. */
  readonly idle: Array<{value: number}>;
  cluster: Cluster | null;
  document: Workspace | null;
  /** Number of the configuration accepted last. */
  configuration: number;
  keys: number;
  /** Monotonic and wall time of the latest fault or order. */
  markMs: number;
  markWallMs: number;
}

/**
 * Makes the stage of a scenario that has not begun.
 *
 * @param scenario - The scenario.
 * @param signal - Ends it.
 * @returns The stage.
 */
export function emptyStage(scenario: Scenario, signal: AbortSignal): Stage {
  return {
    scenario,
    signal,
    loads: [],
    later: [],
    faults: [],
    idle: [],
    cluster: null,
    document: null,
    configuration: 0,
    keys: 1,
    markMs: performance.now(),
    markWallMs: Date.now(),
  };
}
