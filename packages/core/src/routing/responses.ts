/** @fileoverview Relays responses of attempts to callers. */

import {
  recordLatency,
  recordEnded,
  recordReportedLoad,
  recordReportedWork,
} from '../selection/logic.js';
import type {RequestId} from '../ids/types.js';
import type {RequestMessage} from '../messages/types.js';
import {cancelOtherAttempts, dropRequest} from './completion.js';
import {noteServed} from './overload.js';
import {costKeyOf} from './state.js';
import type {RoutingContext} from './state.js';
import type {Attempt} from './types.js';

/**
 * Handles the head of a response. The first one is relayed to the caller, and
 * the other attempts of the request are cancelled.
 *
 * @param context - Context of the current input.
 * @param attempt - The attempt.
 */
export function handleHead(context: RoutingContext, attempt: Attempt): void {
  const {state, effects, now} = context;
  attempt.interrupted = false;
  const pending = state.requests.get(attempt.request);
  if (pending === undefined || pending.relayedAttempt !== null) return;
  const {request, service} = pending.accepted;
  const latencyMs = now - attempt.sentAt;
  const {latencyHalfLifeMs} = state.tuning.routing;
  const {to} = attempt;
  recordLatency(
    state.selection,
    to,
    service,
    latencyMs,
    now,
    latencyHalfLifeMs,
  );
  attempt.progress = 'relaying';
  pending.relayedAttempt = attempt.id;
  effects.push({kind: 'relayResponse', request, attempt: attempt.id});
  cancelOtherAttempts(context, pending);
}

/**
 * Handles the end of a response: all of its bytes have arrived here, unless
 * its link was lost since its head arrived.
 *
 * @param context - Context of the current input.
 * @param attempt - The attempt.
 * @param end - The last message of the response.
 */
export function handleEnd(
  context: RoutingContext,
  attempt: Attempt,
  end: Extract<RequestMessage, {kind: 'end'}>,
): void {
  const {state, now} = context;
  if (attempt.progress !== 'relaying' || attempt.interrupted) return;
  attempt.progress = 'complete';
  attempt.inquiring = false;
  recordEnded(state.selection, attempt.to, attempt.id);
  recordReportedLoad(state.selection, attempt.to, end.outstanding, now);
  noteServed(context, attempt, end.outstanding);
  const pending = state.requests.get(attempt.request);
  const key = pending === undefined ? null : costKeyOf(context, pending);
  if (key === null) return;
  recordReportedWork(state.selection, attempt.to, key, end, now);
}

/**
 * Ends a request whose caller has received the complete response.
 *
 * @param context - Context of the current input.
 * @param request - The request.
 */
export function handleResponseDelivered(
  context: RoutingContext,
  request: RequestId,
): void {
  const pending = context.state.requests.get(request);
  if (pending === undefined) return;
  const valueMs = context.now - pending.acceptedAt;
  context.effects.push({kind: 'recordDuration', histogram: 'request', valueMs});
  const attempt = pending.relayedAttempt ?? '';
  const fields = {request, attempt, ageMs: Math.round(valueMs)};
  context.effects.push({kind: 'log', event: 'requestAnswered', fields});
  dropRequest(context, pending);
}
