/**
 * @fileoverview Decides when each range of slices is granted to the local
 * backend server. Few calls are under way at a time, so that their cost doesn't
 * grow with the number of ranges; the most urgent range goes first.
 */

import {timeLeftMs} from '../clock/logic.js';
import type {Instant} from '../clock/types.js';
import type {Generation} from '../ids/types.js';
import {latestLeaseEnd} from '../leases/logic.js';
import type {Event, SliceGrant} from '../loop/types.js';
import type {ServicePlacement} from '../map/types.js';
import {log} from '../ownership/effects.js';
import type {OwnershipContext} from '../ownership/state.js';
import {grantReserveMs} from '../settings/lease_times.js';
import {MAX_CALLS_UNDER_WAY, dropOverdueCalls} from './calls.js';
import {endOfHold} from './holds.js';
import {grantKey, sliceKey, sliceKeysOf} from './keys.js';
import {confirmGrant, groupIntoGrants, ownedSlices} from './logic.js';
import type {ScheduledSlice, SliceGrants} from './types.js';
import {recordUnproven} from './unproven.js';
import {addUnconfirmed, dropExpired, takeUnconfirmed} from './unconfirmed.js';

/** Maximum time between two grants of a slice, as a share of the lease. */
const RENEW_INTERVAL_SHARE = 1 / 3;
/** Share of a grant's time after which it is renewed at the latest. */
const RENEW_LEFT_SHARE = 1 / 2;
/** Time after which a grant of which nothing was written is sent again. */
const RETRY_MS = 250;
/**
 * Remaining time, as a share of the lease, below which the renewal of a
 * confirmed grant goes before grants of other slices.
 */
const URGENT_LEFT_SHARE = 1 / 2;

/** What a daemon may grant now. */
interface GrantSource {
  readonly service: ServicePlacement;
  /** Index of this daemon's member. */
  readonly owner: number;
  readonly leaseEnd: Instant;
  /** Instant at which the time to live of a grant ends. */
  readonly until: Instant;
}

/**
 * Grants the server the slices that this member owns, if it holds a lease. Each
 * is granted again once the lease is extended, and in any case before its grant
 * expires; slices with a new generation are due immediately. A server that
 * checks grants ends a run when the grant under which the run began expires,
 * also if it was renewed since: each run should find a long one.
 *
 * @param context - Context of the current input.
 */
export function renewServerGrants(context: OwnershipContext): void {
  const {state, at} = context;
  const {grants} = state;
  for (const sent of dropExpired(grants, at.monotonic)) {
    const {service, first, count, generation, sentAt} = sent;
    const ageMs = Math.round(at.monotonic - sentAt);
    recordUnproven(grants, sent);
    log(context, 'holdsExpired', {service, first, count, generation, ageMs});
  }
  dropOverdueCalls(grants.underWay, at.monotonic);
  const source = grantSourceOf(context);
  grants.queue.length = 0;
  if (source === null) return;
  grants.queue.push(...dueGrants(context, source));
  sendQueued(context, source);
}

/**
 * Handles the end of a call for a grant, and sends the next grants.
 *
 * @param context - Context of the current input.
 * @param event - The grant, and whether the server confirmed it.
 */
export function handleGrantCallEnded(
  context: OwnershipContext,
  event: Extract<Event, {kind: 'slicesGranted' | 'sliceGrantFailed'}>,
): void {
  const {grants} = context.state;
  if (event.kind === 'slicesGranted') recordConfirmation(context, event);
  else if (!event.written) forgetGrant(context, event);
  if (!grants.underWay.delete(grantKey(event.round, event.grant))) return;
  if (grants.queue.length === 0) return;
  const source = grantSourceOf(context);
  if (source !== null) sendQueued(context, source);
}

/** Forgets a grant of which nothing was written; it is due again soon. */
function forgetGrant(
  {state, at}: OwnershipContext,
  {round, grant}: Extract<Event, {kind: 'sliceGrantFailed'}>,
): void {
  const {grants} = state;
  const sent = takeUnconfirmed(grants, round, grant);
  if (sent === undefined) return;
  for (const key of sliceKeysOf(sent.service, sent)) {
    const scheduled = grants.schedule.get(key);
    if (scheduled === undefined) continue;
    const renewAt = Math.min(scheduled.renewAt, at.monotonic + RETRY_MS);
    grants.schedule.set(key, {...scheduled, renewAt});
  }
}

function recordConfirmation(
  context: OwnershipContext,
  event: Extract<Event, {kind: 'slicesGranted'}>,
): void {
  const {state, at, effects} = context;
  const {grants, announcement} = state;
  const {service, grant, round} = event;
  const {first, count, generation} = grant;
  const known = grants.confirmed.get(sliceKey(service, first));
  const expires = announcement?.checksGrants === true;
  const sent = confirmGrant(grants, event, expires, at.monotonic);
  if (sent === undefined) return;
  const valueMs = at.monotonic - sent.sentAt;
  effects.push({kind: 'recordDuration', histogram: 'sliceGrant', valueMs});
  if (known?.generation === generation) return;
  log(context, 'grantConfirmed', {
    service,
    round,
    first,
    count,
    generation,
    ageMs: Math.round(valueMs),
    heldForMs: Math.round(endOfHold(sent, at.monotonic) - at.monotonic),
  });
}

