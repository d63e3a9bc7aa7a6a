/** @fileoverview State and context of routing, with its timers. */

import {createSelectionState, recordPenalty} from '../selection/logic.js';
import type {CostKey} from '../costs/types.js';
import {NO_VERSION} from '../ids/logic.js';
import type {MemberId, ZoneName} from '../ids/types.js';
import type {Effect, Input} from '../loop/types.js';
import {createOverloadState} from '../overload/logic.js';
import type {OwnershipView} from '../ownership/types.js';
import type {QuotaGate} from '../quotas/types.js';
import {RetryBudget, deriveRandom} from '../retry/logic.js';
import type {Tuning} from '../settings/defaults.js';
import {TimerQueue} from '../timers/logic.js';
import type {RequestTimer, RoutedRequest, RoutingState} from './types.js';

/** Minimum time of a `startTimer` effect, in milliseconds. */
const MIN_TIMER_MS = 1;
/** Mean time for which a server without room is penalized, in milliseconds. */
const PENALTY_MS = 200;
/**
 * Mean time for which a server that takes no work is penalized, in milliseconds.
 * Until the map shows it as well, it looks idle and fast.
 */
const GONE_PENALTY_MS = 1000;

/** What the handling of one input reads and writes. */
export interface RoutingContext {
  readonly state: RoutingState;
  readonly input: Input;
  /** Monotonic time, in milliseconds. */
  readonly now: number;
  readonly ownership: OwnershipView;
  /** Admits requests of tenants; null if there are no quotas. */
  readonly quotas: QuotaGate | null;
  readonly effects: Effect[];
  /** Random values drawn so far for this input. */
  draws: number;
}

/**
 * Creates the state of routing.
 *
 * @param tuning - Tuning of the daemon.
 * @param zone - Availability zone of the daemon, or null if unknown.
 * @returns The state, without requests.
 */
export function createRoutingState(
  tuning: Tuning,
  zone: ZoneName | null = null,
): RoutingState {
  return {
    tuning,
    zone,
    requests: new Map(),
    attempts: new Map(),
    waiting: new Set(),
    timers: new TimerQueue<RequestTimer>(),
    budget: new RetryBudget(tuning.routing.retryBurst),
    redirectBudget: new RetryBudget(tuning.routing.redirectBurst),
    selection: createSelectionState(),
    overload: createOverloadState(),
    sequence: 0,
    lastSeenMapVersion: NO_VERSION,
    runtimeTimerAt: Infinity,
    retries: 0,
    hedges: 0,
  };
}

/**
 * Draws a random value; values drawn for the same input differ.
 *
 * @param context - Context of the current input.
 * @returns Uniform in [0, 1).
 */
export function drawRandom(context: RoutingContext): number {
  context.draws += 1;
  return deriveRandom(context.input.random, context.draws);
}

/**
 * Returns the service and the cost class of a request.
 *
 * @param context - Context of the current input.
 * @param pending - The request.
 * @returns The key of its cost, or null unless scheduling goes by cost.
 */
export function costKeyOf(
  context: RoutingContext,
  pending: RoutedRequest,
): CostKey | null {
  const {workspace} = context.ownership;
  return workspace?.scheduling === 'cost' ? pending.accepted : null;
}

/**
 * Schedules an action for a request.
 *
 * @param context - Context of the current input.
 * @param pending - The request.
 * @param kind - The action.
 * @param delayMs - Delay, in milliseconds.
 */
export function scheduleTimer(
  context: RoutingContext,
  pending: RoutedRequest,
  kind: RequestTimer['kind'],
  delayMs: number,
): void {
  const {state, now} = context;
  state.timers.add(now + delayMs, {kind, request: pending.accepted.request});
}

/**
 * Penalizes a server that didn't accept an attempt or can't be reached: other
 * servers are preferred to it for a short time, with jitter. This matters only
 * to requests of shared services: a keyed request goes to its slice's owner.
 *
 * @param context - Context of the current input.
 * @param member - The server's member.
 * @param isGone - Whether it takes no work at all.
 */
export function penalizeServer(
  context: RoutingContext,
  member: MemberId,
  isGone = false,
): void {
  const meanMs = isGone ? GONE_PENALTY_MS : PENALTY_MS;
  const until = context.now + meanMs * (0.5 + drawRandom(context));
  recordPenalty(context.state.selection, member, until);
}

/**
 * Starts the runtime's timer for the next item of the queue, unless one that
 * fires earlier is outstanding.
 *
 * @param context - Context of the current input.
 */
export function startRuntimeTimer(context: RoutingContext): void {
  const {state, now, effects} = context;
  const at = Math.max(state.timers.nextDueAt, now + MIN_TIMER_MS);
  if (at >= state.runtimeTimerAt) return;
  state.runtimeTimerAt = at;
  effects.push({kind: 'startTimer', afterMs: state.runtimeTimerAt - now});
}
