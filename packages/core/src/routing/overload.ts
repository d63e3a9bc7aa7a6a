/**
 * @fileoverview Overload control in routing, where the workspace schedules by
 * cost: what origins record of servers, reject themselves and promise.
 */

import type {Failure} from '../errors/types.js';
import {failure} from '../errors/logic.js';
import type {MemberId} from '../ids/types.js';
import {
  expectRoom,
  isKnownFull,
  admitsProbe,
  promiseRoom,
  recordDispatch,
  recordRefusal,
  recordServed,
} from '../overload/logic.js';
import type {ExpectedRoom, RoomClaim, RoomServer} from '../overload/types.js';
import type {ServingMember} from '../ownership/types.js';
import type {RoutingContext} from './state.js';
import {drawRandom} from './state.js';
import type {Attempt, RoutedRequest} from './types.js';

/** Slots of an owner that accepts no new work, so that it isn't listed. */
const UNKNOWN_SLOTS = 1;

/**
 * Records an attempt that is sent.
 *
 * @param context - Context of the current input.
 * @param attempt - The attempt.
 */
export function noteSent(context: RoutingContext, attempt: Attempt): void {
  if (!schedulesByCost(context)) return;
  recordDispatch(context.state.overload, attempt.to, context.now);
}

/**
 * Records the report at the end of a response.
 *
 * @param context - Context of the current input.
 * @param attempt - The attempt.
 * @param outstanding - Attempts at its server, as reported.
 */
export function noteServed(
  context: RoutingContext,
  attempt: Attempt,
  outstanding: number,
): void {
  if (!schedulesByCost(context)) return;
  const pending = context.state.requests.get(attempt.request);
  if (pending === undefined) return;
  const server = roomServerOf(context, pending, attempt.to);
  const latencyMs = context.now - attempt.sentAt;
  const {overload} = context.state;
  recordServed(overload, server, outstanding, latencyMs, context.now);
}

/**
 * Records that a daemon refused an attempt for want of room.
 *
 * @param context - Context of the current input.
 * @param pending - The request.
 * @param member - The daemon.
 * @param outstanding - Attempts there, as reported.
 */
export function noteRefused(
  context: RoutingContext,
  pending: RoutedRequest,
  member: MemberId,
  outstanding: number,
): void {
  if (!schedulesByCost(context)) return;
  const {state, now} = context;
  const claim = claimOf(context, pending);
  recordRefusal(state.overload, member, outstanding, claim, now);
}

/**
 * Decides whether a request is rejected here, since its server is known to be
 * full; for a shared service, all of them. One that may have run is sent: its
 * caller can't be told that it has not.
 *
 * @param context - Context of the current input.
 * @param pending - The request; it has no open attempt.
 * @param member - The server that it would be sent to.
 * @returns The failure to reject it with, or null to send it.
 */
export function rejectionAtOrigin(
  context: RoutingContext,
  pending: RoutedRequest,
  member: MemberId,
): Failure | null {
  if (!schedulesByCost(context) || pending.mayHaveRun) return null;
  const {state, now, effects} = context;
  const {overload} = state;
  const {request, service, slice, urgency} = pending.accepted;
  const claim = claimOf(context, pending);
  const isFull = (each: MemberId) => isKnownFull(overload, each, claim, now);
  if (!isFull(member)) return null;
  const servers = slice === null ? serversFor(context, pending) : [];
  if (!servers.every(each => isFull(each.member))) return null;
  if (admitsProbe(overload, member, now)) return null;
  const record = overload.servers.get(member);
  const fields = {
    request,
    service,
    slice: slice ?? -1,
    to: member,
    urgency,
    outstanding: record?.outstanding ?? 0,
    reportAgeMs: Math.round(now - (record?.reportedAt ?? now)),
    leftMs: Math.round(claim.leftMs),
  };
  effects.push({kind: 'log', event: 'requestNotSent', fields});
  return failure('overloaded', 'not-run', 'the server is known to be full');
}

/**
 * Adds when the caller should return to a failure for want of room.
 *
 * @param context - Context of the current input.
 * @param pending - The request.
 * @param failed - The failure, as the caller is told.
 * @returns The failure, with `retryAfterMs` if it was decided here.
 */
export function withPromise(
  context: RoutingContext,
  pending: RoutedRequest,
  failed: Failure,
): Failure {
  if (!schedulesByCost(context) || !isForWantOfRoom(failed)) return failed;
  const room = expectedRoomOf(context, pending);
  if (room === null) return failed;
  const {state, now, effects} = context;
  const claim = claimOf(context, pending);
  const random = drawRandom(context);
  const retryAfterMs = promiseRoom(state.overload, room, claim, random, now);
  if (retryAfterMs !== null) {
    const valueMs = retryAfterMs;
    effects.push({kind: 'recordDuration', histogram: 'retryAfter', valueMs});
  }
  return {...failed, retryAfterMs};
}

function isForWantOfRoom({kind, run}: Failure): boolean {
  if (run !== 'not-run') return false;
  return kind === 'overloaded' || kind === 'server-refused';
}

function expectedRoomOf(
  context: RoutingContext,
  pending: RoutedRequest,
): ExpectedRoom | null {
  const {state, ownership} = context;
  const {service, slice} = pending.accepted;
  const meanMs = state.selection.services.get(service)?.meanMs ?? 0;
  if (slice === null) {
    const servers = ownership
      .serversOf(service)
      .map(each => withOwn(context, each));
    if (servers.length === 0) return null;
    return expectRoom(state.overload, service, servers, meanMs);
  }
  const {owner} = ownership.placement(service, slice);
  if (owner === null) return null;
  const server = roomServerOf(context, pending, owner);
  return expectRoom(state.overload, owner, [server], meanMs);
}

function serversFor(
  {ownership}: RoutingContext,
  {accepted, excludedServers}: RoutedRequest,
): readonly ServingMember[] {
  return ownership
    .serversOf(accepted.service)
    .filter(({member}) => !excludedServers.includes(member));
}

function roomServerOf(
  context: RoutingContext,
  {accepted}: RoutedRequest,
  member: MemberId,
): RoomServer {
  const servers = context.ownership.serversOf(accepted.service);
  const found = servers.find(each => each.member === member);
  return withOwn(context, {member, slots: found?.slots ?? UNKNOWN_SLOTS});
}

function withOwn(
  {state}: RoutingContext,
  {member, slots}: Pick<ServingMember, 'member' | 'slots'>,
): RoomServer {
  const own = state.selection.servers.get(member)?.outstanding.size ?? 0;
  return {member, slots, own};
}

function claimOf(
  {now}: RoutingContext,
  {accepted, deadline}: RoutedRequest,
): RoomClaim {
  const {slice, urgency, objectiveMs} = accepted;
  return {slice, urgency, objectiveMs, leftMs: deadline - now};
}

function schedulesByCost({ownership}: RoutingContext): boolean {
  return ownership.workspace?.scheduling === 'cost';
}
