/** @fileoverview Registers the requests a daemon takes from callers. */

import {dropServerStats} from '../selection/logic.js';
import {failure} from '../errors/logic.js';
import type {MemberId, RequestId} from '../ids/types.js';
import type {Subsystem} from '../loop/subsystem.js';
import type {Effect, Event, AcceptedRequest} from '../loop/types.js';
import type {Message} from '../messages/types.js';
import type {OwnershipView} from '../ownership/types.js';
import {burstPerDaemon} from '../retry/logic.js';
import {handleAnswered, handleEnd, handleHead} from './responses.js';
import {
  cancelAttempts,
  dropRequest,
  failRequest,
  failTimedOut,
} from './completion.js';
import {failAttempt, handleFailed} from './failures.js';
import {hedgeRequest, dispatchRequest} from './dispatch.js';
import {checkInquiry, handleFate, handleLinkLost} from './inquiries.js';
import type {RoutingContext} from './state.js';
import {penalizeServer, scheduleWake} from './state.js';
import type {RequestTimer, PendingRequest, RoutingState} from './types.js';
import {renderRouting} from './view.js';

/** Share of retries until a configuration is in force. */
const FIRST_RETRY_SHARE = 0.1;

/** The origin's side of requests. */
export const ROUTING: Subsystem<
  RoutingState,
  {readonly ownership: OwnershipView}
> = {
  name: 'routing',
  reduce(state, input, {ownership}) {
    const effects: Effect[] = [];
    const now = input.at.monotonic;
    const turn: RoutingContext = {
      state,
      input,
      now,
      ownership,
      effects,
      draws: 0,
    };
    handle(turn, input.event);
    placeWaiting(turn, input.event.kind === 'ticked');
    runTimers(turn);
    scheduleWake(turn);
    return effects;
  },
  render: renderRouting,
};

function handle(turn: RoutingContext, event: Event): void {
  switch (event.kind) {
    case 'taken':
      take(turn, event.accepted);
      return;
    case 'hungUp':
      hangUp(turn, event.request);
      return;
    case 'answered':
      handleAnswered(turn, event.request);
      return;
    case 'received':
      receive(turn, event.from, event.message);
      return;
    case 'linkLost':
      handleLinkLost(turn, event.peer);
      return;
    case 'unsent': {
      const attempt = turn.state.attempts.get(event.attempt);
      if (attempt === undefined) return;
      penalizeServer(turn, attempt.to);
      failAttempt(turn, attempt, 'held', 'link-lost', 'no link to the owner');
      return;
    }
    case 'ticked':
      watch(turn);
      return;
    case 'woken':
      if (turn.now >= turn.state.wakeAt) turn.state.wakeAt = Infinity;
      return;
    case 'linkOpened':
    case 'storeReplied':
    case 'announced':
    case 'announcementLapsed':
    case 'runWritten':
    case 'runHead':
    case 'runEnded':
    case 'runFailed':
    case 'configurationRead':
    case 'keysGranted':
    case 'keysReleased':
    case 'commanded':
    case 'stopRequested':
      return;
  }
}

function take(turn: RoutingContext, accepted: AcceptedRequest): void {
  const {state, now, ownership} = turn;
  const pending: PendingRequest = {
    accepted,
    acceptedAt: now,
    deadline: now + accepted.timeoutMs,
    attempts: new Map(),
    attemptsSent: 0,
    budgetedAttempts: 0,
    relayedAttempt: null,
    mayHaveRun: false,
    waiting: false,
    waitingSince: null,
    deadlinePassed: false,
    excludedServers: [],
    ownerHint: null,
    lastFailure: null,
  };
  if (state.requests.size >= state.settings.routing.maxRequests) {
    failRequest(
      turn,
      pending,
      failure('overloaded', 'not-run', 'too many requests'),
    );
    return;
  }
  state.requests.set(accepted.request, pending);
  const share = ownership.workspace?.limits.retryShare ?? FIRST_RETRY_SHARE;
  state.budget.deposit(
    share,
    burstPerDaemon(state.settings.routing, ownership.members),
  );
  dispatchRequest(turn, pending);
}

