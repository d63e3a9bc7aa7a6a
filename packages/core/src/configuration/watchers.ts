/**
 * @fileoverview Which members watch the external source of the configuration. A
 * few do, and confirm to all others that their configuration is the newest; who
 * hears enough of them does not call the source.
 */

import type {MemberId} from '../ids/types.js';
import type {Event} from '../loop/types.js';
import type {ControlMessage} from '../messages/types.js';
import {log, send} from '../ownership/effects.js';
import type {OwnershipContext, OwnershipState} from '../ownership/state.js';
import {currentRanks} from '../ownership/state.js';
import {
  freshnessAgeMs,
  recordAnswer,
  recordPeerConfirmation,
} from './freshness.js';

type ConfirmationMessage = Extract<
  ControlMessage,
  {kind: 'configurationConfirmed'}
>;

/** Number of members that watch the source. */
const MAX_WATCHERS = 2;
/** Time between two confirmations of a watcher, in milliseconds. */
const CONFIRM_INTERVAL_MS = 500;
/** Silence after which a watcher is replaced, in milliseconds. */
const WATCHER_TIMEOUT_MS = 1200;
/** Time from its start after which a daemon that hasn't joined watches. */
const JOIN_TIMEOUT_MS = 2000;
/**
 * Additional time for each member that ranks before this one, and its maximum,
 * so that a few take over rather than all at once.
 */
const STAGGER_MS = 10;
const MAX_STAGGER_MS = 1000;

/** What a daemon knows of its source and of those that watch it. */
export interface SourceWatch {
  /**
   * Monotonic time until which the own source's last answer counts; 0 before the
   * first poll, and if there is no source.
   */
  confirmedUntil: number;
  /** Monotonic time of the first tick, or null before it. */
  startedAt: number | null;
  /** Whether this daemon was to watch at its last tick; null before the first. */
  watching: boolean | null;
  /** Monotonic time of the next confirmation to the other members. */
  confirmAt: number;
  /** Monotonic time of the last confirmation of each watcher. */
  readonly heardAt: Map<MemberId, number>;
  /**
   * Why the newest document of the source is invalid, so that an older one stays
   * in force or none is; null if it is valid.
   */
  fault: string | null;
}

/**
 * Creates the state of a daemon that knows no watcher.
 *
 * @returns The state.
 */
export function createSourceWatch(): SourceWatch {
  return {
    confirmedUntil: 0,
    startedAt: null,
    watching: null,
    confirmAt: 0,
    heardAt: new Map(),
    fault: null,
  };
}

/**
 * Records the end of a poll of the source by this daemon.
 *
 * @param context - Context of the current input.
 * @param poll - What the poll has shown.
 */
export function recordPoll(
  context: OwnershipContext,
  poll: Extract<Event, {kind: 'sourcePolled'}>,
): void {
  const {state, at} = context;
  state.sourceWatch.confirmedUntil = at.monotonic + poll.confirmedForMs;
  if (poll.confirmedForMs === 0) return;
  recordAnswer(state.freshness, at, poll.ageMs);
  state.sourceWatch.fault = poll.fault;
}

/**
 * Returns whether this daemon is to watch the source: unless enough members that
 * rank before it have confirmed the configuration lately, or may still do so
 * since this one has just joined.
 *
 * @param state - State of ownership.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether it watches; true for a daemon that doesn't join in time.
 */
export function isWatcher(state: OwnershipState, now: number): boolean {
  const {heardAt, startedAt} = state.sourceWatch;
  if (!state.map.members.has(state.self)) {
    return now - (startedAt ?? now) > JOIN_TIMEOUT_MS;
  }
  const ranks = currentRanks(state);
  const staggerMs = Math.min(
    MAX_STAGGER_MS,
    Math.max(0, ranks.indexOf(state.self)) * STAGGER_MS,
  );
  let confirming = 0;
  for (const id of ranks) {
    if (id === state.self) return true;
    const at = heardAt.get(id) ?? state.joinedAt;
    if (now - at > WATCHER_TIMEOUT_MS + staggerMs) continue;
    confirming += 1;
    if (confirming >= MAX_WATCHERS) return false;
  }
  return true;
}

/**
 * Confirms the configuration to all members, if this daemon watches the source
 * and the source has answered lately.
 *
 * @param context - Context of the current input.
 */
export function confirmConfiguration(context: OwnershipContext): void {
  const {state, at} = context;
  const {sourceWatch, map} = state;
  const now = at.monotonic;
  sourceWatch.startedAt ??= now;
  const hasSource = sourceWatch.confirmedUntil > 0;
  if (!hasSource || !map.members.has(state.self)) return;
  const watching = isWatcher(state, now);
  if (watching !== sourceWatch.watching) {
    sourceWatch.watching = watching;
    log(context, 'sourceRoleChanged', {watching});
  }
  if (!watching || now >= sourceWatch.confirmedUntil) return;
  if (now < sourceWatch.confirmAt) return;
  sourceWatch.confirmAt = now + CONFIRM_INTERVAL_MS;
  const message: ControlMessage = {
    kind: 'configurationConfirmed',
    number: state.externalConfiguration?.number ?? 0,
    ageMs: Math.max(0, freshnessAgeMs(state.freshness, at)),
    fault: sourceWatch.fault ?? '',
  };
  for (const id of map.members.keys()) {
    if (id === state.self) continue;
    send(context, id, message);
  }
}

/**
 * Records the confirmation of a watcher, and forgets those of former members.
 *
 * @param context - Context of the current input.
 * @param from - The watcher.
 * @param message - The confirmation.
 */
export function recordConfirmation(
  context: OwnershipContext,
  from: MemberId,
  message: ConfirmationMessage,
): void {
  const {number, ageMs, fault} = message;
  const {state, at} = context;
  const {heardAt} = state.sourceWatch;
  heardAt.set(from, at.monotonic);
  const {silenceMs, heartbeatMs} = state.settings.tuning.links;
  if (number <= (state.externalConfiguration?.number ?? 0)) {
    const transitMs = silenceMs + heartbeatMs;
    recordPeerConfirmation(state.freshness, at, ageMs, transitMs);
  }
  recordFault(context, from, fault === '' ? null : fault);
  for (const id of heardAt.keys()) {
    if (!state.map.members.has(id)) heardAt.delete(id);
  }
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
