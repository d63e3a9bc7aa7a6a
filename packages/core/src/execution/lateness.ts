/** @fileoverview Whether the process itself is late, by its ticks. */

import type {Turn} from './state.js';

/** Delay of a tick from which on it counts as late. */
const LATENESS_MS = 20;
/** Time after a late tick in which latencies are not learnt from. */
const LATE_MS = 500;

/**
 * Notes whether a tick came late: the process has more to do than fits.
 *
 * @param turn - The turn.
 */
export function noteTick(turn: Turn): void {
  const {state, now} = turn;
  if (isTickOverdue(turn)) state.lateTickAt = now;
  state.tickAt = now;
}

/**
 * Whether the process is late or was so a short time ago.
 *
 * @param turn - The turn.
 * @returns True when latencies seen now say nothing of the backend server.
 */
export function isLate(turn: Turn): boolean {
  return turn.now - turn.state.lateTickAt < LATE_MS || isTickOverdue(turn);
}

function isTickOverdue({state, now}: Turn): boolean {
  return now - state.tickAt > state.settings.loop.tickMs + LATENESS_MS;
}
