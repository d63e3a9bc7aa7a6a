/** @fileoverview Tests of the scenario language. */

import {readFileSync, readdirSync} from 'node:fs';

import test from 'ava';

import {ScenarioError, knownRed, parseScenario} from './logic.js';

const FOLDER = new URL('../../../../scenarios/', import.meta.url);
const HEAD = 'title: t\nshows: s\ntimeout: 5s\nsteps:\n';
const START = '  - start: {zones: [a], services: [finder]}\n';

for (const file of readdirSync(FOLDER)) {
  test(`${file} is well-formed`, t => {
    const text = readFileSync(new URL(file, FOLDER), 'utf8');
    t.true(parseScenario(file, text).steps.length > 0);
  });
}

const FAULTS: ReadonlyArray<{text: string; path: string}> = [
  {text: 'title: t\nsteps: []\n', path: 'shows'},
  {text: `${HEAD}  - wait: 1s\n`, path: 'steps.0'},
  {text: `${HEAD}${START}  - explode: now\n`, path: 'steps.1'},
  {text: `${HEAD}${START}  - wait: soon\n`, path: 'steps.1.wait'},
  {text: `${HEAD}${START}  - {wait: 1s, heal: links}\n`, path: 'steps.1'},
  {
    text: `${HEAD}${START}  - store: {fault: outage, mode: odd}\n`,
    path: 'steps.1.store.mode',
  },
  {
    text: `${HEAD}${START}  - zone: {name: a, out: 3}\n`,
    path: 'steps.1.zone.out',
  },
  {text: '{', path: ''},
];

for (const {text, path} of FAULTS) {
  test(`${JSON.stringify(text)} is refused at "${path}"`, t => {
    const error = t.throws(() => parseScenario('s', text), {
      instanceOf: ScenarioError,
    });
    t.true(error.faults.some(fault => fault.path === path));
  });
}

test('times are read in milliseconds', t => {
  const text = `${HEAD}${START}  - wait: 1.5s\n  - wait: 20ms\n`;
  const {steps} = parseScenario('s', text);
  t.deepEqual(
    steps.slice(1).map(step => step.says),
    [1500, 20],
  );
});

test('known failures are read by name', t => {
  const text = 'scenario kill_host: unserved 3.2 s, issue 4\nsoak seed 3\n';
  t.deepEqual([...knownRed(text)], ['kill_host']);
});
