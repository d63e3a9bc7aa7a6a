/** @fileoverview Tests of planning moves by load. */

import test from 'ava';

import type {MemberId, Slice} from '../ids/types.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import {imbalanceOf, planMoves} from './logic.js';
import type {MemberLoad} from './types.js';

const HOT_SHARE = DEFAULT_TUNING.balance.hotShare;

/** Loads with these rates; slices are numbered across members. */
function loadsOf(rates: readonly number[][], capacity = 1): MemberLoad[] {
  let nextSlice = 0;
  return rates.map((own, index) => ({
    member: `h${index}#1` as MemberId,
    capacity,
    slowness: 1,
    total: own.reduce((a, b) => a + b, 0),
    slices: new Map(own.map(rate => [nextSlice++ as Slice, rate])),
  }));
}

const CASES: ReadonlyArray<{
  name: string;
  rates: readonly number[][];
  maxMoves: number;
  /** Slices that move, in order. */
  moved: readonly number[];
}> = [
  {
    name: 'even load',
    rates: [
      [5, 5],
      [5, 5],
    ],
    maxMoves: 4,
    moved: [],
  },
  {name: 'no load', rates: [[0, 0], []], maxMoves: 4, moved: []},
  {
    name: 'slightly uneven load',
    rates: [
      [5, 6],
      [5, 5],
    ],
    maxMoves: 4,
    moved: [],
  },
  {name: 'an idle member', rates: [[10, 10], []], maxMoves: 4, moved: [0]},
  {
    name: 'few large moves are preferred',
    rates: [[1, 1, 1, 9, 8], []],
    maxMoves: 8,
    moved: [3],
  },
  {
    name: 'a hot slice stays, its neighbours move',
    rates: [[50, 5, 5], [5], [5]],
    maxMoves: 8,
    moved: [1, 2],
  },
  {name: 'no move helps', rates: [[50], [5], [5]], maxMoves: 8, moved: []},
  {
    name: 'no more moves than the maximum',
    rates: [[4, 4, 4, 4, 4, 4], []],
    maxMoves: 2,
    moved: [0, 1],
  },
  {name: 'one member', rates: [[9, 9]], maxMoves: 2, moved: []},
];

for (const {name, rates, maxMoves, moved} of CASES) {
  test(`moves for load: ${name}`, t => {
    const moves = planMoves(loadsOf(rates), maxMoves, HOT_SHARE);
    t.deepEqual(
      moves.map(move => Number(move.slice)),
      [...moved],
    );
  });
}

test('load is compared relative to capacity', t => {
  const [small, large] = loadsOf([
    [4, 4],
    [8, 8],
  ]);
  const loads = [small, {...large, capacity: 2}];
  t.deepEqual(planMoves(loads, 8, HOT_SHARE), []);
  t.is(imbalanceOf(loads), 1);
});

test('moves reduce the imbalance', t => {
  const rates = [[30, 20, 9, 3], [8, 1], [2], [1, 1]];
  const loads = loadsOf(rates);
  const before = imbalanceOf(loads);
  for (const {slice, from, to} of planMoves(loads, 8, HOT_SHARE)) {
    const source = loads.findIndex(load => load.member === from);
    const target = loads.findIndex(load => load.member === to);
    const rate = loads[source].slices.get(slice) ?? 0;
    loads[source] = {...loads[source], total: loads[source].total - rate};
    loads[target] = {...loads[target], total: loads[target].total + rate};
  }
  t.true(imbalanceOf(loads) < before);
});

test('load shrinks when it moves to a faster member', t => {
  const [slow, fast] = loadsOf([
    [2, 2, 2],
    [3, 3],
  ]);
  const loads = [
    {...slow, slowness: 3, capacity: 3},
    {...fast, slowness: 1, capacity: 9},
  ];
  t.is(planMoves(loads, 8, HOT_SHARE).length, 2);
});
