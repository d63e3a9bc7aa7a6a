/** @fileoverview Builds the graphs of the overlays that are compared. */

import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {Graph} from './types.js';

/**
 * Builds an incomplete hypercube: the numbers of neighbours differ in one bit,
 * and numbers beyond the last node are left out.
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
 * Builds a random graph in which each node picks the same number of others.
 * Edges have both directions.
 *
 * @param nodes - Number of nodes.
 * @param picks - Nodes that each node picks: half of the mean degree.
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
 * Builds a ring in which the neighbours of a node are at distances of powers of
 * two. Edges have one direction.
 *
 * @param order - The nodes of the ring, in order.
 * @param nodes - Number of all nodes.
 * @returns The graph; nodes outside of the ring have no neighbours.
 */
export function powerOfTwoRing(order: readonly number[], nodes: number): Graph {
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
 * Builds a k-ary tree with any node as its root. Edges lead to children.
 *
 * @param order - The nodes of the tree, in order.
 * @param root - The root; if it isn't among the nodes, the graph is empty.
 * @param arity - Number of children of each inner node.
 * @param nodes - Number of all nodes.
 * @returns The graph.
 */
export function rootedTree(
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
 * Removes nodes from the lists of neighbours.
 *
 * @param graph - The graph.
 * @param isKnown - Whether a node is kept.
 * @returns The graph without edges to the other nodes.
 */
export function withoutNodes(
  graph: Graph,
  isKnown: (node: number) => boolean,
): Graph {
  return graph.map(neighbours => neighbours.filter(isKnown));
}

function emptyGraph(nodes: number): number[][] {
  return Array.from({length: nodes}, () => []);
}
