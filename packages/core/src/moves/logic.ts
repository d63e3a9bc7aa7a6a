/** @fileoverview The owner's side of planned moves (R6). */

import {
  groupIntoGrants,
  mayRequestRelease,
  mayServerHold,
  markReleased,
} from '../grants/logic.js';
import type {ServiceName, Slice} from '../ids/types.js';
import type {Change, Handover} from '../log/types.js';
import type {Event} from '../loop/types.js';
import type {ServicePlacement} from '../map/types.js';
import {log} from '../ownership/effects.js';
import type {
  OwnershipContext,
  Drain,
  OwnershipState,
  ProposedChange,
} from '../ownership/state.js';

/** Bound on a drain while no configuration says otherwise. */
const DEFAULT_DRAIN_MS = 2000;

/**
 * Notes which own slices move, and since when.
 *
 * @param context - The step.
 */
export function trackDrains(context: OwnershipContext): void {
  const {state, at} = context;
  const own = state.map.members.get(state.self)?.index;
  const seen = new Set<string>();
  for (const service of state.map.services.values()) {
    for (const slice of service.moves.keys()) {
      if (own === undefined || service.owner[slice] !== own) continue;
      const key = `${service.name}/${slice}`;
      seen.add(key);
      if (state.drains.has(key)) continue;
      const since = at.monotonic;
      state.drains.set(key, newDrain(service.name, slice, since));
    }
  }
  for (const key of [...state.drains.keys()]) {
    if (!seen.has(key)) state.drains.delete(key);
  }
}

/**
 * Collects drained slices of one service for their release.
 *
 * @param context - The step.
 * @returns The change, or null when nothing is drained.
 */
export function proposeRelease(
  context: OwnershipContext,
): ProposedChange | null {
  const {state} = context;
  let service: ServiceName | null = null;
  const slices: Slice[] = [];
  const handovers: Handover[] = [];
  for (const drain of state.drains.values()) {
    if (service !== null && drain.service !== service) continue;
    if (!isDrained(context, drain)) continue;
    service = drain.service;
    const {slice, handover} = drain;
    slices.push(slice);
    if (handover !== null) handovers.push({slice, token: handover});
  }
  if (service === null) return null;
  const change: Change = {kind: 'released', service, slices, handovers};
  return {change, by: state.self};
}

/**
 * Asks a backend server that checks grants to give drained slices back.
 *
 * @param context - The step.
 */
export function requestServerRelease(context: OwnershipContext): void {
  const {state, effects, work, at} = context;
  if (state.announcement?.checksGrants !== true) return;
  const asked = new Map<ServicePlacement, Slice[]>();
  for (const drain of state.drains.values()) {
    if (drain.releaseRequested) continue;
    if (work.inFlight(drain.service, drain.slice) > 0) continue;
    const service = state.map.services.get(drain.service);
    if (service === undefined) continue;
    const {name} = service;
    if (!mayRequestRelease(state.grants, name, drain.slice, at.monotonic)) {
      continue;
    }
    drain.releaseRequested = true;
    asked.set(service, [...(asked.get(service) ?? []), drain.slice]);
  }
  for (const [service, slices] of asked) {
    const {name} = service;
    const grants = groupIntoGrants(service, slices);
    effects.push({
      kind: 'releaseKeys',
      service: name,
      slices: service.slices,
      grants,
    });
  }
}

/**
 * Takes in that the backend server gave slices back.
 *
 * @param context - The step.
 * @param event - Which slices, and what it handed over.
 */
export function handleKeysReleased(
  context: OwnershipContext,
  event: Extract<Event, {kind: 'keysReleased'}>,
): void {
  const {state} = context;
  const {first, count, generation} = event.grant;
  const service = state.map.services.get(event.service);
  for (let slice = first; slice < first + count; slice++) {
    const drain = state.drains.get(`${event.service}/${slice}`);
    if (drain === undefined) continue;
    if (service?.generation[slice] !== generation) continue;
    drain.handover = event.handover;
  }
  markReleased(state.grants, event.service, event.grant);
  state.dirty = true;
}

/**
 * Whether nothing of this member can run on a slice any more: no run is in
 * flight, and its server gave the slice back or its last grant has lapsed.
 */
function isDrained(context: OwnershipContext, drain: Drain): boolean {
  const {state, at, work} = context;
  if (work.inFlight(drain.service, drain.slice) > 0) {
    noteLate(context, drain);
    return false;
  }
  return !mayServerHold(state.grants, drain.service, drain.slice, at.monotonic);
}

function newDrain(service: ServiceName, slice: Slice, since: number): Drain {
  return {
    service,
    slice,
    begunAt: since,
    reportedLate: false,
    releaseRequested: false,
    handover: null,
  };
}

function noteLate(context: OwnershipContext, drain: Drain): void {
  const {state, at} = context;
  if (drain.reportedLate || at.monotonic - drain.begunAt < drainMs(state)) {
    return;
  }
  drain.reportedLate = true;
  const {service, slice} = drain;
  log(context, 'drainLate', {service, slice});
}

function drainMs(state: OwnershipState): number {
  const limits = state.map.configuration?.workspace.limits;
  return limits?.drainMs ?? DEFAULT_DRAIN_MS;
}
