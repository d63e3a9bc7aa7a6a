/** @fileoverview The owner's side of planned moves (R6). */

import type {ServiceName, Slice} from '../ids/types.js';
import {log} from '../ownership/effects.js';
import type {Context, Drain, Ownership, Wanted} from '../ownership/state.js';

/** Bound on a drain while no configuration says otherwise. */
const DEFAULT_DRAIN_MS = 2000;

/**
 * Notes which own slices move, and since when.
 *
 * @param context - The step.
 */
export function trackDrains(context: Context): void {
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
      state.drains.set(key, {service: service.name, slice, since, late: false});
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
export function wantedRelease(context: Context): Wanted | null {
  const {state, work} = context;
  let service: ServiceName | null = null;
  const slices: Slice[] = [];
  for (const drain of state.drains.values()) {
    if (service !== null && drain.service !== service) continue;
    if (work.inFlight(drain.service, drain.slice) > 0) {
      noteLate(context, drain);
      continue;
    }
    service = drain.service;
    slices.push(drain.slice);
  }
  if (service === null) return null;
  return {change: {kind: 'released', service, slices}, by: state.self};
}

function noteLate(context: Context, drain: Drain): void {
  const {state, at} = context;
  if (drain.late || at.monotonic - drain.since < drainMs(state)) return;
  drain.late = true;
  const {service, slice} = drain;
  log(context, 'drainLate', {service, slice});
}

function drainMs(state: Ownership): number {
  const limits = state.map.configuration?.workspace.limits;
  return limits?.drainMs ?? DEFAULT_DRAIN_MS;
}
