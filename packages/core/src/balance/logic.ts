/** @fileoverview Which slices to move so that the hottest member cools. */

import type {Slice} from '../ids/types.js';
import type {LoadMove, MemberLoad} from './types.js';

/** A move must take at least this share of the mean off the hottest. */
const LEAST_GAIN_SHARE = 0.02;

interface Working {
  readonly load: MemberLoad;
  readonly slices: Map<Slice, number>;
  total: number;
}

/**
 * Plans the fewest moves that bring the hottest members near the mean. Each
 * move is the one that lowers the higher of both ends most; a slice that is
 * too hot to move stays and its neighbours go.
 *
 * @param loads - Load of every member that takes work.
 * @param budget - Most moves.
 * @param hotShare - A member this far above the mean is relieved.
 * @returns The moves, the best first.
 */
export function planMoves(
  loads: readonly MemberLoad[],
  budget: number,
  hotShare: number,
): LoadMove[] {
  const members = loads.map(load => ({
    load,
    slices: new Map(load.slices),
    total: load.total,
  }));
  const mean = meanOf(members);
  const moves: LoadMove[] = [];
  while (moves.length < budget && members.length > 1 && mean > 0) {
    const move = bestMove(members, hotShare * mean, mean);
    if (move === null) break;
    moves.push(move);
  }
  return moves;
}

/**
 * Finds how unevenly work is spread.
 *
 * @param loads - Load of every member.
 * @returns Load of the hottest member over the mean; 1 without any load.
 */
export function imbalanceOf(loads: readonly MemberLoad[]): number {
  const members = loads.map(load => ({
    load,
    slices: new Map(load.slices),
    total: load.total,
  }));
  const mean = meanOf(members);
  if (mean === 0) return 1;
  return Math.max(...members.map(levelOf)) / mean;
}

/** Takes the best move off the members, or returns null. */
function bestMove(
  members: readonly Working[],
  hotLevel: number,
  mean: number,
): LoadMove | null {
  const hot = members.reduce((a, b) => (levelOf(b) > levelOf(a) ? b : a));
  const cold = members.reduce((a, b) => (levelOf(b) < levelOf(a) ? b : a));
  if (levelOf(hot) < hotLevel) return null;
  let best: {slice: Slice; rate: number; gain: number} | null = null;
  for (const [slice, rate] of hot.slices) {
    const gain = gainOf(hot, cold, rate);
    if (best === null || isBetter(gain, rate, best)) best = {slice, rate, gain};
  }
  if (best === null || best.gain < LEAST_GAIN_SHARE * mean) return null;
  hot.slices.delete(best.slice);
  hot.total -= best.rate;
  cold.total += rateAt(hot, cold, best.rate);
  const from = hot.load.member;
  return {slice: best.slice, from, to: cold.load.member};
}

/** Of two moves that help alike, the one that disturbs less work. */
function isBetter(
  gain: number,
  rate: number,
  than: {rate: number; gain: number},
): boolean {
  if (gain !== than.gain) return gain > than.gain;
  return rate < than.rate;
}

/** How far the higher of both levels falls. */
function gainOf(hot: Working, cold: Working, rate: number): number {
  const after = Math.max(
    (hot.total - rate) / hot.load.capacity,
    (cold.total + rateAt(hot, cold, rate)) / cold.load.capacity,
  );
  return levelOf(hot) - after;
}

/** The same work keeps fewer slots busy at a faster member. */
function rateAt(from: Working, to: Working, rate: number): number {
  return (rate * to.load.slowness) / from.load.slowness;
}

function levelOf(member: Working): number {
  return member.total / member.load.capacity;
}

function meanOf(members: readonly Working[]): number {
  let total = 0;
  let capacity = 0;
  for (const member of members) {
    total += member.total;
    capacity += member.load.capacity;
  }
  return capacity === 0 ? 0 : total / capacity;
}
