/** @fileoverview Tests of choosing a server, near ones first. */

import test from 'ava';

import type {
  Address,
  AttemptId,
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
