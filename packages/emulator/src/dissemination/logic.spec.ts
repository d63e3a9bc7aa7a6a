/** @fileoverview Tests with small graphs whose results are known by hand. */

import test from 'ava';
import {hypercube, powerOfTwoRing, randomGraph, rootedTree} from './graphs.js';
import {
  flood,
  repairByRenewals,
  summarize,
  sendDownTree,
  originOnly,
} from './logic.js';
import {randomFrom} from './populations.js';
import type {NetworkState} from './types.js';

/** A network in which every message takes 10 ms. */
function networkOf(
  nodes: number,
  failed: readonly number[] = [],
): NetworkState {
  const alive = new Uint8Array(nodes).fill(1);
  for (const node of failed) alive[node] = 0;
  return {nodes, alive, origin: 0, delay: () => 10};
}

test('an incomplete hypercube connects every node with the first', t => {
  for (const nodes of [1, 2, 5, 6, 13, 100]) {
    const network = networkOf(nodes);
    const {reachedByPush, hopsMax} = summarize(
      flood(() => hypercube(nodes), network),
      network,
    );
    t.is(reachedByPush, 1);
    t.true(hopsMax <= Math.ceil(Math.log2(nodes)));
  }
});

const FLOODS = [
  {failed: [], arrivals: [0, 10, 10, 20], sent: 2 + 1 + 1 + 1},
  {failed: [1], arrivals: [0, Infinity, 10, 20], sent: 2 + 1 + 1},
  {failed: [1, 2], arrivals: [0, Infinity, Infinity, Infinity], sent: 2},
];

for (const {failed, arrivals, sent} of FLOODS) {
  test(`flood of a square without [${failed.join()}]`, t => {
    const propagation = flood(() => hypercube(4), networkOf(4, failed));
    t.deepEqual([...propagation.arrivalMs], arrivals);
    t.is(
      propagation.sent.reduce((sum, one) => sum + one, 0),
      sent,
    );
  });
}

test('neighbours in a ring are at distances of powers of two', t => {
  t.deepEqual(powerOfTwoRing([4, 0, 2, 3, 1], 6), [
    [2, 3, 4],
    [4, 0, 3],
    [3, 1, 0],
    [1, 4, 2],
    [0, 2, 1],
    [],
  ]);
});

test('a tree has each node but the root once as a child', t => {
  const order = Array.from({length: 50}, (_, node) => node);
  const children = rootedTree(order, 7, 3, 50).flat();
  t.deepEqual(
    children.sort((a, b) => a - b),
    order.filter(node => node !== 7),
  );
  t.deepEqual(rootedTree(order, 99, 3, 50).flat(), []);
});

test('a failed inner node of a tree delays its children by the repair time', t => {
  const graph = rootedTree([0, 1, 2, 3, 4, 5, 6], 0, 2, 7);
  const propagation = sendDownTree(() => graph, networkOf(7, [1]));
  t.deepEqual(
    [...propagation.arrivalMs],
    [0, Infinity, 10, 1010, 1010, 20, 20],
  );
});

test('renewals reach all nodes next to one failed neighbour', t => {
  const network = networkOf(40, [5]);
  const propagation = originOnly(network);
  const wholeMs = repairByRenewals(propagation, network);
  t.true(Number.isFinite(wholeMs));
  t.is(propagation.arrivalMs.filter(at => at === Infinity).length, 1);
});

test('renewals do not cross two failed neighbours on both sides', t => {
  const network = networkOf(40, [5, 6, 20, 21]);
  t.is(repairByRenewals(originOnly(network), network), Infinity);
});

test('the same seed gives the same graph', t => {
  const graph = () => randomGraph(100, 3, randomFrom(9));
  t.deepEqual(graph(), graph());
});
