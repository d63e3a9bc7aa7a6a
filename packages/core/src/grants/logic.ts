/**
 * @fileoverview Slice grants to the local backend server. An unconfirmed grant
 * may still take effect late, so its slices are not released to another member
 * until it has expired.
 */

import {timeLeftMs} from '../clock/logic.js';
import type {Generation, ServiceName, Slice} from '../ids/types.js';
import {currentLease} from '../leases/logic.js';
import type {Event, SliceGrant} from '../loop/types.js';
import type {ServicePlacement} from '../map/types.js';
import type {OwnershipContext} from '../ownership/state.js';
import type {SliceGrants, UnconfirmedGrant} from './types.js';

/** Maximum time between two rounds of slice grants, as a share of the lease. */
const RENEW_INTERVAL_SHARE = 1 / 3;
/** Share of a grant's time after which it is renewed at the latest. */
const RENEW_LEFT_SHARE = 1 / 2;
/** Time after which an unconfirmed grant no longer delays a release request. */
const CONFIRM_TIMEOUT_MS = 600;

/**
 * Grants the server the slices that this member owns, if it holds a lease. All
 * are granted again once the lease is extended, and in any case before earlier
 * grants expire; slices with a new generation are granted immediately. A server
 * that checks grants ends a run when the grant under which the run began
 * expires, also if it was renewed since: each run should find a long one.
 *
 * @param context - Context of the current input.
 */
export function renewServerGrants(context: OwnershipContext): void {
  const {state, at, effects} = context;
  const {announcement, grants, settings} = state;
  dropExpired(grants, at.monotonic);
  if (announcement === null) return;
  const {source, until} = currentLease(state, at);
  if (source === 'none' || timeLeftMs(until, at) <= 0) return;
  const service = state.map.services.get(announcement.service);
  const self = state.map.members.get(state.self);
  if (service === undefined || self === undefined) return;
  if (self.offer?.instance !== announcement.instance) return;
  const owned = ownedSlices(service, self.index);
  const now = at.monotonic;
  const {leaseMs, marginMs, renewMs} = settings.tuning.leases;
  const extendedMs = until.monotonic - grants.leaseEndsAt;
  const isDue = now >= grants.renewAt || extendedMs >= renewMs / 2;
  const due = isDue
    ? owned
    : owned.filter(slice => needsGrant(grants, service, slice, now));
  if (isDue) {
    const leftMs = timeLeftMs(until, at);
    const intervalMs = leaseMs * RENEW_INTERVAL_SHARE;
    grants.renewAt = now + Math.min(intervalMs, leftMs * RENEW_LEFT_SHARE);
    grants.leaseEndsAt = until.monotonic;
  }
  if (due.length === 0) return;
  const sent = groupIntoGrants(service, due);
  grants.round += 1;
  if (announcement.checksGrants) {
    recordSent(grants, service.name, sent, now, until.monotonic, marginMs);
  }
  effects.push({
    kind: 'grantSlices',
    service: service.name,
    slices: service.slices,
    grants: sent,
    round: grants.round,
    until,
  });
}

/**
 * Records that the server confirmed a grant. A confirmation that arrives after
 * the grant has expired is ignored.
 *
 * @param grants - State of the grants.
 * @param event - The grant and its round.
 * @param expires - Whether the server checks grants, which expire there.
 */
export function confirmGrant(
  grants: SliceGrants,
  event: Extract<Event, {kind: 'slicesGranted'}>,
  expires: boolean,
): void {
  const {service, grant, round} = event;
  const sentKey = unconfirmedGrantKey(round, grant);
  const sent = grants.unconfirmed.get(sentKey);
  if (sent === undefined && expires) return;
  grants.unconfirmed.delete(sentKey);
  const {generation} = grant;
  for (const key of sliceKeysOf(service, grant)) {
    const known = grants.confirmed.get(key);
    const knownUntil = known?.generation === generation ? known.heldUntil : 0;
    const heldUntil = Math.max(knownUntil, sent?.heldUntil ?? Infinity);
    grants.confirmed.set(key, {generation, heldUntil});
  }
}

/**
 * Clears the confirmations of an earlier instance of the server, so that all
 * slices are granted again.
 *
 * @param grants - State of the grants.
 */
export function clearConfirmed(grants: SliceGrants): void {
  grants.confirmed.clear();
  grants.renewAt = 0;
}

/**
 * Clears all grants once the server's process is known to have ended: it no
 * longer holds slices.
 *
 * @param grants - State of the grants.
 */
export function clearGrants(grants: SliceGrants): void {
  clearConfirmed(grants);
  grants.mayHoldUntil.clear();
  grants.unconfirmed.clear();
  grants.predecessorGrantsUntil = 0;
}

/**
 * Returns whether the server holds a slice under a generation: it confirmed the
 * grant, which has not expired.
 *
 * @param grants - State of the grants.
 * @param service - The service.
 * @param slice - The slice.
 * @param generation - The slice's current generation.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether the server would run work on the slice.
 */
export function isGrantConfirmed(
  grants: SliceGrants,
  service: ServiceName,
  slice: Slice,
  generation: number,
  now: number,
): boolean {
  const confirmed = grants.confirmed.get(sliceKey(service, slice));
  return confirmed?.generation === generation && now < confirmed.heldUntil;
}

/**
 * Returns whether the server may be asked to release a slice. While a recent
 * grant of the slice awaits its confirmation, it may not: the grant could
 * arrive after the release request, and the server would hold the slice again.
 *
 * @param grants - State of the grants.
 * @param service - The service.
 * @param slice - The slice.
 * @param now - Monotonic time, in milliseconds.
 * @returns False while a recent grant of the slice is unconfirmed.
 */
