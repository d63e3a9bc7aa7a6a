/** @fileoverview Tests of requests to check the settings. */

import test from 'ava';

import type {LogFields} from '../logs/types.js';
import {SettingsCheck} from './settings_check.js';

interface Case {
  readonly name: string;
  /** Requests before the first check ends. */
  readonly requests: number;
  readonly reports: readonly LogFields[];
}

const CASES: readonly Case[] = [
  {name: 'one request', requests: 1, reports: [{changed: false}]},
  {
    name: 'requests during a check',
    requests: 5,
    reports: [{changed: false}, {detail: 'Error: unreadable'}],
  },
];

// Guards against a check for each of many signals, and against a change that is
// missed since the file was read before it.
for (const {name, requests, reports} of CASES) {
  test(`${name}: ${reports.length} checks`, async t => {
    const outcomes = [
      () => Promise.resolve(false),
      () => Promise.reject(new Error('unreadable')),
    ];
    const received: LogFields[] = [];
    const check = new SettingsCheck(
      () => outcomes.shift()?.() ?? Promise.resolve(true),
      fields => received.push(fields),
    );
    for (let count = 0; count < requests; count++) check.request();
    await new Promise(setImmediate);
    t.deepEqual(received, reports);
  });
}
