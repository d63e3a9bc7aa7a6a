/** @fileoverview Interface of the subsystems that make up the reducer. */

import type {Effect, Input} from './types.js';

/**
 * A subsystem of the daemon: its part of the reducer and its view for
 * operators. It owns its state and updates it in place.
 */
export interface Subsystem<State, Dependencies> {
  readonly name: string;
  /**
   * Handles one input.
   *
   * @param state - State of the subsystem.
   * @param input - Event, time and randomness.
   * @param dependencies - Read-only views of other subsystems.
   * @returns Effects for the runtime, in order.
   */
  reduce(state: State, input: Input, dependencies: Dependencies): Effect[];
  /**
   * Renders the state for operators.
   *
   * @param state - State of the subsystem.
   * @returns A plain value that can be printed as JSON.
   */
  render(state: State): unknown;
}
