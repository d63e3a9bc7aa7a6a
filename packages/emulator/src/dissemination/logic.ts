/** @fileoverview How a change spreads: floods, trees, renewals, and figures. */

import type {Graph, Situation, Spread, Summary, View} from './types.js';

/** Time between two renewals of a member with one grantor. */
const RENEW_MS = 500;
/** Time after which a parent takes a silent child's place. */
const REPAIR_MS = 1000;
/** Time at which the calculation gives up. */
const LIMIT_MS = 60_000;

interface Copy {
  readonly from: number;
  readonly to: number;
  readonly hops: number;
}

/** Copies in flight, by the millisecond of their arrival. */
class Flight {
  private readonly slots: (Copy[] | undefined)[] = [];
  private at = 0;

  add(atMs: number, copy: Copy): void {
    (this.slots[atMs] ??= []).push(copy);
  }

  /** Takes the next copies; null when none is left. */
  next(): {atMs: number; copies: Copy[]} | null {
    for (; this.at < this.slots.length; this.at += 1) {
      const copies = this.slots[this.at];
      if (!copies) continue;
      this.slots[this.at] = undefined;
      return {atMs: this.at, copies};
    }
    return null;
  }
}

/**
 * Floods a change: a node passes the first copy to all neighbours but the one
 * that sent it.
 *
 * @param viewOf - The overlay as a node knows it.
 * @param situation - Nodes and delays.
 * @returns How it spread.
 */
export function flood(viewOf: View, situation: Situation): Spread {
  return push(situation, (node, from) =>
    (viewOf(node)[node] ?? [])
      .filter(to => to !== from)
      .map(to => ({to, waitMs: 0})),
  );
}

/**
 * Sends a change down a tree; a parent that hears nothing of a child sends to
 * that child's children instead.
 *
 * @param viewOf - The tree as a node knows it.
 * @param situation - Nodes and delays.
 * @returns How it spread.
 */
export function tree(viewOf: View, situation: Situation): Spread {
  const {alive} = situation;
  const targets = (of: number, view: Graph, waitMs: number): Target[] =>
    (view[of] ?? []).flatMap(child => [
      {to: child, waitMs},
      ...(alive[child] ? [] : targets(child, view, waitMs + REPAIR_MS)),
    ]);
  return push(situation, node => targets(node, viewOf(node), 0));
}

interface Target {
  readonly to: number;
  readonly waitMs: number;
}

function push(
  situation: Situation,
  targetsOf: (node: number, from: number) => readonly Target[],
): Spread {
  const {alive, delay, origin} = situation;
  const spread = emptySpread(situation.nodes);
  const flight = new Flight();
  const deliver = (copy: Copy, atMs: number) => {
    if (!alive[copy.to]) return;
    increment(spread.received, copy.to);
    if (spread.arrivalMs[copy.to] !== Infinity) return;
    spread.arrivalMs[copy.to] = atMs;
    spread.hops[copy.to] = copy.hops;
    for (const {to, waitMs} of targetsOf(copy.to, copy.from)) {
      increment(spread.sent, copy.to);
      const next = {from: copy.to, to, hops: copy.hops + 1};
      flight.add(atMs + waitMs + delay(copy.to, to), next);
    }
  };
  deliver({from: -1, to: origin, hops: 0}, 0);
  for (let step = flight.next(); step; step = flight.next()) {
    for (const copy of step.copies) deliver(copy, step.atMs);
  }
  return spread;
}

/**
 * Spreads a change by renewals alone, or repairs a push by them: each node
 * compares versions with its two grantors, the next two in the ring, and
 * whoever is behind pulls.
 *
 * @param spread - What pushes did; completed in place.
 * @param situation - Nodes and delays.
 * @returns Time until no renewal brings anything new, in milliseconds.
 */
