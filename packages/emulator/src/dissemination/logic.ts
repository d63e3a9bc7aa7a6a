/**
 * @fileoverview Calculates how a change spreads by flooding, down a tree or by
 * lease renewals.
 */

import type {
  Graph,
  NetworkState,
  Propagation,
  Summary,
  GraphView,
} from './types.js';

/** Interval of a member's renewals with each grantor. */
const RENEWAL_INTERVAL_MS = 500;
/** Time after which a parent sends to the children of a silent child. */
const REPAIR_MS = 1000;
/** Time after which the calculation ends. */
const LIMIT_MS = 60_000;

/** A copy of the change on its way. */
interface Copy {
  readonly from: number;
  readonly to: number;
  readonly hops: number;
}

/** Copies in flight by the time of their arrival, in whole milliseconds. */
class CopiesInFlight {
  private readonly slots: (Copy[] | undefined)[] = [];
  private nowMs = 0;

  add(atMs: number, copy: Copy): void {
    (this.slots[atMs] ??= []).push(copy);
  }

  /** Removes and returns the copies that arrive next; null if none is left. */
  next(): {atMs: number; copies: Copy[]} | null {
    for (; this.nowMs < this.slots.length; this.nowMs += 1) {
      const copies = this.slots[this.nowMs];
      if (!copies) continue;
      this.slots[this.nowMs] = undefined;
      return {atMs: this.nowMs, copies};
    }
    return null;
  }
}

/**
 * Floods a change: a node forwards the first copy to all neighbours but the one
 * that sent it.
 *
 * @param viewOf - The overlay from the view of a node.
 * @param network - Nodes and delays.
 * @returns How the change spreads.
 */
export function flood(viewOf: GraphView, network: NetworkState): Propagation {
  return propagate(network, (node, from) =>
    (viewOf(node)[node] ?? [])
      .filter(to => to !== from)
      .map(to => ({to, delayMs: 0})),
  );
}

/**
 * Sends a change down a tree. A parent that gets no reply from a child sends to
 * that child's children instead.
 *
 * @param viewOf - The tree from the view of a node.
 * @param network - Nodes and delays.
 * @returns How the change spreads.
 */
export function sendDownTree(
  viewOf: GraphView,
  network: NetworkState,
): Propagation {
  const {alive} = network;
  const targets = (of: number, view: Graph, delayMs: number): Target[] =>
    (view[of] ?? []).flatMap(child => [
      {to: child, delayMs},
      ...(alive[child] ? [] : targets(child, view, delayMs + REPAIR_MS)),
    ]);
  return propagate(network, node => targets(node, viewOf(node), 0));
}

/** A node to which a copy is sent after a delay. */
interface Target {
  readonly to: number;
  readonly delayMs: number;
}

/** Sends copies from node to node; a node ignores all but the first one. */
function propagate(
  network: NetworkState,
  targetsOf: (node: number, from: number) => readonly Target[],
): Propagation {
  const {alive, delay, origin} = network;
  const result = emptyPropagation(network.nodes);
  const inFlight = new CopiesInFlight();
  const deliver = (copy: Copy, atMs: number) => {
    if (!alive[copy.to]) return;
    increment(result.received, copy.to);
    if (result.arrivalMs[copy.to] !== Infinity) return;
    result.arrivalMs[copy.to] = atMs;
    result.hops[copy.to] = copy.hops;
    for (const {to, delayMs} of targetsOf(copy.to, copy.from)) {
      increment(result.sent, copy.to);
      const next = {from: copy.to, to, hops: copy.hops + 1};
      inFlight.add(atMs + delayMs + delay(copy.to, to), next);
    }
  };
  deliver({from: -1, to: origin, hops: 0}, 0);
  for (let step = inFlight.next(); step; step = inFlight.next()) {
    for (const copy of step.copies) deliver(copy, step.atMs);
  }
  return result;
}

/**
 * Brings a change to the nodes that pushes missed. Each node compares versions
 * with its two grantors, the next two nodes in the ring, at every renewal, and
 * whoever is behind pulls.
 *
 * @param propagation - How pushes have spread the change; updated in place.
 * @param network - Nodes and delays.
 * @returns Time until every running node has the change, in milliseconds;
 *     Infinity if some can't be reached.
 */
