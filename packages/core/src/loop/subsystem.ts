/** @fileoverview How a subject registers with the reducer. */

import type {Effect, Input} from './types.js';

/**
 * One concern of the daemon: its state, its share of the reducer and its view
 * for operators. State is owned by the subject and updated in place.
 */
export interface Subsystem<State, Dependencies> {
  readonly name: string;
  /**
   * Handles one input.
   *
   * @param state - The subject's own state.
   * @param input - Event, moment and randomness.
   * @param dependencies - Read-only questions to other subjects.
   * @returns Effects for the runner, in order.
   */
  reduce(state: State, input: Input, dependencies: Dependencies): Effect[];
  /**
   * Renders the state for operators.
   *
   * @param state - The subject's own state.
   * @returns A plain value that can be printed as JSON.
   */
  render(state: State): unknown;
}
