/** @fileoverview Selects the daemon for a request and sends it an attempt. */

import {chooseServer, hedgeDelayMs, recordSent} from '../selection/logic.js';
import {makeAttemptId} from '../ids/logic.js';
import type {Address, MemberId} from '../ids/types.js';
import type {ServingMember} from '../ownership/types.js';
import type {RoutingContext} from './state.js';
import {costKeyOf, drawRandom, scheduleTimer} from './state.js';
import {failRequest} from './completion.js';
import {noteSent, rejectionAtOrigin} from './overload.js';
import type {Attempt, RoutedRequest} from './types.js';

/** The daemon that gets an attempt. */
interface DispatchTarget {
  readonly member: MemberId;
  readonly address: Address;
}

/**
 * Sends a request to the owner of its slice or, if its service is shared, to
 * one of the service's servers. The request waits while there is none, while
 * its slice moves, and while this daemon has not joined. Here, dispatch is the
 * step from the origin to a daemon; that daemon hands the attempt to its
 * backend server only if `mayDispatch` permits it.
 *
 * @param context - Context of the current input.
 * @param pending - A request without open attempts.
 */
export function dispatchRequest(
  context: RoutingContext,
  pending: RoutedRequest,
): void {
  const {state, ownership} = context;
  const {request, slice} = pending.accepted;
  if (context.now >= pending.deadline) return;
  const isKeyed = slice !== null;
  const target = isKeyed
    ? findOwner(context, pending)
    : chooseServerFor(context, pending);
  pending.ownerHint = null;
  pending.waiting = target === null || ownership.self === null;
  if (target === null || ownership.self === null) {
    state.waiting.add(request);
    if (pending.waitingSince === null) logWaiting(context, pending);
    pending.waitingSince ??= context.now;
    return;
  }
  state.waiting.delete(request);
  pending.waitingSince = null;
  const rejection = rejectionAtOrigin(context, pending, target.member);
  if (rejection !== null) {
    failRequest(context, pending, rejection);
    return;
  }
  sendAttempt(context, pending, target, ownership.self);
  if (!isKeyed) scheduleHedge(context, pending);
}

/**
 * Sends a second attempt of a slow idempotent request to another server,
 * if the retry budget allows it. The first response wins.
 *
 * @param context - Context of the current input.
 * @param pending - The request.
 */
export function hedgeRequest(
  context: RoutingContext,
  pending: RoutedRequest,
): void {
  const {state, ownership, effects} = context;
  const {idempotent, slice, request} = pending.accepted;
  if (!idempotent || slice !== null || ownership.self === null) return;
  if (pending.attempts.size !== 1 || pending.relayedAttempt !== null) return;
  if (pending.deadlinePassed) return;
  const [first] = pending.attempts.values();
  const target = chooseServerFor(context, pending, first.to);
  if (target === null || !state.budget.tryWithdraw()) return;
  state.hedges += 1;
  effects.push({kind: 'log', event: 'requestHedged', fields: {request}});
  sendAttempt(context, pending, target, ownership.self);
}

function findOwner(
  context: RoutingContext,
  pending: RoutedRequest,
): DispatchTarget | null {
  const {ownership} = context;
  const {service, slice} = pending.accepted;
  if (slice === null) return null;
  if (pending.ownerHint !== null) {
    const address = ownership.addressOf(pending.ownerHint);
    if (address !== null) return {member: pending.ownerHint, address};
  }
  const {owner, moving} = ownership.placement(service, slice);
  if (owner === null || moving) return null;
  const address = ownership.addressOf(owner);
  return address === null ? null : {member: owner, address};
}

function chooseServerFor(
  context: RoutingContext,
  pending: RoutedRequest,
  alsoExcluded: MemberId | null = null,
): ServingMember | null {
  const {state, ownership, now} = context;
  const {service} = pending.accepted;
  const servers = ownership.serversOf(service);
  const selectionContext = {
    service,
    now,
    zone: state.zone,
    random: drawRandom(context),
    objectiveMs: pending.accepted.objectiveMs,
    excluded:
      alsoExcluded === null
        ? pending.excludedServers
        : [...pending.excludedServers, alsoExcluded],
    tuning: state.tuning.routing,
    costClass: costKeyOf(context, pending)?.costClass,
  };
  return chooseServer(state.selection, servers, selectionContext);
}

/**
 * A non-idempotent request never has two attempts that may both run; to send
 * a second one would break an invariant and stops the process.
 */
function sendAttempt(
  context: RoutingContext,
  pending: RoutedRequest,
  target: DispatchTarget,
  self: MemberId,
): void {
  const {state, effects, now, ownership} = context;
  const {request, idempotent} = pending.accepted;
  const isSecond = pending.attempts.size > 0 || pending.mayHaveRun;
  if (isSecond && !idempotent) {
    const invariant = 'a non-idempotent request has one open attempt';
    effects.push({kind: 'panic', invariant, detail: request});
    return;
  }
  state.sequence += 1;
  const attempt: Attempt = {
    id: makeAttemptId(self, state.sequence),
    request,
    to: target.member,
    address: target.address,
    sentAt: now,
    progress: 'sent',
    nextInquiryAt: Infinity,
    inquiring: false,
    interrupted: false,
  };
  pending.attemptsSent += 1;
  pending.attempts.set(attempt.id, attempt);
  state.attempts.set(attempt.id, attempt);
  const key = costKeyOf(context, pending);
  recordSent(state.selection, attempt.to, attempt.id, now, key);
  noteSent(context, attempt);
  effects.push({
    kind: 'sendDispatch',
    attempt: attempt.id,
    request,
    to: attempt.to,
    address: attempt.address,
    budgetMs: pending.deadline - now,
    version: ownership.version,
  });
  logSent(context, pending, attempt);
}

function logSent(
  context: RoutingContext,
  pending: RoutedRequest,
  attempt: Attempt,
): void {
  const {ownership, now, effects} = context;
  const {request, service, slice} = pending.accepted;
  const fields = {
    request,
    attempt: attempt.id,
    service,
    to: attempt.to,
    // `load`: selected among the servers of a shared service.
    by: slice === null ? 'load' : `slice ${slice}`,
    map: ownership.version,
    configuration: ownership.workspace?.version ?? 0,
    ageMs: Math.round(now - pending.acceptedAt),
    leftMs: Math.round(pending.deadline - now),
  };
  effects.push({kind: 'log', event: 'attemptSent', fields});
}

function logWaiting(context: RoutingContext, {accepted}: RoutedRequest): void {
  const {ownership, effects} = context;
  const {request, service, slice} = accepted;
  const fields = {
    request,
    service,
    slice: slice ?? -1,
    joined: ownership.self !== null,
    map: ownership.version,
  };
  effects.push({kind: 'log', event: 'requestWaits', fields});
}

function scheduleHedge(context: RoutingContext, pending: RoutedRequest): void {
  const {state} = context;
  const {service, idempotent} = pending.accepted;
  if (!idempotent) return;
  const {minHedgeMs, hedges} = state.tuning.routing;
  if (!hedges) return;
  const delayMs = hedgeDelayMs(state.selection, service, minHedgeMs);
  if (delayMs !== null) scheduleTimer(context, pending, 'hedge', delayMs);
}
