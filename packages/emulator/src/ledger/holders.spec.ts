/** @fileoverview Tests of finding slices that two backend servers hold. */

import type {HoldRecord} from '../server/types.js';

import test from 'ava';

import {findSharedHolds} from './holders.js';
import {verifyOutcomes} from './logic.js';

interface Place {
  readonly host: string;
  readonly instance: string;
}

const A: Place = {host: 'h1', instance: 'h1-1'};
const A_AGAIN: Place = {host: 'h1', instance: 'h1-2'};
const B: Place = {host: 'h2', instance: 'h2-1'};
const SERVICE = 'pairing';

const granted = (
  place: Place,
  monotonicMs: number,
  untilMs: number,
  generation: number,
  slices = [3],
  refused = false,
): HoldRecord => ({
  ...place,
  kind: 'granted',
  service: SERVICE,
  slices,
  generations: slices.map(() => generation),
  monotonicMs,
  untilMs,
  refused,
});

const released = (
  place: Place,
  monotonicMs: number,
  generation: number,
): HoldRecord => ({
  ...place,
  kind: 'released',
  service: SERVICE,
  slices: [3],
  generations: [generation],
  monotonicMs,
});

const ended = (
  place: Place,
  monotonicMs: number,
  reason: 'released' | 'expired' | 'restarted' = 'released',
): HoldRecord => ({
  ...place,
  kind: 'holdEnded',
  service: SERVICE,
  slices: [3],
  monotonicMs,
  reason,
});

const CASES: ReadonlyArray<{
  title: string;
  records: HoldRecord[];
  killedMs?: number;
  shared: Array<[number, number]>;
}> = [
  {
    title: 'a grant after a release whose work has ended',
    records: [
      granted(A, 0, 100, 1),
      released(A, 20, 1),
      ended(A, 30),
      granted(B, 31, 90, 2),
    ],
    shared: [],
  },
  {
    title: 'a grant while released work still runs',
    records: [
      granted(A, 0, 100, 1),
      released(A, 20, 1),
      granted(B, 25, 90, 2),
      ended(A, 30),
    ],
    shared: [[25, 30]],
  },
  {
    title: 'a grant after the time of another one',
    records: [
      granted(A, 0, 100, 1),
      granted(B, 100, 200, 2),
      ended(A, 100, 'expired'),
    ],
    shared: [],
  },
  {
    title: 'a grant within the time of another one',
    records: [granted(A, 0, 100, 1), granted(B, 60, 200, 2)],
    shared: [[60, 100]],
  },
  {
    title: 'a grant within the time of a renewal',
    records: [
      granted(A, 0, 100, 1),
      granted(A, 50, 150, 1),
      granted(B, 110, 200, 2),
    ],
    shared: [[110, 150]],
  },
  {
    title: 'a late renewal after a release',
    records: [
      granted(A, 0, 100, 1),
      released(A, 20, 1),
      ended(A, 20),
      granted(B, 30, 200, 2),
      granted(A, 40, 90, 1),
    ],
    shared: [[40, 90]],
  },
  {
    title: 'a refused grant',
    records: [granted(A, 0, 100, 2), granted(B, 60, 200, 1, [3], true)],
    shared: [],
  },
  {
    title: 'a grant that is over when it is carried out',
    records: [granted(A, 0, 100, 2), granted(B, 60, 50, 1)],
    shared: [],
  },
  {
    title: 'a grant after the other server was killed',
    records: [granted(A, 0, 100, 1), granted(B, 60, 200, 2)],
    killedMs: 59,
    shared: [],
  },
  {
    title: 'a grant before the other server was killed',
    records: [granted(A, 0, 100, 1), granted(B, 60, 200, 2)],
    killedMs: 70,
    shared: [[60, 70]],
  },
  {
    title: 'the next server on the host of a killed one',
    records: [granted(A, 0, 100, 1), granted(A_AGAIN, 60, 200, 2)],
    killedMs: 50,
    shared: [],
  },
  {
    title: 'two servers on one host',
    records: [granted(A, 0, 100, 1), granted(A_AGAIN, 60, 200, 2)],
    shared: [[60, 100]],
  },
  {
    title: 'other slices',
    records: [granted(A, 0, 100, 1, [1, 2]), granted(B, 60, 200, 2, [3, 4])],
    shared: [],
  },
];

for (const {title, records, killedMs, shared} of CASES) {
  test(`shared holds of ${title}`, t => {
    const killed =
      killedMs === undefined ? [] : [{host: A.host, monotonicMs: killedMs}];
    t.deepEqual(
      findSharedHolds(records, killed).map(each => [each.fromMs, each.untilMs]),
      shared,
    );
  });
}

test('a shared hold names both servers with their histories', t => {
  const records = [
    granted(A, 0, 100, 1),
    granted(B, 60, 200, 2, [2, 3]),
    released(A, 70, 1),
    ended(A, 75),
  ];
  t.deepEqual(findSharedHolds(records, []), [
    {
      service: SERVICE,
      slice: 3,
      fromMs: 60,
      untilMs: 75,
      holders: [
        {
          ...A,
          history: [
            '-60.0 ms granted generation 1 until 40.0 ms',
            '10.0 ms asked to release generation 1',
            '15.0 ms hold ended: released',
          ],
        },
        {
          ...B,
          history: ['0.0 ms granted generation 2 until 140.0 ms'],
        },
      ],
    },
  ]);
});

test('a shared hold is a violation', t => {
  const records = [granted(A, 0, 100, 1), granted(B, 60, 200, 2)];
  const {violations} = verifyOutcomes([], records, []);
  t.deepEqual(
    violations.map(({kind}) => kind),
    ['two-holders'],
  );
});
