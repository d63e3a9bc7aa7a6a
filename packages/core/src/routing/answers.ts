/** @fileoverview Answers on their way to callers. */

import {noteLatency, noteOver, noteReport} from '../choice/logic.js';
import type {RequestId} from '../ids/types.js';
import type {RequestMessage} from '../messages/types.js';
import {dropLosers, dropRequest} from './endings.js';
import type {Turn} from './state.js';
import type {Attempt} from './types.js';

/**
 * Takes in the head of an answer; the first one goes to the caller.
 *
 * @param turn - The turn.
 * @param attempt - The attempt.
 */
export function takeHead(turn: Turn, attempt: Attempt): void {
  const {state, effects, now} = turn;
  const pending = state.requests.get(attempt.request);
  if (pending === undefined || pending.relayed !== null) return;
  const {request, service} = pending.taken;
  const latencyMs = now - attempt.sentAt;
  const {latencyHalfLifeMs} = state.settings.routing;
  const {to} = attempt;
  noteLatency(state.choice, to, service, latencyMs, now, latencyHalfLifeMs);
  attempt.progress = 'relayed';
  pending.relayed = attempt.id;
  effects.push({kind: 'relay', request, attempt: attempt.id});
  dropLosers(turn, pending);
}

/**
 * Takes in that an answer is whole here.
 *
 * @param turn - The turn.
 * @param attempt - The attempt.
 * @param end - The end of the answer.
 */
export function takeEnd(
  turn: Turn,
  attempt: Attempt,
  end: Extract<RequestMessage, {kind: 'end'}>,
): void {
  const {state, now} = turn;
  if (attempt.progress !== 'relayed') return;
  attempt.progress = 'whole';
  attempt.resolving = false;
  noteOver(state.choice, attempt.to, attempt.id);
  noteReport(state.choice, attempt.to, end.outstanding, now);
}

/**
 * Takes in that the caller has its whole answer.
 *
 * @param turn - The turn.
 * @param request - The request.
 */
export function takeAnswered(turn: Turn, request: RequestId): void {
  const pending = turn.state.requests.get(request);
  if (pending === undefined) return;
  const valueMs = turn.now - pending.takenAt;
  turn.effects.push({kind: 'measure', histogram: 'request', valueMs});
  const attempt = pending.relayed ?? '';
  const fields = {request, attempt, ageMs: Math.round(valueMs)};
  turn.effects.push({kind: 'log', event: 'requestAnswered', fields});
  dropRequest(turn, pending);
}
