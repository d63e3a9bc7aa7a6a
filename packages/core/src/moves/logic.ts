/**
 * @fileoverview Planned moves at the owner. A moving slice is released, by a
 * log entry, only once nothing runs on it and the backend server no longer
 * holds it by a slice grant (R6).
 */

import {mayRequestRelease} from '../grants/logic.js';
import {sendReleases} from '../grants/releases.js';
import {mayServerHold, recordRelease} from '../grants/holds.js';
import {recordUnprovenReleased} from '../grants/unproven.js';
import {dropOverdueCalls} from '../grants/calls.js';
import {sliceKey} from '../grants/keys.js';
import type {ServiceName, Slice} from '../ids/types.js';
import {MAX_LIST_CHARACTERS} from '../log/logic.js';
import type {Handover, Release} from '../log/types.js';
import type {Event} from '../loop/types.js';
import type {ServicePlacement} from '../map/types.js';
import {log} from '../ownership/effects.js';
import type {
  OwnershipContext,
  SliceDrain,
  ProposedChange,
} from '../ownership/state.js';
import {drainMsOf} from '../workspace/limits.js';

/**
 * Tracks the draining of each slice that moves away from this member.
 *
 * @param context - Context of the current input.
 */
export function trackDrains(context: OwnershipContext): void {
  const {state, at} = context;
  const own = state.map.members.get(state.self)?.index;
  const draining = new Set<string>();
  for (const service of state.map.services.values()) {
    for (const slice of service.moves.keys()) {
      if (own === undefined || service.owner[slice] !== own) continue;
      const key = sliceKey(service.name, slice);
      draining.add(key);
      if (state.drains.has(key)) continue;
      const begunAt = at.monotonic;
      state.drains.set(key, createDrain(service.name, slice, begunAt));
    }
  }
  for (const key of [...state.drains.keys()]) {
    if (!draining.has(key)) state.drains.delete(key);
  }
}

/**
 * Proposes to release drained slices: those of one service, since an entry
 * names a single one, and as many as fit into an entry.
 *
 * @param context - Context of the current input.
 * @returns The change, or null if no slice is drained.
 */
export function proposeRelease(
  context: OwnershipContext,
): ProposedChange | null {
  const {state} = context;
  let service: ServiceName | null = null;
  const slices: Slice[] = [];
  const handovers: Handover[] = [];
  let characters = 0;
  for (const drain of state.drains.values()) {
    if (characters >= MAX_LIST_CHARACTERS) break;
    if (service !== null && drain.service !== service) continue;
    if (!isDrained(context, drain)) continue;
    service = drain.service;
    const {slice, handover} = drain;
    slices.push(slice);
    characters += JSON.stringify(slice).length + 1;
    if (handover === null) continue;
    const passedOn = {slice, token: handover};
    handovers.push(passedOn);
    characters += JSON.stringify(passedOn).length + 1;
  }
  if (service === null) return null;
  const change: Release = {kind: 'released', service, slices, handovers};
  return {change, by: state.self};
}

/**
 * Asks a backend server that checks slice grants to hand back moving slices on
 * which nothing runs, each once. Few calls are under way at a time; the other
 * slices wait, at most until their grants expire.
 *
 * @param context - Context of the current input.
 */
export function requestHandBack(context: OwnershipContext): void {
  const {state} = context;
  if (state.announcement?.checksGrants !== true) return;
  dropOverdueCalls(state.releasesUnderWay, context.at.monotonic);
  for (const [service, slices] of releasableSlices(context)) {
    sendReleases(context, service, slices, 'releaseSent', (key, round) => {
      const drain = state.drains.get(key);
      if (drain !== undefined) drain.releaseRound = round;
    });
  }
}

/** Lists the slices that the server may be asked to hand back now. */
function releasableSlices(
  context: OwnershipContext,
): Map<ServicePlacement, Slice[]> {
  const {state, work, at} = context;
  const found = new Map<ServicePlacement, Slice[]>();
  for (const drain of state.drains.values()) {
    if (drain.releaseRound !== null) continue;
    if (work.inFlight(drain.service, drain.slice) > 0) continue;
    const service = state.map.services.get(drain.service);
    if (service === undefined) continue;
    const {name} = service;
    if (!mayRequestRelease(state.grants, name, drain.slice, at.monotonic)) {
      continue;
    }
    const slices = found.get(service) ?? [];
    slices.push(drain.slice);
    found.set(service, slices);
  }
  return found;
}

/**
 * Handles slices that the backend server handed back.
 *
 * @param context - Context of the current input.
 * @param event - The slices, and what the server hands over to the next owner.
 */
export function handleSlicesHandedBack(
  context: OwnershipContext,
  event: Extract<Event, {kind: 'slicesReleased'}>,
): void {
  const {state} = context;
  const {first, count} = event.grant;
  for (let slice = first; slice < first + count; slice++) {
    const drain = state.drains.get(sliceKey(event.service, slice));
    if (drain?.releaseRound === event.round) drain.handover = event.handover;
  }
  const kept = recordRelease(state.grants, event);
  recordUnprovenReleased(state.grants, event);
  logReleaseAnswered(context, event, kept);
  state.releasesUnderWay.delete(sliceKey(event.service, first));
  requestHandBack(context);
  // One entry for as many slices as possible: each is a call of the store.
  if (state.releasesUnderWay.size === 0) state.runTasksNow = true;
}

function logReleaseAnswered(
  context: OwnershipContext,
  event: Extract<Event, {kind: 'slicesReleased'}>,
  kept: number,
): void {
  const {state, at} = context;
  const {service, round, grant} = event;
  const {first, count, generation} = grant;
  const sentAt = state.releasesUnderWay.get(sliceKey(service, first));
  const ageMs = sentAt === undefined ? -1 : Math.round(at.monotonic - sentAt);
  const fields = {service, round, first, count, generation, ageMs, kept};
  log(context, 'releaseAnswered', fields);
}

/**
 * Returns whether nothing can run on a slice at this member any more: no run is
 * in flight, and the backend server handed the slice back or its last slice
 * grant has expired.
 */
function isDrained(context: OwnershipContext, drain: SliceDrain): boolean {
  const {state, at, work} = context;
  if (work.inFlight(drain.service, drain.slice) > 0) {
    logLateDrain(context, drain);
    return false;
  }
  return !mayServerHold(state.grants, drain.service, drain.slice, at.monotonic);
}

function createDrain(
  service: ServiceName,
  slice: Slice,
  begunAt: number,
): SliceDrain {
  return {
    service,
    slice,
    begunAt,
    loggedLate: false,
    releaseRound: null,
    handover: null,
  };
}

function logLateDrain(context: OwnershipContext, drain: SliceDrain): void {
  const {state, at} = context;
  const drainMs = drainMsOf(state.map.configuration?.workspace ?? null);
  if (drain.loggedLate || at.monotonic - drain.begunAt < drainMs) return;
  drain.loggedLate = true;
  const {service, slice} = drain;
  log(context, 'drainLate', {service, slice});
}