function hangUp(turn: RoutingContext, request: RequestId): void {
  const pending = turn.state.requests.get(request);
  if (pending === undefined) return;
  const ageMs = Math.round(turn.now - pending.acceptedAt);
  const fields = {request, attempts: pending.attemptsSent, ageMs};
  turn.effects.push({kind: 'log', event: 'requestDropped', fields});
  dropRequest(turn, pending);
}

/** What comes from another member than the one asked is discarded. */
function receive(turn: RoutingContext, from: MemberId, message: Message): void {
  switch (message.kind) {
    case 'head':
    case 'end':
    case 'failed':
    case 'fate':
      break;
    case 'dispatch':
    case 'body':
    case 'data':
    case 'credit':
    case 'cancel':
    case 'inquire':
    case 'renew':
    case 'renewed':
    case 'close':
    case 'closed':
    case 'configuration':
    case 'pull':
    case 'entries':
    case 'load':
    case 'suspect':
    case 'cleared':
      return;
  }
  const attempt = turn.state.attempts.get(message.attempt);
  if (attempt === undefined || attempt.to !== from) return;
  switch (message.kind) {
    case 'head':
      handleHead(turn, attempt);
      return;
    case 'end':
      handleEnd(turn, attempt, message);
      return;
    case 'failed':
      if (attempt.progress !== 'whole') handleFailed(turn, attempt, message);
      return;
    case 'fate':
      if (attempt.inquiring) handleFate(turn, attempt, message.state);
      return;
  }
}

/** Waiting requests are placed anew when the map changes, and at each tick. */
function placeWaiting(turn: RoutingContext, ticked: boolean): void {
  const {state, ownership} = turn;
  const changed = state.version !== ownership.version;
  state.version = ownership.version;
  if (!changed && !ticked) return;
  for (const request of [...state.waiting]) {
    const pending = state.requests.get(request);
    if (pending !== undefined && !pending.deadlinePassed) {
      dispatchRequest(turn, pending);
    }
  }
}

function runTimers(turn: RoutingContext): void {
  const {state, now} = turn;
  for (;;) {
    const due = state.timers.popDue(now);
    if (due === null) return;
    const pending = state.requests.get(due.request);
    if (pending !== undefined && !pending.deadlinePassed) {
      act(turn, pending, due);
    }
  }
}

function act(
  turn: RoutingContext,
  pending: PendingRequest,
  due: RequestTimer,
): void {
  switch (due.kind) {
    case 'place':
      if (pending.attempts.size === 0) dispatchRequest(turn, pending);
      return;
    case 'hedge':
      hedgeRequest(turn, pending);
      return;
  }
}

function watch(turn: RoutingContext): void {
  const {state, ownership} = turn;
  for (const pending of [...state.requests.values()]) watchTime(turn, pending);
  for (const attempt of [...state.attempts.values()]) {
    checkInquiry(turn, attempt);
  }
  dropServerStats(state.selection, member => ownership.isEnded(member));
}

/** A request that nobody can run is refused while a later try may succeed. */
function watchWait(turn: RoutingContext, pending: PendingRequest): void {
  const {waitMs} = turn.state.settings.routing;
  if (waitMs === 0 || pending.waitingSince === null) return;
  if (turn.now - pending.waitingSince >= waitMs) failTimedOut(turn, pending);
}

/**
 * After the deadline the attempts are cancelled and have a grace period to say
 * whether they ran; then the caller is told what is known.
 */
function watchTime(turn: RoutingContext, pending: PendingRequest): void {
  const {now, state} = turn;
  if (now < pending.deadline) {
    watchWait(turn, pending);
    return;
  }
  if (pending.attempts.size === 0) {
    failTimedOut(turn, pending);
    return;
  }
  if (!pending.deadlinePassed) {
    pending.deadlinePassed = true;
    cancelAttempts(turn, pending);
  }
  if (now < pending.deadline + state.settings.routing.graceMs) return;
  pending.mayHaveRun = true;
  const detail = 'the deadline passed';
  failRequest(turn, pending, failure('deadline-exceeded', 'unknown', detail));
}
