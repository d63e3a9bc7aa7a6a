/** @fileoverview Tests of choosing a server, near ones first. */

import test from 'ava';

import type {
  Address,
  AttemptId,
  CostClass,
  MemberId,
  ServiceName,
  ZoneName,
} from '../ids/types.js';
import type {ServingMember} from '../ownership/types.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import type {SelectionContext} from './logic.js';
import {
  chooseServer,
  createSelectionState,
  recordLatency,
  recordPenalty,
  recordReportedLoad,
  recordReportedWork,
  recordSent,
} from './logic.js';
import type {SelectionState} from './types.js';

const SERVICE = 'yard' as ServiceName;
const NEAR = 'h0#1' as MemberId;
const SLOTS = 10;
const NOW = 10_000;
const HALF_LIFE_MS = 1000;

const SERVERS: readonly ServingMember[] = [0, 1, 2, 3].map(index => ({
  member: `h${index}#1` as MemberId,
  address: '127.0.0.1:1' as Address,
  zone: `zone-${index}` as ZoneName,
  slots: SLOTS,
}));

function contextWith(changes: Partial<SelectionContext>): SelectionContext {
  return {
    service: SERVICE,
    now: NOW,
    zone: SERVERS[0].zone,
    random: 0,
    objectiveMs: 300,
    excluded: [],
    tuning: DEFAULT_TUNING.routing,
    ...changes,
  };
}

/** Share of the choices that fall on the server in the same zone. */
function nearShare(
  selection: SelectionState,
  changes: Partial<SelectionContext>,
): number {
  const draws = 120;
  let near = 0;
  for (let draw = 0; draw < draws; draw++) {
    const context = contextWith({random: draw / draws, ...changes});
    const chosen = chooseServer(selection, SERVERS, context);
    if (chosen?.member === NEAR) near += 1;
  }
  return near / draws;
}

function learnLatencies(selection: SelectionState, nearMs: number): void {
  for (const {member} of SERVERS) {
    const ms = member === NEAR ? nearMs : 40;
    recordLatency(selection, member, SERVICE, ms, NOW, HALF_LIFE_MS);
  }
}

const CASES: ReadonlyArray<{
  name: string;
  prepare?: (selection: SelectionState) => void;
  changes?: Partial<SelectionContext>;
  /** Lowest and highest share of the choices for the near server. */
  expected: readonly [number, number];
}> = [
  {name: 'nothing is known', expected: [1, 1]},
  {
    name: 'it is as fast as the others',
    prepare: selection => learnLatencies(selection, 40),
    expected: [1, 1],
  },
  {
    name: 'it is slower, but fast enough',
    prepare: selection => learnLatencies(selection, 120),
    expected: [1, 1],
  },
  {
    name: 'it is too slow for the objective',
    prepare: selection => learnLatencies(selection, 250),
    expected: [0, 0],
  },
  {
    name: 'it is slow, and there is no objective',
    prepare: selection => learnLatencies(selection, 250),
    changes: {objectiveMs: 0},
    expected: [1, 1],
  },
  {
    name: 'it reports that its slots are in use',
    prepare: selection => {
      learnLatencies(selection, 40);
      recordReportedLoad(selection, NEAR, SLOTS, NOW);
    },
    expected: [0, 0.1],
  },
  {
    name: 'this daemon keeps its slots in use',
    prepare: selection => {
      learnLatencies(selection, 40);
      for (let index = 0; index < SLOTS; index++) {
        recordSent(selection, NEAR, `a${index}` as AttemptId, NOW);
      }
    },
    expected: [0, 0.1],
  },
  {
    name: 'it refused an attempt',
    prepare: selection => recordPenalty(selection, NEAR, NOW + 1),
    expected: [0, 0],
  },
  {
    name: 'it is excluded',
    changes: {excluded: [NEAR]},
    expected: [0, 0],
  },
  {
    name: 'no server is in the zone',
    changes: {zone: 'zone-9' as ZoneName},
    expected: [0.2, 0.8],
  },
];

for (const {name, prepare, changes = {}, expected} of CASES) {
  test(`the share of the near server if ${name}`, t => {
    const selection = createSelectionState();
    prepare?.(selection);
    const share = nearShare(selection, changes);
    const [least, most] = expected;
    t.true(share >= least && share <= most, `${share}`);
  });
}

const KEY = {service: SERVICE, costClass: 4 as CostClass};
/** Two servers of another zone, so that no zone preference applies. */
const PAIR = SERVERS.slice(1, 3);
const [A, B] = PAIR.map(({member}) => member);

function reportWork(
  selection: SelectionState,
  member: MemberId,
  workMs: number,
  expectedMs: number,
  at = NOW,
): void {
  const report = {workMs, expectedMs};
  recordReportedWork(selection, member, KEY, report, at);
}

// Of equal counts and latencies, the server with less work must be chosen.
const BY_COST: ReadonlyArray<{
  name: string;
  prepare: (selection: SelectionState) => void;
  now?: number;
  expected: MemberId;
}> = [
  {
    name: 'less work, although it has more attempts',
    prepare: selection => {
      recordReportedLoad(selection, A, 3, NOW);
      recordReportedLoad(selection, B, 9, NOW);
      reportWork(selection, A, 900, 100);
      reportWork(selection, B, 300, 100);
    },
    expected: B,
  },
  {
    name: 'work sent since the report',
    prepare: selection => {
      reportWork(selection, A, 100, 100);
      reportWork(selection, B, 110, 100);
      for (let attempt = 0; attempt < 8; attempt++) {
        const id = `a${attempt}` as AttemptId;
        recordSent(selection, A, id, NOW + 1, KEY);
      }
    },
    expected: B,
  },
  {
    name: 'the faster server',
    prepare: selection => {
      for (let report = 0; report < 20; report++) {
        reportWork(selection, A, 50, 160);
        reportWork(selection, B, 50, 60);
      }
    },
    expected: B,
  },
  {
    name: 'counts, after reports have grown old',
    prepare: selection => {
      reportWork(selection, A, 900, 100);
      reportWork(selection, B, 300, 100);
      recordReportedLoad(selection, A, 1, NOW + 20_000);
      recordReportedLoad(selection, B, 9, NOW + 20_000);
    },
    now: NOW + 20_000,
    expected: A,
  },
];

for (const {name, prepare, now = NOW + 2, expected} of BY_COST) {
  test(`by cost: ${name}`, t => {
    const selection = createSelectionState();
    prepare(selection);
    const {costClass} = KEY;
    for (const random of [0, 0.6]) {
      const context = contextWith({zone: null, now, random, costClass});
      t.is(chooseServer(selection, PAIR, context)?.member, expected);
    }
  });
}

// A silent server sends no reports, and its last one may have been low.
test('by cost: a server that is silent is avoided', t => {
  const selection = createSelectionState();
  reportWork(selection, A, 100, 100);
  reportWork(selection, B, 300, 100);
  for (const member of [A, B]) {
    recordLatency(selection, member, SERVICE, 100, NOW, HALF_LIFE_MS);
  }
  recordSent(selection, A, 'a1' as AttemptId, NOW, KEY);
  const {costClass} = KEY;
  const context = contextWith({zone: null, now: NOW + 500, costClass});
  t.is(chooseServer(selection, PAIR, context)?.member, A);
  reportWork(selection, B, 300, 100, NOW + 4000);
  const later = {...context, now: NOW + 4000};
  t.is(chooseServer(selection, PAIR, later)?.member, B);
});
