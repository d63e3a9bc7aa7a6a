/** @fileoverview Tests of the capacity and refusals of a backend server. */

import type {IncomingRequest} from './logic.js';
import type {Refusal, ServerOptions, ServerCommand} from './types.js';

import test from 'ava';

import {
  currentCapacity,
  startRun,
  parseKey,
  executeCommand,
  findRefusal,
} from './logic.js';
import {createServerState} from './state.js';

const OPTIONS: ServerOptions = {
  port: 0,
  controlPort: 0,
  host: 'h1',
  service: 'finder',
  announceTo: '',
  slots: 4,
  connections: 10,
  checksGrants: true,
  serviceMs: 1,
  coldSlots: 1,
  completedPerSlot: 2,
  breaksAt: 2,
  seed: 1,
};

const INCOMING: IncomingRequest = {
  request: 'r1',
  attempt: 'a1',
  service: 'finder',
  key: 'k',
  slice: 3,
  generation: 5,
  deadlineMs: null,
  idempotent: true,
};

const CASES: ReadonlyArray<{
  title: string;
  grant: {generation: number; untilMs: number} | null;
  completed: number;
  running: number;
  commands: ServerCommand[];
  refusal: Refusal | null;
}> = [
  {
    title: 'a valid grant',
    grant: {generation: 5, untilMs: 200},
    completed: 6,
    running: 3,
    commands: [],
    refusal: null,
  },
  {
    title: 'no grant',
    grant: null,
    completed: 6,
    running: 0,
    commands: [],
    refusal: 'stale-grant',
  },
  {
    title: 'a newer generation of the slice',
    grant: {generation: 6, untilMs: 200},
    completed: 6,
    running: 0,
    commands: [],
    refusal: 'stale-grant',
  },
  {
    title: 'an expired grant',
    grant: {generation: 5, untilMs: 99},
    completed: 6,
    running: 0,
    commands: [],
    refusal: 'stale-grant',
  },
  {
    title: 'a second request on a cold server',
    grant: {generation: 5, untilMs: 200},
    completed: 0,
    running: 1,
    commands: [],
    refusal: 'cold',
  },
  {
    title: 'a second request after an unannounced cold start',
    grant: {generation: 5, untilMs: 200},
    completed: 6,
    running: 1,
    commands: [{kind: 'cold', announced: false}],
    refusal: 'cold',
  },
  {
    title: 'full slots',
    grant: {generation: 5, untilMs: 200},
    completed: 6,
    running: 4,
    commands: [],
    refusal: 'shedding',
  },
  {
    title: 'a server that is leaving',
    grant: {generation: 5, untilMs: 200},
    completed: 6,
    running: 0,
    commands: [{kind: 'leave', graceMs: 0}],
    refusal: 'draining',
  },
];

for (const {title, grant, completed, running, commands, refusal} of CASES) {
  test(`findRefusal: ${title}`, t => {
    const state = createServerState(
      OPTIONS,
      () => 0.5,
      () => undefined,
    );
    if (grant !== null) state.grants.set(3, grant);
    state.completedSinceCold = completed;
    for (const command of commands) executeCommand(state, command, 999);
    for (let i = 0; i < running; i++) startRun(state, INCOMING, 1000);
    t.is(findRefusal(state, INCOMING, 1000, 100), refusal);
  });
}

test('capacity grows with completed requests up to the slots', t => {
  const state = createServerState(
    OPTIONS,
    () => 0.5,
    () => undefined,
  );
  const capacities = [0, 1, 2, 4, 6, 100].map(completed => {
    state.completedSinceCold = completed;
    return currentCapacity(state);
  });
  t.deepEqual(capacities, [1, 1, 2, 3, 4, 4]);
});

const PATHS: ReadonlyArray<{path: string; key: string}> = [
  {path: '/finder/key-1', key: 'key-1'},
  {path: '/records/key-1/export', key: 'key-1'},
  {path: '/finder/a%20b', key: 'a b'},
  {path: '/finder', key: ''},
];

for (const {path, key} of PATHS) {
  test(`the key in ${path} is "${key}"`, t => {
    t.is(parseKey(path), key);
  });
}
