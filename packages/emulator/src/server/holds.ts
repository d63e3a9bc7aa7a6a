/**
 * @fileoverview Slices that a backend server holds: grants, releases and the
 * work that runs under them.
 */

import type {ServerState, SliceWork} from './state.js';

import {addRecord} from './logic.js';

/** Rate of the clock that measures how long a grant lasts. */
const CLOCK_RATE = 0.98;

/** Body of a call that names slices. */
export interface SliceCall {
  readonly service: string;
  readonly slices: readonly number[];
  /** Generation of each slice, in the order of `slices`. */
  readonly generations: readonly number[];
}

/** Body of a call that grants slices. */
export interface GrantCall extends SliceCall {
  readonly ttlMs: number;
}

/**
 * Carries out a call that grants slices: holds all of them or, if a higher
 * generation of one was granted before, none.
 *
 * @param state - The server.
 * @param call - The call.
 * @param arrivedMs - Monotonic time of its arrival, from which it lasts.
 * @param nowMs - Monotonic time.
 * @returns Whether it was accepted.
 */
export function carryOutGrant(
  state: ServerState,
  call: GrantCall,
  arrivedMs: number,
  nowMs: number,
): boolean {
  endExpiredHolds(state, nowMs);
  const granted = generationsOf(call);
  const {grants, seenGenerations, sliceWork} = state;
  const untilMs = arrivedMs + call.ttlMs / CLOCK_RATE;
  const refused = granted.some(
    ([slice, generation]) => (seenGenerations.get(slice) ?? 0) > generation,
  );
  if (!refused) {
    for (const [slice, generation] of granted) {
      seenGenerations.set(slice, generation);
      if (untilMs <= nowMs) continue;
      const heldUntilMs = grants.get(slice)?.untilMs ?? 0;
      grants.set(slice, {
        generation,
        untilMs: Math.max(untilMs, heldUntilMs),
      });
    }
    for (const work of sliceWork) {
      const held = grants.get(work.slice);
      if (held === undefined || work.released) continue;
      work.untilMs = Math.max(work.untilMs, held.untilMs);
    }
  }
  recordCall(state, call, nowMs, {kind: 'granted', untilMs, refused});
  return !refused;
}

/**
 * Carries out a call that releases slices, up to their generations: no new work
 * starts on them.
 *
 * @param state - The server.
 * @param call - The call.
 * @param nowMs - Monotonic time.
 * @returns The work that was running on these slices.
 */
export function beginRelease(
  state: ServerState,
  call: SliceCall,
  nowMs: number,
): SliceWork[] {
  endExpiredHolds(state, nowMs);
  recordCall(state, call, nowMs, {kind: 'released'});
  const ended = new Set<number>();
  for (const [slice, generation] of generationsOf(call)) {
    const held = state.grants.get(slice);
    if (held !== undefined && held.generation > generation) continue;
    state.grants.delete(slice);
    ended.add(slice);
  }
  const running = [...state.sliceWork].filter(({slice}) => ended.has(slice));
  for (const work of running) work.released = true;
  return running;
}

/**
 * Records the end of a release, once the work on its slices has ended.
 *
 * @param state - The server.
 * @param call - The call.
 * @param nowMs - Monotonic time.
 */
export function endRelease(
  state: ServerState,
  call: SliceCall,
  nowMs: number,
): void {
  const slices = call.slices.filter(slice => !state.grants.has(slice));
  recordEnd(state, slices, nowMs, 'released');
}

/**
 * Ends the holds whose time is over.
 *
 * @param state - The server.
 * @param nowMs - Monotonic time.
 */
export function endExpiredHolds(state: ServerState, nowMs: number): void {
  const expired = [...state.grants].filter(([, {untilMs}]) => untilMs <= nowMs);
  for (const [slice, {untilMs}] of expired) {
    state.grants.delete(slice);
    recordEnd(state, [slice], untilMs, 'expired');
  }
}

/**
 * Ends all holds and the work under them, as a restart does.
 *
 * @param state - The server.
 * @param nowMs - Monotonic time.
 */
export function endAllHolds(state: ServerState, nowMs: number): void {
  endExpiredHolds(state, nowMs);
  const slices = [...state.grants.keys()];
  state.grants.clear();
  state.seenGenerations.clear();
  for (const work of state.sliceWork) work.end();
  recordEnd(state, slices, nowMs, 'restarted');
}

/**
 * Registers work on a slice that the server holds.
 *
 * @param state - The server.
 * @param slice - The slice, or null for a shared service.
 * @param end - Ends the work early.
 * @returns The work, or null if no grant is needed for it.
 */
export function startSliceWork(
  state: ServerState,
  slice: number | null,
  end: () => void,
): SliceWork | null {
  if (!state.options.checksGrants || slice === null) return null;
  const {promise: ended, resolve: finish} = withResolvers();
  const untilMs = state.grants.get(slice)?.untilMs ?? 0;
  const work = {slice, untilMs, released: false, end, ended, finish};
  state.sliceWork.add(work);
  return work;
}

function withResolvers(): {promise: Promise<void>; resolve: () => void} {
  let resolve: () => void = () => undefined;
  const promise = new Promise<void>(done => {
    resolve = done;
  });
  return {promise, resolve};
}

function generationsOf(call: SliceCall): Array<[number, number]> {
  return call.slices.map((slice, index) => [
    slice,
    call.generations[index] ?? 0,
  ]);
}

function recordCall(
  state: ServerState,
  {service, slices, generations}: SliceCall,
  monotonicMs: number,
  call:
    | {readonly kind: 'released'}
    | {
        readonly kind: 'granted';
        readonly untilMs: number;
        readonly refused: boolean;
      },
): void {
  if (!state.options.checksGrants) return;
  const {instance} = state;
  const {host} = state.options;
  const common = {host, instance, service, slices, generations, monotonicMs};
  addRecord(state, {...common, ...call});
}

function recordEnd(
  state: ServerState,
  slices: readonly number[],
  monotonicMs: number,
  reason: 'released' | 'expired' | 'restarted',
): void {
  if (!state.options.checksGrants || slices.length === 0) return;
  const {instance} = state;
  const {host, service} = state.options;
  addRecord(state, {
    kind: 'holdEnded',
    host,
    instance,
    service,
    slices,
    monotonicMs,
    reason,
  });
}
