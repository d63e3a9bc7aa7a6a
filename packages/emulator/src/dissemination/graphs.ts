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
 * Children of a node in a k-ary tree whose root may be any node.
 *
 * @param node - The node.
 * @param root - The root.
 * @param arity - Children of each inner node.
 * @param nodes - Number of nodes.
 * @returns The children.
 */
export function childrenOf(
  node: number,
  root: number,
  arity: number,
  nodes: number,
): number[] {
  const rank = (node - root + nodes) % nodes;
  const children: number[] = [];
  for (let child = 1; child <= arity; child += 1) {
    const childRank = rank * arity + child;
    if (childRank < nodes) children.push((childRank + root) % nodes);
  }
  return children;
}

/**
 * The graph as it stands when some nodes know an older list of members: they
 * don't know the newcomers, and newcomers are known only to the up-to-date.
 *
 * @param graph - The graph of the newest list.
 * @param isNewcomer - Whether a node joined since the older list.
 * @param isBehind - Whether a node knows only the older list.
 * @returns The graph of pushes; edges may have one direction.
 */
export function withOldViews(
  graph: Graph,
  isNewcomer: (node: number) => boolean,
  isBehind: (node: number) => boolean,
): Graph {
  return graph.map((neighbours, node) =>
    isBehind(node)
      ? neighbours.filter(other => !isNewcomer(other))
      : neighbours,
  );
}
