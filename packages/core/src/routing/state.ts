/** @fileoverview Creation of the state, and one input on its way. */

import {createSelectionState, recordPenalty} from '../selection/logic.js';
import {NO_VERSION} from '../ids/logic.js';
import type {MemberId, ZoneName} from '../ids/types.js';
import type {Effect, Input} from '../loop/types.js';
import type {OwnershipView} from '../ownership/types.js';
import {RetryBudget, deriveRandom} from '../retry/logic.js';
import type {Tuning} from '../settings/defaults.js';
import {TimerQueue} from '../timers/logic.js';
import type {RequestTimer, PendingRequest, RoutingState} from './types.js';

/** Shortest time between two `wake` effects, in milliseconds. */
const LEAST_WAKE_MS = 1;
/** Time a server is passed over, before jitter. */
const PASS_OVER_MS = 200;

/** One input on its way through the subject. */
export interface RoutingContext {
  readonly state: RoutingState;
  readonly input: Input;
  /** Monotonic time, in milliseconds. */
  readonly now: number;
  readonly ownership: OwnershipView;
  readonly effects: Effect[];
  /** Random values taken so far. */
  draws: number;
}

/**
 * Creates the state.
 *
 * @param settings - Settings of the daemon.
 * @param zone - Availability zone of the daemon, or null if unknown.
 * @returns The state, without requests.
 */
export function createRoutingState(
  settings: Tuning,
  zone: ZoneName | null = null,
): RoutingState {
  return {
    settings,
    zone,
    requests: new Map(),
    attempts: new Map(),
    waiting: new Set(),
    timers: new TimerQueue<RequestTimer>(),
    budget: new RetryBudget(settings.routing.retryBurst),
    selection: createSelectionState(),
    sequence: 0,
    version: NO_VERSION,
    wakeAt: Infinity,
    retries: 0,
    hedges: 0,
  };
}

/**
 * Draws a random value; each in one turn differs.
 *
 * @param turn - The turn.
 * @returns Uniform in [0, 1).
 */
export function drawRandom(turn: RoutingContext): number {
  turn.draws += 1;
  return deriveRandom(turn.input.random, turn.draws);
}

/**
 * Has something done for a request later.
 *
 * @param turn - The turn.
 * @param pending - The request.
 * @param kind - What is to be done.
 * @param delayMs - When.
 */
export function scheduleTimer(
  turn: RoutingContext,
  pending: PendingRequest,
  kind: RequestTimer['kind'],
  delayMs: number,
): void {
  const {state, now} = turn;
  state.timers.add(now + delayMs, {kind, request: pending.accepted.request});
}

/**
 * Prefers other servers to one that refused or can't be reached.
 *
 * @param turn - The turn.
 * @param member - The server's member.
 */
export function penalizeServer(turn: RoutingContext, member: MemberId): void {
  const until = turn.now + PASS_OVER_MS * (0.5 + drawRandom(turn));
  recordPenalty(turn.state.selection, member, until);
}

/**
 * Asks to be woken for the next timer.
 *
 * @param turn - The turn.
 */
export function scheduleWake(turn: RoutingContext): void {
  const {state, now, effects} = turn;
  const at = Math.max(state.timers.nextDueAt, now + LEAST_WAKE_MS);
  if (at >= state.wakeAt) return;
  state.wakeAt = at;
  effects.push({kind: 'wake', afterMs: state.wakeAt - now});
}
