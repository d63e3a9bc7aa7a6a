/** @fileoverview Tests of random scenarios. */

import type {Step} from '../scenario/types.js';

import test from 'ava';

import {STEP_SCHEMAS} from '../scenario/types.js';
import {buildOwnersScenario, parseKnownRedSeeds} from './logic.js';

const SEEDS = Array.from({length: 50}, (_, index) => index + 1);
const SECONDS = 30;
const HOSTS = 5;
/** The step that ends what each step begins. */
const ENDS: ReadonlyMap<string, string> = new Map([
  ['freeze', 'wake'],
  ['kill', 'restart'],
]);

test('the same seed gives the same scenario, another seed another one', t => {
  const [first, again, other] = [1, 1, 2].map(seed =>
    buildOwnersScenario(seed, SECONDS, HOSTS, true),
  );
  t.deepEqual(first, again);
  t.notDeepEqual(first?.beside, other?.beside);
});

for (const [begin, end] of ENDS) {
  test(`each ${begin} is followed by a ${end} of the same target`, t => {
    const unended = sequences().flatMap(sequence =>
      sequence.filter(({name, args}, index) => {
        if (name !== begin) return false;
        const later = sequence[index + 2];
        const target = JSON.stringify(args);
        return later?.name !== end || JSON.stringify(later.args) !== target;
      }),
    );
    t.deepEqual(unended, []);
  });
}

test('a host whose daemon got a series of signals is started again', t => {
  const signalled = sequences(true).filter(sequence =>
    sequence.some(({name}) => name === 'reload'),
  );
  t.true(signalled.length > SEEDS.length);
  for (const sequence of signalled) {
    const names = sequence.map(({name}) => name);
    t.true(names.lastIndexOf('restart') > names.lastIndexOf('reload'));
    t.true(names.lastIndexOf('restart') > names.lastIndexOf('kill'));
  }
});

test('zones that are taken out come back', t => {
  for (const sequence of sequences()) {
    const changes = sequence.filter(step => step.name === 'zone');
    t.not(changes.at(-1)?.args.out, true);
  }
});

test('a sequence ends with the load', t => {
  for (const sequence of sequences()) {
    const waits = sequence.map(step => (step.name === 'wait' ? step.args : 0));
    const totalMs = waits.reduce((sum, ms) => sum + ms, 0);
    t.true(totalMs > 0 && totalMs < SECONDS * 1000);
  }
});

const KINDS = [
  'freeze',
  'kill',
  'restart',
  'spoil',
  'stop',
  'straggle',
  'wait',
  'wake',
  'zone',
];

for (const {signals, kinds} of [
  {signals: false, kinds: KINDS},
  {signals: true, kinds: [...KINDS, 'reload'].sort()},
]) {
  test(`every kind of disturbance occurs, series of signals: ${signals}`, t => {
    const steps = sequences(signals).flat();
    const names = new Set<string>(steps.map(({name}) => name));
    t.deepEqual([...names].sort(), kinds);
    t.true(kinds.every(name => Object.hasOwn(STEP_SCHEMAS, name)));
  });
}

function sequences(signals = false): ReadonlyArray<readonly Step[]> {
  return SEEDS.flatMap(
    seed => buildOwnersScenario(seed, SECONDS, HOSTS, signals).beside ?? [],
  );
}

const KNOWN_RED = `Tests that fail.

- random stops, two holders. Command: npm run owners -- --seed 14 --seconds 20
- random stops, two holders. Command: npm run owners -- --signals --seed 2
- random stops. Command: npm run owners -- --seed 3 --seconds 20
- scenario two_holders. Command: npm run scenarios -- two_holders
`;

for (const {signals, seeds} of [
  {signals: false, seeds: [14]},
  {signals: true, seeds: [2]},
]) {
  test(`seeds known to have two holders, series of signals: ${signals}`, t => {
    t.deepEqual([...parseKnownRedSeeds(KNOWN_RED, signals)], seeds);
  });
}
