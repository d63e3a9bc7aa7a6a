/** @fileoverview What a backend server bears, refuses and takes time for. */

import type {ServerState} from './state.js';
import type {ServerNote, Refusal, Run, ServerOrder} from './types.js';

import {newInstance} from './state.js';

const MAX_NOTES = 200_000;
/** New work this long after asking to leave counts as late. */
const LATE_AFTER_MS = 3000;
const MIN_SERVICE_SHARE = 0.5;

/** The headers of one arrival that matter to the server. */
export interface Arrival {
  readonly request: string;
  readonly attempt: string;
  readonly service: string;
  readonly key: string;
  readonly slice: number | null;
  readonly generation: number | null;
  readonly deadlineMs: number | null;
  readonly idempotent: boolean;
}

/**
 * Computes how many requests the server bears at this moment.
 *
 * @param state - The server.
 * @returns At least `coldSlots`, at most `slots`.
 */
export function bears(state: ServerState): number {
  const {slots, coldSlots, completedPerSlot} = state.options;
  const grown = Math.floor(state.completedWarm / completedPerSlot);
  return Math.min(slots, coldSlots + grown);
}

/**
 * Decides whether a request is refused before it runs.
 *
 * @param state - The server.
 * @param arrival - The request.
 * @param wallMs - Wall clock.
 * @param monotonicMs - Monotonic clock.
 * @returns The reason, or null when the request may run.
 */
export function refusalOf(
  state: ServerState,
  arrival: Arrival,
  wallMs: number,
  monotonicMs: number,
): Refusal | null {
  const left = state.leavingSinceMs;
  if (left !== null) {
    const afterMs = wallMs - left;
    if (afterMs > LATE_AFTER_MS) noteLateWork(state, wallMs, afterMs);
    if (afterMs > state.leaveGraceMs) return 'draining';
  }
  if (isStale(state, arrival, monotonicMs)) return 'stale-grant';
  const limit = bears(state);
  if (state.running < limit) return null;
  noteOverLimit(state, wallMs, limit);
  return limit < state.options.slots ? 'cold' : 'shedding';
}

/**
 * Notes an event in the bounded ledger and the journal.
 *
 * @param state - The server.
 * @param event - What happened.
 */
export function note(state: ServerState, event: ServerNote): void {
  state.journal(event);
  state.notes.push(event);
  if (state.notes.length > MAX_NOTES) state.notes.shift();
}

/**
 * Starts a run.
 *
 * @param state - The server.
 * @param arrival - The request.
 * @param wallMs - Wall clock.
 */
export function begin(
  state: ServerState,
  arrival: Arrival,
  wallMs: number,
): void {
  state.running++;
  state.maxRunning = Math.max(state.maxRunning, state.running);
  const run: Run = {
    kind: 'run',
    host: state.options.host,
    instance: state.instance,
    request: arrival.request,
    attempt: arrival.attempt,
    service: arrival.service,
    key: arrival.key,
    slice: arrival.slice,
    generation: arrival.generation,
    idempotent: arrival.idempotent,
    startMs: wallMs,
  };
  note(state, run);
}

/**
 * Draws the service time of one run: exponential above a least time.
 *
 * @param state - The server.
 * @param wallMs - Wall clock.
 * @returns Milliseconds.
 */
export function serviceTimeMs(state: ServerState, wallMs: number): number {
  const mean = state.options.serviceMs;
  const least = mean * MIN_SERVICE_SHARE;
  const tail = -Math.log(1 - state.random()) * (mean - least);
  const factor = wallMs < state.straggleUntilMs ? state.straggleFactor : 1;
  return (least + tail) * factor;
}

/**
 * Carries out an order.
 *
 * @param state - The server.
 * @param order - The order.
 * @param wallMs - Wall clock.
 */
export function obey(
  state: ServerState,
  order: ServerOrder,
  wallMs: number,
): void {
  switch (order.kind) {
    case 'leave':
      state.leavingSinceMs ??= wallMs;
      state.leaveGraceMs = order.graceMs;
      return;
    case 'cold':
      state.completedWarm = 0;
      state.coldSinceMs = wallMs;
      state.symptomMs = null;
      state.coldAnnounced = order.announced;
      if (order.announced) state.instance = newInstance(state.options.host);
      return;
    case 'straggle':
      state.straggleFactor = order.factor;
      state.straggleUntilMs = wallMs + order.forMs;
      return;
    case 'blackhole':
      state.blackhole = order.on;
      state.freshWorks = order.freshWorks;
      return;
    case 'reports':
      state.reports = order.mode;
      return;
    case 'announce':
      state.announces = order.on;
      return;
  }
}

function isStale(
  state: ServerState,
  arrival: Arrival,
  monotonicMs: number,
): boolean {
  if (!state.options.checksGrants || arrival.slice === null) return false;
  const grant = state.grants.get(arrival.slice);
  if (grant === undefined) return true;
  const generation = arrival.generation ?? 0;
  return generation < grant.generation || monotonicMs > grant.untilMs;
}

function noteOverLimit(
  state: ServerState,
  wallMs: number,
  limit: number,
): void {
  const offered = state.running + 1;
  state.symptomMs ??= wallMs;
  note(state, {
    kind: 'overLimit',
    host: state.options.host,
    atMs: wallMs,
    offered,
    bears: limit,
    coldForMs: wallMs - state.coldSinceMs,
    symptomForMs: wallMs - state.symptomMs,
    announced: state.coldAnnounced,
    overrun: offered > limit * state.options.breaksAt,
  });
}

function noteLateWork(
  state: ServerState,
  wallMs: number,
  afterMs: number,
): void {
  note(state, {
    kind: 'lateWork',
    host: state.options.host,
    atMs: wallMs,
    afterMs,
  });
}

/**
 * Finds the key in a path such as `/records/KEY/export`.
 *
 * @param path - Path without query.
 * @returns The decoded key, or empty.
 */
export function keyInPath(path: string): string {
  const [, , key = ''] = path.split('/');
  return decodeURIComponent(key);
}
