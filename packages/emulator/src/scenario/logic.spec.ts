/** @fileoverview Tests of reading scenario files and the known failures. */

import {readFileSync, readdirSync} from 'node:fs';

import test from 'ava';

import {ScenarioError, parseKnownRed, parseScenario} from './logic.js';

const FOLDER = new URL('../../../../scenarios/', import.meta.url);
const HEADER = 'title: t\nshows: s\ntimeout: 5s\nsteps:\n';
const START = '  - start: {zones: [a], services: [finder]}\n';

for (const file of readdirSync(FOLDER)) {
  test(`${file} is well-formed`, t => {
    const text = readFileSync(new URL(file, FOLDER), 'utf8');
    t.true(parseScenario(file, text).steps.length > 0);
  });
}

const INVALID: ReadonlyArray<{text: string; path: string}> = [
  {text: 'title: t\nsteps: []\n', path: 'shows'},
  {text: `${HEADER}  - wait: 1s\n`, path: 'steps.0'},
  {text: `${HEADER}${START}  - explode: now\n`, path: 'steps.1'},
  {text: `${HEADER}${START}  - wait: soon\n`, path: 'steps.1.wait'},
  {text: `${HEADER}${START}  - {wait: 1s, heal: links}\n`, path: 'steps.1'},
  {
    text: `${HEADER}${START}  - store: {fault: outage, mode: odd}\n`,
    path: 'steps.1.store.mode',
  },
  {
    text: `${HEADER}${START}  - zone: {name: a, out: 3}\n`,
    path: 'steps.1.zone.out',
  },
  {text: '{', path: ''},
];

for (const {text, path} of INVALID) {
  test(`${JSON.stringify(text)} is rejected at "${path}"`, t => {
    const error = t.throws(() => parseScenario('s', text), {
      instanceOf: ScenarioError,
    });
    t.true(error.faults.some(fault => fault.path === path));
  });
}

test('durations are read in milliseconds', t => {
  const text = `${HEADER}${START}  - wait: 1.5s\n  - wait: 20ms\n`;
  const {steps} = parseScenario('s', text);
  t.deepEqual(
    steps.slice(1).map(step => step.args),
    [1500, 20],
  );
});

test('known failures are read by name', t => {
  const text = 'scenario kill_host: unserved 3.2 s, issue 4\nsoak seed 3\n';
  t.deepEqual([...parseKnownRed(text)], ['kill_host']);
});
