/**
 * @fileoverview Polls of the external source by this daemon and proofs of other
 * members that their configuration is the newest one.
 */

import type {Instant} from '../clock/types.js';
import type {MemberId} from '../ids/types.js';
import type {Event} from '../loop/types.js';
import type {ControlMessage} from '../messages/types.js';
import {log, send} from '../ownership/effects.js';
import {currentRanks} from '../ownership/state.js';
import type {OwnershipContext, OwnershipState} from '../ownership/state.js';
import {sourceTimesOf} from '../settings/source_times.js';
import {
  freshnessAgeMs,
  recordAnswer,
  recordPeerConfirmation,
} from './freshness.js';
import {recordProof, watchDelayMs} from './watchers.js';

type ConfirmationMessage = Extract<
  ControlMessage,
  {kind: 'configurationConfirmed'}
>;

/**
 * Returns when this daemon is to watch the source; see `watchDelayMs`.
 *
 * @param state - State of ownership.
 * @param at - The current instant.
 * @returns Milliseconds from now; 0 if it is to watch already.
 */
export function sourceWatchDelayMs(state: OwnershipState, at: Instant): number {
  const {self, map, sourceWatch, joinedAt, settings} = state;
  const membership = {
    self,
    ranks: currentRanks(state),
    joinedAt: map.members.has(self) ? joinedAt : null,
  };
  const times = sourceTimesOf(settings.tuning.source);
  return watchDelayMs(sourceWatch, membership, times, at.monotonic);
}

/**
 * Records the end of a poll of the source by this daemon. A watcher tells all
 * members what it proves.
 *
 * @param context - Context of the current input.
 * @param poll - What the poll has shown.
 */
export function recordPoll(
  context: OwnershipContext,
  poll: Extract<Event, {kind: 'sourcePolled'}>,
): void {
  const {state, at} = context;
  const {answerAgeMs, provesNewest, fault} = poll;
  state.sourceWatch.hasSource = true;
  if (answerAgeMs === Infinity) return;
  if (provesNewest) recordAnswer(state.freshness, at, answerAgeMs);
  state.sourceWatch.fault = fault;
  if (!state.map.members.has(state.self)) return;
  if (sourceWatchDelayMs(state, at) > 0) return;
  const message: ControlMessage = {
    kind: 'configurationConfirmed',
    number: state.externalConfiguration?.number ?? 0,
    ageMs: Math.max(0, freshnessAgeMs(state.freshness, at)),
    answerAgeMs,
    fault: fault ?? '',
  };
  for (const id of state.map.members.keys()) {
    if (id !== state.self) send(context, id, message);
  }
}

/**
 * Logs when this daemon starts or stops watching the source.
 *
 * @param context - Context of the current input.
 */
export function trackSourceRole(context: OwnershipContext): void {
  const {state, at} = context;
  const {sourceWatch} = state;
  sourceWatch.startedAt ??= at.monotonic;
  if (!sourceWatch.hasSource || !state.map.members.has(state.self)) return;
  const watching = sourceWatchDelayMs(state, at) === 0;
  if (watching === sourceWatch.watching) return;
  sourceWatch.watching = watching;
  log(context, 'sourceRoleChanged', {watching});
}

/**
 * Records the proof of a watcher.
 *
 * @param context - Context of the current input.
 * @param from - The watcher.
 * @param message - Its confirmation.
 */
export function recordConfirmation(
  context: OwnershipContext,
  from: MemberId,
  message: ConfirmationMessage,
): void {
  const {number, ageMs, answerAgeMs, fault} = message;
  const {state, at} = context;
  const {sourceWatch, map} = state;
  recordProof(sourceWatch, from, at.monotonic - answerAgeMs, map.members);
  const {silenceMs, heartbeatMs} = state.settings.tuning.links;
  if (number <= (state.externalConfiguration?.number ?? 0)) {
    const transitMs = silenceMs + heartbeatMs;
    recordPeerConfirmation(state.freshness, at, ageMs, transitMs);
  }
  recordFault(context, from, fault === '' ? null : fault);
}

/** Logs a fault of the source's document that a watcher has found. */
function recordFault(
  context: OwnershipContext,
  from: MemberId,
  fault: string | null,
): void {
  const {sourceWatch} = context.state;
  if (sourceWatch.fault === fault) return;
  sourceWatch.fault = fault;
  if (fault === null) return;
  log(context, 'configurationRefused', {from, detail: fault});
}