export function mayRequestRelease(
  grants: SliceGrants,
  service: ServiceName,
  slice: Slice,
  now: number,
): boolean {
  return unconfirmedGrantsOf(grants, service, slice).every(
    each => now - each.sentAt >= CONFIRM_TIMEOUT_MS,
  );
}

/**
 * Records that the server released slices. A slice with an unconfirmed grant
 * still counts as held, since that grant may take effect after the release.
 *
 * @param grants - State of the grants.
 * @param service - The service.
 * @param released - The slices.
 */
export function recordRelease(
  grants: SliceGrants,
  service: ServiceName,
  released: SliceGrant,
): void {
  const {first, count} = released;
  for (let slice = first; slice < first + count; slice++) {
    if (unconfirmedGrantsOf(grants, service, slice).length > 0) continue;
    grants.mayHoldUntil.delete(sliceKey(service, slice));
  }
}

/**
 * Returns whether the server may hold a slice.
 *
 * @param grants - State of the grants.
 * @param service - The service.
 * @param slice - The slice.
 * @param now - Monotonic time, in milliseconds.
 * @returns False if it is safe to grant the slice to another server.
 */
export function mayServerHold(
  grants: SliceGrants,
  service: ServiceName,
  slice: Slice,
  now: number,
): boolean {
  const until = grants.mayHoldUntil.get(sliceKey(service, slice)) ?? 0;
  return now < Math.max(until, grants.predecessorGrantsUntil);
}

/**
 * Returns whether the server may hold any slice.
 *
 * @param grants - State of the grants.
 * @param now - Monotonic time, in milliseconds.
 * @returns False if it is safe to grant all its slices to other servers.
 */
export function mayServerHoldAny(grants: SliceGrants, now: number): boolean {
  if (now < grants.predecessorGrantsUntil) return true;
  return [...grants.mayHoldUntil.values()].some(until => now < until);
}

/**
 * Merges consecutive slices with the same generation and handover into grants.
 *
 * @param service - The service's placement.
 * @param slices - Slices in ascending order.
 * @returns The grants, in ascending order.
 */
export function groupIntoGrants(
  service: ServicePlacement,
  slices: readonly Slice[],
): SliceGrant[] {
  const grants: SliceGrant[] = [];
  for (const slice of slices) {
    const generation = service.generation[slice] as Generation;
    const handover = service.handovers.get(slice) ?? null;
    const last = grants.at(-1);
    const extendsLast =
      last !== undefined &&
      last.first + last.count === slice &&
      last.generation === generation &&
      last.handover === handover;
    if (extendsLast) grants.pop();
    const first = extendsLast ? last.first : slice;
    const count = extendsLast ? last.count + 1 : 1;
    grants.push({first, count, generation, handover});
  }
  return grants;
}

/**
 * Lists a member's slices that don't move away.
 *
 * @param service - The service's placement.
 * @param owner - Index of the member.
 * @returns The slices in ascending order.
 */
export function ownedSlices(service: ServicePlacement, owner: number): Slice[] {
  const slices: Slice[] = [];
  for (let slice = 0; slice < service.slices; slice++) {
    if (service.owner[slice] !== owner) continue;
    if (!service.moves.has(slice as Slice)) slices.push(slice as Slice);
  }
  return slices;
}

/**
 * Returns whether the current generation is neither confirmed nor in an
 * unconfirmed grant.
 */
function needsGrant(
  grants: SliceGrants,
  service: ServicePlacement,
  slice: Slice,
  now: number,
): boolean {
  const generation = service.generation[slice] as Generation;
  const {name} = service;
  if (isGrantConfirmed(grants, name, slice, generation, now)) return false;
  const unconfirmed = unconfirmedGrantsOf(grants, name, slice);
  return !unconfirmed.some(each => each.generation === generation);
}

function recordSent(
  grants: SliceGrants,
  service: ServiceName,
  sent: readonly SliceGrant[],
  now: number,
  heldUntil: number,
  marginMs: number,
): void {
  const until = heldUntil + marginMs;
  for (const grant of sent) {
    const {first, count, generation} = grant;
    grants.unconfirmed.set(unconfirmedGrantKey(grants.round, grant), {
      service,
      first,
      count,
      generation,
      sentAt: now,
      until,
      heldUntil,
    });
    for (const key of sliceKeysOf(service, grant)) {
      const previous = grants.mayHoldUntil.get(key) ?? 0;
      grants.mayHoldUntil.set(key, Math.max(previous, until));
    }
  }
}

function dropExpired(grants: SliceGrants, now: number): void {
  for (const [key, {until}] of grants.unconfirmed) {
    if (now >= until) grants.unconfirmed.delete(key);
  }
}

function unconfirmedGrantsOf(
  grants: SliceGrants,
  service: ServiceName,
  slice: Slice,
): UnconfirmedGrant[] {
  const found: UnconfirmedGrant[] = [];
  for (const each of grants.unconfirmed.values()) {
    const {first, count} = each;
    if (each.service !== service) continue;
    if (slice >= first && slice < first + count) found.push(each);
  }
  return found;
}

function unconfirmedGrantKey(round: number, {first}: SliceGrant): string {
  return `${round}/${first}`;
}

function sliceKeysOf(
  service: ServiceName,
  {first, count}: SliceGrant,
): string[] {
  return Array.from({length: count}, (_, step) =>
    sliceKey(service, (first + step) as Slice),
  );
}

function sliceKey(service: ServiceName, slice: Slice): string {
  return `${service}/${slice}`;
}
