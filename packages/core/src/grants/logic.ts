/**
 * @fileoverview Grants to the backend server beside this daemon. A grant that
 * was not answered may yet take hold, so its slices are not given away before
 * it has run out.
 */

import {timeLeftMs} from '../clock/logic.js';
import type {Generation, ServiceName, Slice} from '../ids/types.js';
import {currentLease} from '../leases/logic.js';
import type {Event, SliceGrant} from '../loop/types.js';
import type {ServicePlacement} from '../map/types.js';
import type {OwnershipContext} from '../ownership/state.js';
import type {Grants, OpenGrant} from './types.js';

/** Time between two rounds of grants, as a share of a lease. */
const RENEW_SHARE = 1 / 3;
/** Time after which an unanswered grant doesn't hold back a release. */
const ANSWER_MS = 600;

/**
 * Renews the server's grants before they lapse, or as they change.
 *
 * @param context - The step.
 */
export function renewServerGrants(context: OwnershipContext): void {
  const {state, at, effects} = context;
  const {announcement, grants, settings} = state;
  dropLapsed(grants, at.monotonic);
  if (announcement === null) return;
  const {source, until} = currentLease(state, at);
  if (source === 'none' || timeLeftMs(until, at) <= 0) return;
  const service = state.map.services.get(announcement.service);
  const self = state.map.members.get(state.self);
  if (service === undefined || self === undefined) return;
  if (self.offer?.instance !== announcement.instance) return;
  const owned = ownedSlices(service, self.index);
  const isDue = at.monotonic >= grants.renewAt;
  if (!isDue && !owned.some(slice => isNews(grants, service, slice))) return;
  const {leaseMs, marginMs} = settings.tuning.leases;
  grants.renewAt = at.monotonic + leaseMs * RENEW_SHARE;
  if (owned.length === 0) return;
  const sent = groupIntoGrants(service, owned);
  grants.round += 1;
  if (announcement.checksGrants) {
    const ends = until.monotonic + marginMs;
    noteSent(grants, service.name, sent, at.monotonic, ends);
  }
  effects.push({
    kind: 'grant',
    service: service.name,
    slices: service.slices,
    grants: sent,
    round: grants.round,
    until,
  });
}

/**
 * Notes that the server took a grant.
 *
 * @param grants - The grants.
 * @param event - The grant and its round.
 */
export function confirmGrant(
  grants: Grants,
  event: Extract<Event, {kind: 'keysGranted'}>,
): void {
  const {service, grant, round} = event;
  grants.open.delete(openKey(round, grant));
  for (const key of keysOf(service, grant)) {
    grants.confirmed.set(key, grant.generation);
  }
}

/**
 * Forgets what an earlier life of the server confirmed.
 *
 * @param grants - The grants.
 */
export function clearConfirmed(grants: Grants): void {
  grants.confirmed.clear();
  grants.renewAt = 0;
}

/**
 * Forgets everything: the server that held it has ended.
 *
 * @param grants - The grants.
 */
export function clearGrants(grants: Grants): void {
  clearConfirmed(grants);
  grants.heldUntil.clear();
  grants.open.clear();
  grants.inheritedUntil = 0;
}

/**
 * Tells whether the server has confirmed a slice's present generation.
 *
 * @param grants - The grants.
 * @param service - The service.
 * @param slice - The slice.
 * @param generation - Its generation.
 * @returns Whether work on the slice would be run.
 */
export function isGrantConfirmed(
  grants: Grants,
  service: ServiceName,
  slice: Slice,
  generation: number,
): boolean {
  return grants.confirmed.get(keyOf(service, slice)) === generation;
}

/**
 * Tells whether a release may be asked for: it must not overtake a grant.
 *
 * @param grants - The grants.
 * @param service - The service.
 * @param slice - The slice.
 * @param now - Monotonic time, in milliseconds.
 * @returns Whether no grant of the slice is awaited.
 */
export function mayRequestRelease(
  grants: Grants,
  service: ServiceName,
  slice: Slice,
  now: number,
): boolean {
  return openOf(grants, service, slice).every(
    each => now - each.sentAt >= ANSWER_MS,
  );
}

