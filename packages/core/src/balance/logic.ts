/** @fileoverview Planning of moves that even out the load of members. */

import type {Slice} from '../ids/types.js';
import type {LoadMove, MemberLoad} from './types.js';

/** Minimum gain of a move, as a share of the mean utilization. */
const MIN_GAIN_SHARE = 0.004;
/**
 * Share of the mean utilization below which a member gets slices, though none
 * is overloaded: one that has just joined, or lost its hot key.
 */
const IDLE_SHARE = 0.5;

/** Load of a member after the moves planned so far. */
interface PlannedLoad {
  readonly load: MemberLoad;
  readonly slices: Map<Slice, number>;
  total: number;
}

/**
 * Plans few moves that bring the most utilized members near the mean. Each step
 * moves a slice from the most utilized member to one below the mean, such that
 * the higher utilization of the two falls most. A slice that would overload
 * every target stays; other slices of its owner move instead. A member without a
 * useful move is left as it is, and the next one is considered.
 *
 * @param loads - Load of every member that takes new work.
 * @param maxMoves - Maximum number of moves.
 * @param hotShare - Ratio of a member's utilization to the mean from which its
 *   slices move away.
 * @returns The moves in the order they were planned.
 */
export function planMoves(
  loads: readonly MemberLoad[],
  maxMoves: number,
  hotShare: number,
): LoadMove[] {
  const members = loads.map(createPlannedLoad);
  const mean = meanUtilization(members);
  const moves: LoadMove[] = [];
  const sources = new Set<PlannedLoad>(members);
  while (moves.length < maxMoves && sources.size > 0 && mean > 0) {
    const busiest = mostUtilized([...sources]);
    const leastBusy = leastUtilized(members);
    const isHot = utilizationOf(busiest) >= hotShare * mean;
    const isIdle = utilizationOf(leastBusy) < IDLE_SHARE * mean;
    if (!isHot && !isIdle) break;
    const move = applyBestMove(busiest, members, mean);
    if (move === null) sources.delete(busiest);
    else moves.push(move);
  }
  return moves;
}

/**
 * Weights the slots of members by their speed. While half of the slots are
 * free, work goes to fast members, which respond sooner; the fuller the slots,
 * the more work slow members get, up to their share of the slots.
 *
 * @param loads - Load of every member; the capacities are numbers of slots.
 * @returns The loads with weighted capacities.
 */
export function weightBySpeed(loads: readonly MemberLoad[]): MemberLoad[] {
  const busy = loads.reduce((sum, {total}) => sum + total, 0);
  const slots = loads.reduce((sum, {capacity}) => sum + capacity, 0);
  const free = slots === 0 ? 0 : Math.max(0, 1 - busy / slots);
  const exponent = Math.min(1, 2 * free);
  return loads.map(load => ({
    ...load,
    capacity: load.capacity / load.slowness ** exponent,
  }));
}

/**
 * Computes how unevenly load is spread.
 *
 * @param loads - Load of every member.
 * @returns Highest utilization over the mean; 1 without load.
 */
export function imbalanceOf(loads: readonly MemberLoad[]): number {
  const members = loads.map(createPlannedLoad);
  const mean = meanUtilization(members);
  if (mean === 0) return 1;
  return Math.max(...members.map(utilizationOf)) / mean;
}

function createPlannedLoad(load: MemberLoad): PlannedLoad {
  return {load, slices: new Map(load.slices), total: load.total};
}

function mostUtilized(members: readonly PlannedLoad[]): PlannedLoad {
  return members.reduce((a, b) =>
    utilizationOf(b) > utilizationOf(a) ? b : a,
  );
}

function leastUtilized(members: readonly PlannedLoad[]): PlannedLoad {
  return members.reduce((a, b) =>
    utilizationOf(b) < utilizationOf(a) ? b : a,
  );
}

/** A move that a step may apply. */
interface Candidate {
  readonly slice: Slice;
  readonly rate: number;
  readonly to: PlannedLoad;
  readonly gain: number;
}

/** Applies the best move away from a member; returns null if none helps. */
function applyBestMove(
  busiest: PlannedLoad,
  members: readonly PlannedLoad[],
  mean: number,
): LoadMove | null {
  let best: Candidate | null = null;
  for (const to of members) {
    if (to === busiest || utilizationOf(to) >= mean) continue;
    for (const [slice, rate] of busiest.slices) {
      const gain = gainOf(busiest, to, rate);
      const candidate = {slice, rate, to, gain};
      if (best === null || isBetter(candidate, best)) best = candidate;
    }
  }
  if (best === null || best.gain < MIN_GAIN_SHARE * mean) return null;
  const {slice, rate, to} = best;
  busiest.slices.delete(slice);
  busiest.total -= rate;
  to.total += rateAfterMove(busiest, to, rate);
  return {slice, from: busiest.load.member, to: to.load.member};
}

/**
 * Prefers the higher gain, then the slice with the lower rate, then the less
 * utilized target.
 */
function isBetter(a: Candidate, b: Candidate): boolean {
  if (a.gain !== b.gain) return a.gain > b.gain;
  if (a.rate !== b.rate) return a.rate < b.rate;
  return utilizationOf(a.to) < utilizationOf(b.to);
}

/** Returns how far the higher utilization of the two members falls. */
function gainOf(busiest: PlannedLoad, to: PlannedLoad, rate: number): number {
  const after = Math.max(
    (busiest.total - rate) / busiest.load.capacity,
    (to.total + rateAfterMove(busiest, to, rate)) / to.load.capacity,
  );
  return utilizationOf(busiest) - after;
}

/**
 * Returns the load of a slice after its move: the same work keeps fewer slots
 * busy on a faster member.
 */
function rateAfterMove(
  from: PlannedLoad,
  to: PlannedLoad,
  rate: number,
): number {
  return (rate * to.load.slowness) / from.load.slowness;
}

/** Busy slots over capacity. */
function utilizationOf(member: PlannedLoad): number {
  return member.total / member.load.capacity;
}

/**
 * Returns the utilization that every member would have if the present work were
 * spread evenly. Work is counted as it is on the fastest member, since the same
 * work keeps more slots busy on a slower one.
 */
function meanUtilization(members: readonly PlannedLoad[]): number {
  let work = 0;
  let capacity = 0;
  for (const {total, load} of members) {
    work += total / load.slowness;
    capacity += load.capacity / load.slowness;
  }
  return capacity === 0 ? 0 : work / capacity;
}