/** Returns null without a server that the log names, or without a lease. */
function grantSourceOf({state, at}: OwnershipContext): GrantSource | null {
  const {announcement} = state;
  if (announcement === null) return null;
  const leaseEnd = latestLeaseEnd(state, at);
  if (leaseEnd === null) return null;
  const reserveMs = grantReserveMs(state.settings.tuning.leases);
  const until = {
    monotonic: leaseEnd.monotonic - reserveMs,
    wall: leaseEnd.wall - reserveMs,
  };
  if (timeLeftMs(until, at) <= 0) return null;
  const service = state.map.services.get(announcement.service);
  const self = state.map.members.get(state.self);
  if (service === undefined || self === undefined) return null;
  if (self.offer?.instance !== announcement.instance) return null;
  return {service, owner: self.index, leaseEnd, until};
}

/** Lists the ranges of which a slice is due, the most urgent first. */
function dueGrants(
  context: OwnershipContext,
  {service, owner, leaseEnd}: GrantSource,
): SliceGrant[] {
  const {state, at} = context;
  const {grants, settings} = state;
  const {leaseMs} = settings.tuning.leases;
  const due: Array<{grant: SliceGrant; rank: number}> = [];
  for (const grant of groupIntoGrants(service, ownedSlices(service, owner))) {
    let isDue = false;
    let heldMs = Infinity;
    for (const key of sliceKeysOf(service.name, grant)) {
      const scheduled = grants.schedule.get(key);
      isDue ||= isSliceDue(context, scheduled, grant.generation, leaseEnd);
      heldMs = Math.min(heldMs, heldTimeMs(grants, key, grant, at.monotonic));
    }
    if (isDue) due.push({grant, rank: rankOf(heldMs, leaseMs)});
  }
  return due.sort((a, b) => a.rank - b.rank).map(({grant}) => grant);
}

function isSliceDue(
  {state, at}: OwnershipContext,
  scheduled: ScheduledSlice | undefined,
  generation: Generation,
  leaseEnd: Instant,
): boolean {
  if (scheduled?.generation !== generation) return true;
  if (at.monotonic >= scheduled.renewAt) return true;
  const {renewMs} = state.settings.tuning.leases;
  return leaseEnd.monotonic - scheduled.leaseEndsAt >= renewMs / 2;
}

/** Time for which the server surely holds a slice; 0 if it doesn't. */
function heldTimeMs(
  {confirmed}: SliceGrants,
  key: string,
  {generation}: SliceGrant,
  now: number,
): number {
  const known = confirmed.get(key);
  if (known?.generation !== generation) return 0;
  return Math.max(0, known.heldUntil - now);
}

/**
 * Ranks a grant by the time for which the server still holds its slices: first
 * what expires soon, then what isn't held, then the other renewals.
 */
function rankOf(heldMs: number, leaseMs: number): number {
  if (heldMs === 0) return URGENT_LEFT_SHARE * leaseMs;
  return Math.min(heldMs, leaseMs);
}

/** Sends queued grants while few enough calls are under way. */
function sendQueued(context: OwnershipContext, source: GrantSource): void {
  const {state, effects} = context;
  const {grants, announcement} = state;
  const {service, until} = source;
  const sent: SliceGrant[] = [];
  while (grants.underWay.size + sent.length < MAX_CALLS_UNDER_WAY) {
    const next = grants.queue.shift();
    if (next === undefined) break;
    if (isCurrent(next, source)) sent.push(next);
  }
  if (sent.length === 0) return;
  grants.round += 1;
  const checksGrants = announcement?.checksGrants === true;
  for (const grant of sent) {
    logIfNew(context, source, grant);
    recordSent(context, source, grant, checksGrants);
  }
  effects.push({
    kind: 'grantSlices',
    service: service.name,
    slices: service.slices,
    grants: sent,
    round: grants.round,
    until,
    timeoutMs: state.settings.tuning.leases.grantCallMs,
  });
}

/** Logs the first grant of slices under their generation. */
function logIfNew(
  context: OwnershipContext,
  {service: {name: service}, until}: GrantSource,
  {first, count, generation}: SliceGrant,
): void {
  const {state, at} = context;
  const {schedule, round} = state.grants;
  const scheduled = schedule.get(sliceKey(service, first));
  if (scheduled?.generation === generation) return;
  const ttlMs = Math.round(timeLeftMs(until, at));
  const fields = {service, round, first, count, generation, ttlMs};
  log(context, 'grantSent', fields);
}

/** Returns whether this member still owns all slices of a queued grant. */
function isCurrent(
  {first, count, generation}: SliceGrant,
  {service, owner}: GrantSource,
): boolean {
  for (let slice = first; slice < first + count; slice++) {
    if (service.owner[slice] !== owner) return false;
    if (service.generation[slice] !== generation) return false;
    if (service.moves.has(slice)) return false;
  }
  return true;
}

function recordSent(
  {state, at}: OwnershipContext,
  {service: {name: service}, leaseEnd, until}: GrantSource,
  grant: SliceGrant,
  checksGrants: boolean,
): void {
  const {grants, settings} = state;
  const {leaseMs, marginMs} = settings.tuning.leases;
  const {first, count, generation} = grant;
  const now = at.monotonic;
  const intervalMs = Math.min(
    leaseMs * RENEW_INTERVAL_SHARE,
    timeLeftMs(until, at) * RENEW_LEFT_SHARE,
  );
  const leaseEndsAt = leaseEnd.monotonic;
  const scheduled = {generation, leaseEndsAt, renewAt: now + intervalMs};
  grants.underWay.set(grantKey(grants.round, grant), now);
  for (const key of sliceKeysOf(service, grant)) {
    grants.schedule.set(key, scheduled);
  }
  if (!checksGrants) return;
  addUnconfirmed(grants, grants.round, {
    service,
    first,
    count,
    generation,
    sentAt: now,
    until: leaseEndsAt + marginMs,
    heldUntil: until.monotonic,
    ttlMs: until.monotonic - now,
  });
}