export function repairByRenewals(
  propagation: Propagation,
  network: NetworkState,
): number {
  const {nodes, alive, delay} = network;
  const {arrivalMs} = propagation;
  let missing = countMissing(propagation, alive);
  let lastMs = lastArrival(propagation);
  let idleRounds = 0;
  for (let round = 0; missing > 0 && idleRounds < 4; round += 1) {
    if (round * RENEWAL_INTERVAL_MS > LIMIT_MS) break;
    const before = missing;
    for (let position = 0; position < nodes; position += 1) {
      const node = nodeAtPosition(position, nodes);
      const atMs =
        round * RENEWAL_INTERVAL_MS + (position * RENEWAL_INTERVAL_MS) / nodes;
      for (const step of [1, 2]) {
        missing -= exchange(node, (node + step) % nodes, atMs);
      }
    }
    idleRounds = missing < before || isDuringPush(round) ? 0 : idleRounds + 1;
  }
  return missing > 0 ? Infinity : lastMs;

  function isDuringPush(round: number): boolean {
    return round * RENEWAL_INTERVAL_MS < lastMs;
  }

  function exchange(node: number, grantor: number, atMs: number): number {
    if (!alive[node] || !alive[grantor]) return 0;
    const receivedAtMs = atMs + delay(node, grantor);
    const nodeHas = (arrivalMs[node] ?? 0) <= atMs;
    const grantorHas = (arrivalMs[grantor] ?? 0) <= receivedAtMs;
    if (nodeHas === grantorHas) return 0;
    const [behind, ahead] = nodeHas ? [grantor, node] : [node, grantor];
    if (arrivalMs[behind] !== Infinity) return 0;
    // A grantor pulls after the renewal, a node after the reply to it.
    const messages = nodeHas ? 3 : 4;
    arrivalMs[behind] = atMs + messages * delay(node, grantor);
    lastMs = Math.max(lastMs, arrivalMs[behind]);
    increment(propagation.sent, ahead);
    increment(propagation.received, behind);
    return 1;
  }
}

/**
 * Describes a change that only its origin has yet.
 *
 * @param network - Nodes and origin.
 * @returns The propagation without any push.
 */
export function originOnly(network: NetworkState): Propagation {
  const propagation = emptyPropagation(network.nodes);
  propagation.arrivalMs[network.origin] = 0;
  return propagation;
}

/**
 * Computes the statistics of a push and of its repair by renewals.
 *
 * @param propagation - The push; updated in place by the repair.
 * @param network - Nodes and delays.
 * @returns The statistics.
 */
export function summarize(
  propagation: Propagation,
  network: NetworkState,
): Summary {
  const {alive} = network;
  const running = alive.reduce((sum, one) => sum + one, 0);
  const reached = running - countMissing(propagation, alive);
  const hops = propagation.hops.filter((_, node) =>
    isReached(propagation, node),
  );
  const pushMs = lastArrival(propagation);
  const wholeMs = repairByRenewals(propagation, network);
  return {
    reachedByPush: reached / running,
    hopsMean: sum(hops) / reached,
    hopsMax: Math.max(...hops),
    pushMs,
    wholeMs,
    copiesSentMean: sum(propagation.sent) / running,
    copiesSentMax: Math.max(...propagation.sent),
    copiesReceivedMean: sum(propagation.received) / running,
  };
}

function emptyPropagation(nodes: number): Propagation {
  return {
    arrivalMs: new Float64Array(nodes).fill(Infinity),
    hops: new Uint16Array(nodes),
    sent: new Uint32Array(nodes),
    received: new Uint32Array(nodes),
  };
}

function countMissing(propagation: Propagation, alive: Uint8Array): number {
  let missing = 0;
  for (let node = 0; node < alive.length; node += 1) {
    if (alive[node] && !isReached(propagation, node)) missing += 1;
  }
  return missing;
}

function isReached(propagation: Propagation, node: number): boolean {
  return propagation.arrivalMs[node] !== Infinity;
}

function lastArrival(propagation: Propagation): number {
  let last = 0;
  for (const at of propagation.arrivalMs) {
    if (at !== Infinity) last = Math.max(last, at);
  }
  return last;
}

/**
 * Permutes the nodes, so renewals of neighbours in the ring are spread over
 * the whole interval.
 */
function nodeAtPosition(position: number, nodes: number): number {
  const stride = 2677;
  return (position * stride) % nodes;
}

function increment(counts: Uint32Array, at: number): void {
  counts[at] = (counts[at] ?? 0) + 1;
}

function sum(values: Uint16Array | Uint32Array): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