/**
 * Notes that the server gave slices back. One that an open grant names may yet
 * come to hold it again.
 *
 * @param grants - The grants.
 * @param service - The service.
 * @param released - The slices.
 */
export function markReleased(
  grants: Grants,
  service: ServiceName,
  released: SliceGrant,
): void {
  const {first, count} = released;
  for (let slice = first; slice < first + count; slice++) {
    if (openOf(grants, service, slice).length > 0) continue;
    grants.heldUntil.delete(keyOf(service, slice));
  }
}

/**
 * Tells whether the server may hold a slice.
 *
 * @param grants - The grants.
 * @param service - The service.
 * @param slice - The slice.
 * @param now - Monotonic time, in milliseconds.
 * @returns False when another server may be granted the slice.
 */
export function mayServerHold(
  grants: Grants,
  service: ServiceName,
  slice: Slice,
  now: number,
): boolean {
  const until = grants.heldUntil.get(keyOf(service, slice)) ?? 0;
  return now < Math.max(until, grants.inheritedUntil);
}

/**
 * Tells whether the server may hold anything.
 *
 * @param grants - The grants.
 * @param now - Monotonic time, in milliseconds.
 * @returns False when all its slices may be granted to others.
 */
export function mayServerHoldAny(grants: Grants, now: number): boolean {
  if (now < grants.inheritedUntil) return true;
  return [...grants.heldUntil.values()].some(until => now < until);
}

/**
 * Joins slices with the same generation and handover into grants.
 *
 * @param service - The service's placement.
 * @param slices - Slices in ascending order.
 * @returns One grant for each row of neighbours that are alike.
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
    const alike =
      last !== undefined &&
      last.first + last.count === slice &&
      last.generation === generation &&
      last.handover === handover;
    if (alike) grants.pop();
    const first = alike ? last.first : slice;
    const count = alike ? last.count + 1 : 1;
    grants.push({first, count, generation, handover});
  }
  return grants;
}

function ownedSlices(service: ServicePlacement, owner: number): Slice[] {
  const slices: Slice[] = [];
  for (let slice = 0; slice < service.slices; slice++) {
    if (service.owner[slice] !== owner) continue;
    if (!service.moves.has(slice as Slice)) slices.push(slice as Slice);
  }
  return slices;
}

/** Whether a slice's generation was neither confirmed nor granted lately. */
function isNews(
  grants: Grants,
  service: ServicePlacement,
  slice: Slice,
): boolean {
  const generation = service.generation[slice] as Generation;
  const {name} = service;
  if (isGrantConfirmed(grants, name, slice, generation)) return false;
  const open = openOf(grants, name, slice);
  return !open.some(each => each.generation === generation);
}

function noteSent(
  grants: Grants,
  service: ServiceName,
  sent: readonly SliceGrant[],
  now: number,
  until: number,
): void {
  for (const grant of sent) {
    const slices = keysOf(service, grant);
    const {generation} = grant;
    const open: OpenGrant = {slices, generation, sentAt: now, until};
    grants.open.set(openKey(grants.round, grant), open);
    for (const key of slices) {
      const known = grants.heldUntil.get(key) ?? 0;
      grants.heldUntil.set(key, Math.max(known, until));
    }
  }
}

function dropLapsed(grants: Grants, now: number): void {
  for (const [key, {until}] of grants.open) {
    if (now >= until) grants.open.delete(key);
  }
}

function openOf(
  grants: Grants,
  service: ServiceName,
  slice: Slice,
): OpenGrant[] {
  const key = keyOf(service, slice);
  return [...grants.open.values()].filter(({slices}) => slices.includes(key));
}

function openKey(round: number, {first}: SliceGrant): string {
  return `${round}/${first}`;
}

function keysOf(service: ServiceName, {first, count}: SliceGrant): string[] {
  return Array.from({length: count}, (_, step) =>
    keyOf(service, (first + step) as Slice),
  );
}

function keyOf(service: ServiceName, slice: Slice): string {
  return `${service}/${slice}`;
}
