/** @fileoverview Planning of moves that even out the load of members. */

import type {Slice} from '../ids/types.js';
import type {LoadMove, MemberLoad} from './types.js';

/** Minimum gain of a move, as a share of the mean utilization. */
const MIN_GAIN_SHARE = 0.02;

/** Load of a member after the moves planned so far. */
interface PlannedLoad {
  readonly load: MemberLoad;
  readonly slices: Map<Slice, number>;
  total: number;
}

/**
 * Plans few moves that bring the most utilized members near the mean. Each step
 * moves a slice from the most to the least utilized member, such that the
 * higher utilization of the two falls most. A slice that would overload the
 * target stays; other slices of its owner move instead.
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
  const members = loads.map(load => ({
    load,
    slices: new Map(load.slices),
    total: load.total,
  }));
  const mean = meanUtilization(members);
  const moves: LoadMove[] = [];
  while (moves.length < maxMoves && members.length > 1 && mean > 0) {
    const move = applyBestMove(members, hotShare * mean, mean);
    if (move === null) break;
    moves.push(move);
  }
  return moves;
}

/**
 * Computes how unevenly load is spread.
 *
 * @param loads - Load of every member.
 * @returns Highest utilization over the mean; 1 without load.
 */
export function imbalanceOf(loads: readonly MemberLoad[]): number {
  const members = loads.map(load => ({
    load,
    slices: new Map(load.slices),
    total: load.total,
  }));
  const mean = meanUtilization(members);
  if (mean === 0) return 1;
  return Math.max(...members.map(utilizationOf)) / mean;
}

/** Applies the best move to `members` and returns it; null if none helps. */
function applyBestMove(
  members: readonly PlannedLoad[],
  hotUtilization: number,
  mean: number,
): LoadMove | null {
  const busiest = members.reduce((a, b) =>
    utilizationOf(b) > utilizationOf(a) ? b : a,
  );
  const leastBusy = members.reduce((a, b) =>
    utilizationOf(b) < utilizationOf(a) ? b : a,
  );
  if (utilizationOf(busiest) < hotUtilization) return null;
  let best: {slice: Slice; rate: number; gain: number} | null = null;
  for (const [slice, rate] of busiest.slices) {
    const gain = gainOf(busiest, leastBusy, rate);
    if (best === null || isBetter(gain, rate, best)) best = {slice, rate, gain};
  }
  if (best === null || best.gain < MIN_GAIN_SHARE * mean) return null;
  busiest.slices.delete(best.slice);
  busiest.total -= best.rate;
  leastBusy.total += rateAfterMove(busiest, leastBusy, best.rate);
  const from = busiest.load.member;
  return {slice: best.slice, from, to: leastBusy.load.member};
}

/** Of two moves with the same gain, prefers the one with the lower rate. */
function isBetter(
  gain: number,
  rate: number,
  other: {rate: number; gain: number},
): boolean {
  if (gain !== other.gain) return gain > other.gain;
  return rate < other.rate;
}

/** Returns how far the higher utilization of the two members falls. */
function gainOf(
  busiest: PlannedLoad,
  leastBusy: PlannedLoad,
  rate: number,
): number {
  const after = Math.max(
    (busiest.total - rate) / busiest.load.capacity,
    (leastBusy.total + rateAfterMove(busiest, leastBusy, rate)) /
      leastBusy.load.capacity,
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

function meanUtilization(members: readonly PlannedLoad[]): number {
  let total = 0;
  let capacity = 0;
  for (const member of members) {
    total += member.total;
    capacity += member.load.capacity;
  }
  return capacity === 0 ? 0 : total / capacity;
}
