/**
 * @fileoverview The routing subsystem. It accepts requests from callers, sends
 * attempts to owners or servers, retries and hedges them, and relays one
 * response.
 */

import {dropServerStats} from '../selection/logic.js';
import {failure} from '../errors/logic.js';
import type {MemberId, RequestId} from '../ids/types.js';
import type {Subsystem} from '../loop/subsystem.js';
import type {Effect, Event, AcceptedRequest} from '../loop/types.js';
import type {Message} from '../messages/types.js';
import {forgetOld} from '../overload/logic.js';
import type {OwnershipView} from '../ownership/types.js';
import type {QuotaGate} from '../quotas/types.js';
import {capacityPerDaemon} from '../retry/logic.js';
import {handleEnd, handleHead, handleResponseDelivered} from './responses.js';
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
import {penalizeServer, startRuntimeTimer} from './state.js';
import type {RequestTimer, RoutedRequest, RoutingState} from './types.js';
import {renderRouting} from './view.js';

/** Retry tokens for each request while the workspace has no configuration. */
const DEFAULT_RETRY_SHARE = 0.1;

/** The subsystem that handles requests at their origin. */
export const ROUTING: Subsystem<
  RoutingState,
  {readonly ownership: OwnershipView; readonly quotas?: QuotaGate}
> = {
  name: 'routing',
  reduce(state, input, {ownership, quotas = null}) {
    const effects: Effect[] = [];
    const now = input.at.monotonic;
    const context: RoutingContext = {
      state,
      input,
      now,
      ownership,
      quotas,
      effects,
      draws: 0,
    };
    handleEvent(context, input.event);
    dispatchWaiting(context, input.event.kind === 'ticked');
    runTimers(context);
    startRuntimeTimer(context);
    return effects;
  },
  render: renderRouting,
};

function handleEvent(context: RoutingContext, event: Event): void {
  switch (event.kind) {
    case 'requestAccepted':
      handleRequestAccepted(context, event.accepted);
      return;
    case 'callerDisconnected':
      handleCallerDisconnected(context, event.request);
      return;
    case 'responseDelivered':
      handleResponseDelivered(context, event.request);
      return;
    case 'messageReceived':
      handleMessage(context, event.from, event.message);
      return;
    case 'linkLost':
      handleLinkLost(context, event.peer);
      return;
    case 'dispatchNotSent': {
      const attempt = context.state.attempts.get(event.attempt);
      if (attempt === undefined) return;
      penalizeServer(context, attempt.to);
      failAttempt(
        context,
        attempt,
        'held',
        'link-lost',
        'no link to the owner',
      );
      return;
    }
    case 'ticked':
      handleTick(context);
      return;
    case 'timerFired':
      if (context.now >= context.state.runtimeTimerAt) {
        context.state.runtimeTimerAt = Infinity;
      }
      return;
    case 'linkOpened':
    case 'storeReplied':
    case 'announcementReceived':
    case 'announcementExpired':
    case 'runWriteStarting':
    case 'runHeadReceived':
    case 'runEnded':
    case 'runFailed':
    case 'configurationRead':
    case 'sourcePolled':
    case 'slicesGranted':
    case 'sliceGrantFailed':
    case 'slicesReleased':
    case 'commandReceived':
    case 'stopRequested':
      return;
  }
}

function handleRequestAccepted(
  context: RoutingContext,
  accepted: AcceptedRequest,
): void {
  const {state, now, ownership} = context;
  const pending: RoutedRequest = {
    accepted,
    acceptedAt: now,
    deadline: now + accepted.timeoutMs,
    attempts: new Map(),
    attemptsSent: 0,
    chargedRetries: 0,
    relayedAttempt: null,
    mayHaveRun: false,
    waiting: false,
    waitingSince: null,
    deadlinePassed: false,
    excludedServers: [],
    ownerHint: null,
    lastFailure: null,
  };
  if (state.requests.size >= state.tuning.routing.maxRequests) {
    failRequest(
      context,
      pending,
      failure('overloaded', 'not-run', 'too many requests'),
    );
    return;
  }
  const overQuota =
    accepted.tenant === null
      ? null
      : (context.quotas?.admit(accepted.tenant, context.input.at) ?? null);
  if (overQuota !== null) {
    const rejection = failure('quota-exceeded', 'not-run', overQuota);
    failRequest(context, pending, rejection);
    return;
  }
  state.requests.set(accepted.request, pending);
  const tokensPerRequest =
    ownership.workspace?.limits.retryShare ?? DEFAULT_RETRY_SHARE;
  state.budget.deposit(
    tokensPerRequest,
    capacityPerDaemon(state.tuning.routing, ownership.members),
  );
  state.redirectBudget.deposit(state.tuning.routing.redirectShare);
  dispatchRequest(context, pending);
}