export function renew(spread: Spread, situation: Situation): number {
  const {nodes, alive, delay} = situation;
  const {arrivalMs} = spread;
  let missing = countMissing(spread, alive);
  let lastMs = lastArrival(spread);
  let quietRounds = 0;
  for (let round = 0; missing > 0 && quietRounds < 4; round += 1) {
    if (round * RENEW_MS > LIMIT_MS) break;
    const before = missing;
    for (let turn = 0; turn < nodes; turn += 1) {
      const node = phaseOrder(turn, nodes);
      const atMs = round * RENEW_MS + (turn * RENEW_MS) / nodes;
      for (const step of [1, 2]) {
        missing -= exchange(node, (node + step) % nodes, atMs);
      }
    }
    quietRounds = missing < before || atPush(round) ? 0 : quietRounds + 1;
  }
  return missing > 0 ? Infinity : lastMs;

  function atPush(round: number): boolean {
    return round * RENEW_MS < lastMs;
  }

  function exchange(node: number, grantor: number, atMs: number): number {
    if (!alive[node] || !alive[grantor]) return 0;
    const there = atMs + delay(node, grantor);
    const nodeHas = (arrivalMs[node] ?? 0) <= atMs;
    const grantorHas = (arrivalMs[grantor] ?? 0) <= there;
    if (nodeHas === grantorHas) return 0;
    const [behind, ahead] = nodeHas ? [grantor, node] : [node, grantor];
    if (arrivalMs[behind] !== Infinity) return 0;
    const legs = nodeHas ? 3 : 4;
    arrivalMs[behind] = atMs + legs * delay(node, grantor);
    lastMs = Math.max(lastMs, arrivalMs[behind]);
    increment(spread.sent, ahead);
    increment(spread.received, behind);
    return 1;
  }
}

/**
 * A spread in which only the origin knows the change.
 *
 * @param situation - Nodes and origin.
 * @returns The spread.
 */
export function unspread(situation: Situation): Spread {
  const spread = emptySpread(situation.nodes);
  spread.arrivalMs[situation.origin] = 0;
  return spread;
}

/**
 * Sums up a push, then lets renewals repair it.
 *
 * @param spread - The push; completed in place.
 * @param situation - Nodes and delays.
 * @returns The figures.
 */
export function summarize(spread: Spread, situation: Situation): Summary {
  const {alive} = situation;
  const running = alive.reduce((sum, one) => sum + one, 0);
  const reached = running - countMissing(spread, alive);
  const hops = spread.hops.filter((_, node) => isReached(spread, node));
  const pushMs = lastArrival(spread);
  const wholeMs = renew(spread, situation);
  return {
    reachedByPush: reached / running,
    hopsMean: sum(hops) / reached,
    hopsMax: Math.max(...hops),
    pushMs,
    wholeMs,
    copiesSentMean: sum(spread.sent) / running,
    copiesSentMax: Math.max(...spread.sent),
    copiesReceivedMean: sum(spread.received) / running,
  };
}

function emptySpread(nodes: number): Spread {
  return {
    arrivalMs: new Float64Array(nodes).fill(Infinity),
    hops: new Uint16Array(nodes),
    sent: new Uint32Array(nodes),
    received: new Uint32Array(nodes),
  };
}

function countMissing(spread: Spread, alive: Uint8Array): number {
  let missing = 0;
  for (let node = 0; node < alive.length; node += 1) {
    if (alive[node] && !isReached(spread, node)) missing += 1;
  }
  return missing;
}

function isReached(spread: Spread, node: number): boolean {
  return spread.arrivalMs[node] !== Infinity;
}

function lastArrival(spread: Spread): number {
  let last = 0;
  for (const at of spread.arrivalMs) {
    if (at !== Infinity) last = Math.max(last, at);
  }
  return last;
}

/** Spreads the renewals of neighbours in the ring over the whole interval. */
function phaseOrder(turn: number, nodes: number): number {
  const stride = 2677;
  return (turn * stride) % nodes;
}

function increment(counts: Uint32Array, at: number): void {
  counts[at] = (counts[at] ?? 0) + 1;
}

function sum(values: Uint16Array | Uint32Array): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
