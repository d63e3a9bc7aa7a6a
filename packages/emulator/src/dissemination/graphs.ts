/** @fileoverview The overlays that are compared. */

import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {Graph} from './types.js';

/**
 * An incomplete hypercube: neighbours differ in one bit of their number, and
 * numbers past the last node are left out.
 *
 * @param nodes - Number of nodes.
 * @returns The graph.
 */
export function hypercube(nodes: number): Graph {
  const bits = Math.ceil(Math.log2(nodes));
  return Array.from({length: nodes}, (_, node) => {
    const neighbours: number[] = [];
    for (let bit = 0; bit < bits; bit += 1) {
      const other = node ^ (1 << bit);
      if (other < nodes) neighbours.push(other);
    }
    return neighbours;
  });
}

/**
 * A random graph in which each node picks the same number of others; edges
 * count in both directions.
 *
 * @param nodes - Number of nodes.
 * @param picks - Others picked by each node: half of the mean degree.
 * @param random - Seeded source.
 * @returns The graph.
 */
export function randomGraph(
  nodes: number,
  picks: number,
  random: RandomGenerator,
): Graph {
  const neighbours = Array.from({length: nodes}, () => new Set<number>());
  for (let node = 0; node < nodes; node += 1) {
    for (let pick = 0; pick < picks; pick += 1) {
      const other = uniformInt(random, 0, nodes - 1);
      if (other === node) continue;
      neighbours[node]?.add(other);
      neighbours[other]?.add(node);
    }
  }
  return neighbours.map(set => [...set]);
}

/**
 * A ring in which each node knows those at distances of powers of two.
 * Edges have one direction.
 *
 * @param order - The nodes in the order of the ring.
 * @param nodes - Number of all nodes.
 * @returns The graph; nodes that are not in the ring have no neighbours.
 */
export function powersOfTwo(order: readonly number[], nodes: number): Graph {
  const graph = emptyGraph(nodes);
  for (const [at, node] of order.entries()) {
    for (let distance = 1; distance < order.length; distance *= 2) {
      const other = order[(at + distance) % order.length];
      if (other !== undefined) graph[node]?.push(other);
    }
  }
  return graph;
}

/**
 * A k-ary tree over nodes in order, rooted at any of them. Edges lead to
 * children.
 *
 * @param order - The nodes.
 * @param root - The root; without it in the order there is no tree.
 * @param arity - Children of each inner node.
 * @param nodes - Number of all nodes.
 * @returns The graph.
 */
export function treeFrom(
  order: readonly number[],
  root: number,
  arity: number,
  nodes: number,
): Graph {
  const graph = emptyGraph(nodes);
  const start = order.indexOf(root);
  if (start < 0) return graph;
  const ranked = [...order.slice(start), ...order.slice(0, start)];
  for (const [rank, node] of ranked.entries()) {
    const first = rank * arity + 1;
    graph[node]?.push(...ranked.slice(first, first + arity));
  }
  return graph;
}

/**
 * Leaves nodes out of everybody's neighbours.
 *
 * @param graph - The graph.
 * @param isKnown - Whether a node is kept.
 * @returns The graph without them.
 */
export function without(
  graph: Graph,
  isKnown: (node: number) => boolean,
): Graph {
  return graph.map(neighbours => neighbours.filter(isKnown));
}

function emptyGraph(nodes: number): number[][] {
  return Array.from({length: nodes}, () => []);
}
