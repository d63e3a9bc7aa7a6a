/** @fileoverview Spreads over small graphs that can be worked out by hand. */

import test from 'ava';
import {hypercube, powersOfTwo, randomGraph, treeFrom} from './graphs.js';
import {flood, renew, summarize, tree, unspread} from './logic.js';
import {randomFrom} from './situations.js';
import type {Situation} from './types.js';

function situation(nodes: number, dead: readonly number[] = []): Situation {
  const alive = new Uint8Array(nodes).fill(1);
  for (const node of dead) alive[node] = 0;
  return {nodes, alive, origin: 0, delay: () => 10};
}

test('an incomplete hypercube joins every node to the first', t => {
  for (const nodes of [1, 2, 5, 6, 13, 100]) {
    const place = situation(nodes);
    const {reachedByPush, hopsMax} = summarize(
      flood(() => hypercube(nodes), place),
      place,
    );
    t.is(reachedByPush, 1);
    t.true(hopsMax <= Math.ceil(Math.log2(nodes)));
  }
});

const FLOODS = [
  {dead: [], arrivals: [0, 10, 10, 20], sent: 2 + 1 + 1 + 1},
  {dead: [1], arrivals: [0, Infinity, 10, 20], sent: 2 + 1 + 1},
  {dead: [1, 2], arrivals: [0, Infinity, Infinity, Infinity], sent: 2},
];

for (const {dead, arrivals, sent} of FLOODS) {
  test(`flood of a square without [${dead.join()}]`, t => {
    const spread = flood(() => hypercube(4), situation(4, dead));
    t.deepEqual([...spread.arrivalMs], arrivals);
    t.is(
      spread.sent.reduce((sum, one) => sum + one, 0),
      sent,
    );
  });
}

test('a ring at powers of two', t => {
  t.deepEqual(powersOfTwo([4, 0, 2, 3, 1], 6), [
    [2, 3, 4],
    [4, 0, 3],
    [3, 1, 0],
    [1, 4, 2],
    [0, 2, 1],
    [],
  ]);
});

test('a tree has each node once', t => {
  const order = Array.from({length: 50}, (_, node) => node);
  const children = treeFrom(order, 7, 3, 50).flat();
  t.deepEqual(
    children.sort((a, b) => a - b),
    order.filter(node => node !== 7),
  );
  t.deepEqual(treeFrom(order, 99, 3, 50).flat(), []);
});

test('a dead inner node of a tree costs the repair time', t => {
  const graph = treeFrom([0, 1, 2, 3, 4, 5, 6], 0, 2, 7);
  const spread = tree(() => graph, situation(7, [1]));
  t.deepEqual([...spread.arrivalMs], [0, Infinity, 10, 1010, 1010, 20, 20]);
});

test('renewals reach all, also past one dead neighbour', t => {
  const place = situation(40, [5]);
  const spread = unspread(place);
  const whole = renew(spread, place);
  t.true(Number.isFinite(whole));
  t.is(spread.arrivalMs.filter(at => at === Infinity).length, 1);
});

test('renewals do not pass two dead neighbours on both sides', t => {
  const place = situation(40, [5, 6, 20, 21]);
  t.is(renew(unspread(place), place), Infinity);
});

test('the same seed gives the same graph', t => {
  const graph = () => randomGraph(100, 3, randomFrom(9));
  t.deepEqual(graph(), graph());
});