/** Drops the request of a caller that closed its connection. */
function handleCallerDisconnected(
  context: RoutingContext,
  request: RequestId,
): void {
  const pending = context.state.requests.get(request);
  if (pending === undefined) return;
  const ageMs = Math.round(context.now - pending.acceptedAt);
  const fields = {request, attempts: pending.attemptsSent, ageMs};
  context.effects.push({kind: 'log', event: 'requestDropped', fields});
  dropRequest(context, pending);
}

/**
 * Discards messages from a member that the attempt was not sent to.
 */
function handleMessage(
  context: RoutingContext,
  from: MemberId,
  message: Message,
): void {
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
    case 'propose':
    case 'configurationNumber':
    case 'configurationConfirmed':
    case 'quotaDemand':
    case 'quotaShares':
      return;
  }
  const attempt = context.state.attempts.get(message.attempt);
  if (attempt === undefined || attempt.to !== from) return;
  switch (message.kind) {
    case 'head':
      handleHead(context, attempt);
      return;
    case 'end':
      handleEnd(context, attempt, message);
      return;
    case 'failed':
      if (attempt.progress !== 'complete') {
        handleFailed(context, attempt, message);
      }
      return;
    case 'fate':
      if (attempt.inquiring) handleFate(context, attempt, message.state);
      return;
  }
}

/** Tries to dispatch waiting requests when the map changes and at each tick. */
function dispatchWaiting(context: RoutingContext, ticked: boolean): void {
  const {state, ownership} = context;
  const changed = state.lastSeenMapVersion !== ownership.version;
  state.lastSeenMapVersion = ownership.version;
  if (!changed && !ticked) return;
  for (const request of [...state.waiting]) {
    const pending = state.requests.get(request);
    if (pending !== undefined && !pending.deadlinePassed) {
      dispatchRequest(context, pending);
    }
  }
}

function runTimers(context: RoutingContext): void {
  const {state, now} = context;
  for (;;) {
    const due = state.timers.popDue(now);
    if (due === null) return;
    const pending = state.requests.get(due.request);
    if (pending !== undefined && !pending.deadlinePassed) {
      runTimer(context, pending, due);
    }
  }
}

function runTimer(
  context: RoutingContext,
  pending: RoutedRequest,
  due: RequestTimer,
): void {
  switch (due.kind) {
    case 'retry':
      if (pending.attempts.size === 0) dispatchRequest(context, pending);
      return;
    case 'hedge':
      hedgeRequest(context, pending);
      return;
  }
}

function handleTick(context: RoutingContext): void {
  const {state, ownership} = context;
  for (const pending of [...state.requests.values()]) {
    checkTimeLimits(context, pending);
  }
  for (const attempt of [...state.attempts.values()]) {
    checkInquiry(context, attempt);
  }
  dropServerStats(state.selection, member => ownership.isEnded(member));
  forgetOld(state.overload, context.now);
}

/**
 * Fails a request that has waited too long for an owner or a server. The caller
 * learns it before the deadline and has time to try again. Where runs are long, a
 * move takes longer, and so do latency objectives.
 */
function checkWaitLimit(context: RoutingContext, pending: RoutedRequest): void {
  const {waitMs, waitObjectiveShare} = context.state.tuning.routing;
  if (waitMs === 0 || pending.waitingSince === null) return;
  const shareMs = pending.accepted.objectiveMs * waitObjectiveShare;
  if (context.now - pending.waitingSince >= Math.max(waitMs, shareMs)) {
    failTimedOut(context, pending);
  }
}

/**
 * Cancels the open attempts of a request after its deadline. The peers have a
 * grace period to report whether the attempts ran; without a report the request
 * fails as one that may have run.
 */
function checkTimeLimits(
  context: RoutingContext,
  pending: RoutedRequest,
): void {
  const {now, state} = context;
  if (now < pending.deadline) {
    checkWaitLimit(context, pending);
    return;
  }
  if (pending.attempts.size === 0) {
    failTimedOut(context, pending);
    return;
  }
  if (!pending.deadlinePassed) {
    pending.deadlinePassed = true;
    cancelAttempts(context, pending);
  }
  if (now < pending.deadline + state.tuning.routing.graceMs) return;
  pending.mayHaveRun = true;
  const detail = 'the deadline passed';
  failRequest(
    context,
    pending,
    failure('deadline-exceeded', 'unknown', detail),
  );
}
