/**
 * @fileoverview The server of the model. It checks fencing tokens and counts a
 * hold from the arrival of the call, by a slow clock. It answers a release once
 * the work on its slices has ended.
 */

import type {SliceGrant} from '@jackdawfall/core';

import {announcementOf} from './daemon.js';
import type {HeldSlice, ServerCall, World} from './types.js';

/** Time of the first step. */
export const START_MS = 100_000;
/** Factor by which grants last longer, because the server's clock is slow. */
const SLOW_CLOCK_FACTOR = 1.02;

/**
 * Creates the slices of a server that holds none.
 *
 * @param slices - Their number.
 * @returns The slices.
 */
export function createHeldSlices(slices: number): HeldSlice[] {
  return Array.from({length: slices}, () => ({
    generation: 0,
    until: 0,
    releasedBy: [],
  }));
}

/**
 * Lets the server carry out a call that has arrived. A release stops new work
 * on its slices, which are held until the work has ended.
 *
 * @param world - The world.
 * @param call - The call.
 */
export function carryOut(world: World, call: ServerCall): void {
  call.done = true;
  const {generation} = call.grant;
  if (call.ttlMs === null) {
    for (const held of slicesOf(world, call.grant)) {
      if (held.generation <= generation) held.releasedBy.push(call.number);
    }
    return;
  }
  call.refused = !passesFence(world, call);
  if (call.refused) return;
  const until = holdEnd(call, call.arrivedAt ?? world.now);
  for (const held of slicesOf(world, call.grant)) {
    const isRenewal =
      held.generation === generation && held.releasedBy.length === 0;
    held.until = isRenewal ? Math.max(held.until, until) : until;
    held.generation = generation;
    held.releasedBy = [];
  }
}

/**
 * Ends the work for which a release waits. No other work has begun since the
 * first release after the latest grant.
 *
 * @param world - The world.
 * @param call - The release.
 */
export function endWork(world: World, call: ServerCall): void {
  for (const held of slicesOf(world, call.grant)) {
    if (!held.releasedBy.includes(call.number)) continue;
    held.releasedBy = [];
    held.until = 0;
  }
}

/**
 * Returns whether a call may still arrive.
 *
 * @param world - The world.
 * @param call - The call.
 * @returns Whether it is on its way.
 */
export function mayArrive(world: World, call: ServerCall): boolean {
  const {instance} = announcementOf(world.instance);
  if (call.instance !== instance) return false;
  return call.arrivedAt === null && world.now <= call.arrivesBy;
}

/**
 * Returns whether the server would take a grant.
 *
 * @param world - The world.
 * @param call - The call for the grant.
 * @returns False if it has seen a higher fencing token on one of its slices.
 */
export function passesFence(world: World, call: ServerCall): boolean {
  const {grant} = call;
  return slicesOf(world, grant).every(
    held => held.generation <= grant.generation,
  );
}

/**
 * Computes when the hold of a grant ends.
 *
 * @param call - The call for the grant.
 * @param arrivedAt - Time of its arrival.
 * @returns The time.
 */
export function holdEnd(call: ServerCall, arrivedAt: number): number {
  return arrivedAt + (call.ttlMs ?? 0) * SLOW_CLOCK_FACTOR;
}

function slicesOf(
  {held}: World,
  {first, count}: SliceGrant,
): readonly HeldSlice[] {
  return held.slice(first, first + count);
}
