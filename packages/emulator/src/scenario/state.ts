/** @fileoverview State of a running scenario. */

import type {Scenario} from './types.js';
import type {Cluster} from '../deployment/types.js';
import type {Load} from '../load/definition.js';
import type {Workspace} from '@jackdawfall/core';

/** An expectation that is checked after the load has ended. */
export interface DeferredExpectation {
  /** Index of the step. */
  readonly step: number;
  /** Returns what is wrong, or null. */
  readonly check: () => string | null;
}

/** State of one run of a scenario. */
export interface ScenarioRun {
  readonly scenario: Scenario;
  readonly signal: AbortSignal;
  /** Folder for the logs of the daemons, if they are kept. */
  readonly logFolder?: string;
  readonly loads: Load[];
  /** Sequences that run beside the steps. */
  readonly beside: Array<Promise<void>>;
  readonly deferred: DeferredExpectation[];
  /** What has failed so far. */
  readonly faults: string[];
  /**
   * Ends of the periods in which hosts must begin no work, by the wall clock;
   * infinite until the hosts are brought back.
   */
  readonly noWorkPeriodEnds: Array<{value: number}>;
  cluster: Cluster | null;
  /** Configuration document that was accepted last, or null. */
  document: Workspace | null;
  /** Number of the configuration that was accepted last. */
  configuration: number;
  /** Number of keys that the load uses. */
  keys: number;
  /**
   * Monotonic and wall time of the latest step from which times are counted.
   */
  timedSinceMs: number;
  timedSinceWallMs: number;
}

/**
 * Creates the state of a run that hasn't begun.
 *
 * @param scenario - The scenario.
 * @param signal - Ends the run.
 * @param logFolder - Existing folder for the logs of the daemons; absent to
 *     keep none.
 * @returns The state.
 */
export function createScenarioRun(
  scenario: Scenario,
  signal: AbortSignal,
  logFolder?: string,
): ScenarioRun {
  return {
    scenario,
    signal,
    logFolder,
    loads: [],
    beside: [],
    deferred: [],
    faults: [],
    noWorkPeriodEnds: [],
    cluster: null,
    document: null,
    configuration: 0,
    keys: 1,
    timedSinceMs: performance.now(),
    timedSinceWallMs: Date.now(),
  };
}
