/** @fileoverview Answers on their way to callers. */

import {
  recordLatency,
  recordEnded,
  recordReportedLoad,
} from '../selection/logic.js';
import type {RequestId} from '../ids/types.js';
import type {RequestMessage} from '../messages/types.js';
import {cancelLosers, dropRequest} from './completion.js';
import type {RoutingContext} from './state.js';
import type {Attempt} from './types.js';

/**
 * Takes in the head of an answer; the first one goes to the caller.
 *
 * @param turn - The turn.
 * @param attempt - The attempt.
 */
export function handleHead(turn: RoutingContext, attempt: Attempt): void {
  const {state, effects, now} = turn;
  const pending = state.requests.get(attempt.request);
  if (pending === undefined || pending.relayedAttempt !== null) return;
  const {request, service} = pending.accepted;
  const latencyMs = now - attempt.sentAt;
  const {latencyHalfLifeMs} = state.settings.routing;
  const {to} = attempt;
  recordLatency(
    state.selection,
    to,
    service,
    latencyMs,
    now,
    latencyHalfLifeMs,
  );
  attempt.progress = 'relayed';
  pending.relayedAttempt = attempt.id;
  effects.push({kind: 'relay', request, attempt: attempt.id});
  cancelLosers(turn, pending);
}

/**
 * Takes in that an answer is whole here.
 *
 * @param turn - The turn.
 * @param attempt - The attempt.
 * @param end - The end of the answer.
 */
export function handleEnd(
  turn: RoutingContext,
  attempt: Attempt,
  end: Extract<RequestMessage, {kind: 'end'}>,
): void {
  const {state, now} = turn;
  if (attempt.progress !== 'relayed') return;
  attempt.progress = 'whole';
  attempt.inquiring = false;
  recordEnded(state.selection, attempt.to, attempt.id);
  recordReportedLoad(state.selection, attempt.to, end.outstanding, now);
}

/**
 * Takes in that the caller has its whole answer.
 *
 * @param turn - The turn.
 * @param request - The request.
 */
export function handleAnswered(turn: RoutingContext, request: RequestId): void {
  const pending = turn.state.requests.get(request);
  if (pending === undefined) return;
  const valueMs = turn.now - pending.acceptedAt;
  turn.effects.push({kind: 'measure', histogram: 'request', valueMs});
  const attempt = pending.relayedAttempt ?? '';
  const fields = {request, attempt, ageMs: Math.round(valueMs)};
  turn.effects.push({kind: 'log', event: 'requestAnswered', fields});
  dropRequest(turn, pending);
}
