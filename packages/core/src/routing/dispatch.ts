/** @fileoverview From a request to the daemon that gets its next attempt. */

import {chooseServer, hedgeDelayMs, recordSent} from '../selection/logic.js';
import {makeAttemptId} from '../ids/logic.js';
import type {Address, MemberId} from '../ids/types.js';
import type {ServingMember} from '../ownership/types.js';
import type {RoutingContext} from './state.js';
import {drawRandom, scheduleTimer} from './state.js';
import type {Attempt, PendingRequest} from './types.js';

interface Target {
  readonly member: MemberId;
  readonly address: Address;
}

/**
 * Sends a request to its owner or a server; without one it waits.
 *
 * @param turn - The turn.
 * @param pending - A request without attempts.
 */
export function dispatchRequest(
  turn: RoutingContext,
  pending: PendingRequest,
): void {
  const {state, ownership} = turn;
  const {request, slice} = pending.accepted;
  if (turn.now >= pending.deadline) return;
  const isKeyed = slice !== null;
  const target = isKeyed ? ownerOf(turn, pending) : serverFor(turn, pending);
  pending.ownerHint = null;
  pending.waiting = target === null || ownership.self === null;
  if (target === null || ownership.self === null) {
    state.waiting.add(request);
    if (pending.waitingSince === null) logWaiting(turn, pending);
    pending.waitingSince ??= turn.now;
    return;
  }
  state.waiting.delete(request);
  pending.waitingSince = null;
  sendAttempt(turn, pending, target, ownership.self);
  if (!isKeyed) armHedge(turn, pending);
}

/**
 * Sends a second attempt of a slow lookup to another server.
 *
 * @param turn - The turn.
 * @param pending - The request.
 */
export function hedgeRequest(
  turn: RoutingContext,
  pending: PendingRequest,
): void {
  const {state, ownership, effects} = turn;
  const {idempotent, slice, request} = pending.accepted;
  if (!idempotent || slice !== null || ownership.self === null) return;
  if (pending.attempts.size !== 1 || pending.relayedAttempt !== null) return;
  if (pending.deadlinePassed) return;
  const [first] = pending.attempts.values();
  const target = serverFor(turn, pending, first.to);
  if (target === null || !state.budget.tryWithdraw()) return;
  state.hedges += 1;
  effects.push({kind: 'log', event: 'requestHedged', fields: {request}});
  sendAttempt(turn, pending, target, ownership.self);
}

function ownerOf(turn: RoutingContext, pending: PendingRequest): Target | null {
  const {ownership} = turn;
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

function serverFor(
  turn: RoutingContext,
  pending: PendingRequest,
  besides: MemberId | null = null,
): ServingMember | null {
  const {state, ownership, now} = turn;
  const {service} = pending.accepted;
  const servers = ownership.serversOf(service);
  const situation = {
    service,
    now,
    zone: state.zone,
    random: drawRandom(turn),
    avoid:
      besides === null
        ? pending.excludedServers
        : [...pending.excludedServers, besides],
    policy: state.settings.routing,
  };
  return chooseServer(state.selection, servers, situation);
}

function sendAttempt(
  turn: RoutingContext,
  pending: PendingRequest,
  target: Target,
  self: MemberId,
): void {
  const {state, effects, now, ownership} = turn;
  const {request, idempotent} = pending.accepted;
  const isSecond = pending.attempts.size > 0 || pending.mayHaveRun;
  if (isSecond && !idempotent) {
    const invariant = 'a non-idempotent request has one open attempt';
    effects.push({kind: 'violate', invariant, detail: request});
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
  };
  pending.attemptsSent += 1;
  pending.attempts.set(attempt.id, attempt);
  state.attempts.set(attempt.id, attempt);
  recordSent(state.selection, attempt.to, attempt.id, now);
  effects.push({
    kind: 'forward',
    attempt: attempt.id,
    request,
    to: attempt.to,
    address: attempt.address,
    budgetMs: pending.deadline - now,
    version: ownership.version,
  });
  logSent(turn, pending, attempt);
}

function logSent(
  turn: RoutingContext,
  pending: PendingRequest,
  attempt: Attempt,
): void {
  const {ownership, now, effects} = turn;
  const {request, service, slice} = pending.accepted;
  const fields = {
    request,
    attempt: attempt.id,
    service,
    to: attempt.to,
    by: slice === null ? 'load' : `slice ${slice}`,
    map: ownership.version,
    configuration: ownership.workspace?.version ?? 0,
    ageMs: Math.round(now - pending.acceptedAt),
    leftMs: Math.round(pending.deadline - now),
  };
  effects.push({kind: 'log', event: 'attemptSent', fields});
}

function logWaiting(
  turn: RoutingContext,
  {accepted: taken}: PendingRequest,
): void {
  const {ownership, effects} = turn;
  const {request, service, slice} = taken;
  const fields = {
    request,
    service,
    slice: slice ?? -1,
    joined: ownership.self !== null,
    map: ownership.version,
  };
  effects.push({kind: 'log', event: 'requestWaits', fields});
}

function armHedge(turn: RoutingContext, pending: PendingRequest): void {
  const {state} = turn;
  const {service, idempotent} = pending.accepted;
  if (!idempotent) return;
  const {minHedgeMs, hedges} = state.settings.routing;
  if (!hedges) return;
  const delayMs = hedgeDelayMs(state.selection, service, minHedgeMs);
  if (delayMs !== null) scheduleTimer(turn, pending, 'hedge', delayMs);
}
