/** @fileoverview Tests of what a signal does before and after it is handled. */

import {EventEmitter} from 'node:events';

import test from 'ava';

import {ProcessSignals} from './signals.js';

interface Case {
  readonly name: string;
  /** Signals before the process handles them, and after. */
  readonly early: readonly string[];
  readonly late: readonly string[];
  /** Early signals that get the system's default action. */
  readonly unheard: readonly string[];
  /** Names of the signals that the handler gets. */
  readonly handled: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: 'a stop is requested before the start',
    early: ['SIGTERM', 'SIGINT'],
    late: [],
    unheard: ['SIGTERM', 'SIGINT'],
    handled: [],
  },
  {
    name: 'a reload is requested before the start',
    early: ['SIGHUP', 'SIGHUP'],
    late: ['SIGTERM'],
    unheard: [],
    handled: ['SIGHUP', 'SIGTERM'],
  },
  {
    name: 'a series of signals',
    early: [],
    late: ['SIGINT', 'SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGHUP', 'SIGINT'],
    unheard: [],
    handled: ['SIGINT', 'SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGHUP', 'SIGINT'],
  },
];

// Guards against signals that end the process by the system's default action,
// although it has requests or their sender asked for something else.
for (const {name, early, late, unheard, handled} of CASES) {
  test(`${name}: ${handled.length} signals are handled`, t => {
    const source = new EventEmitter();
    const signals = new ProcessSignals(source);
    const names: string[] = [];
    const notHeard = early.filter(each => !source.emit(each));
    signals.handle(signal => names.push(signal.name));
    for (const each of late) t.true(source.emit(each));
    t.deepEqual(notHeard, unheard);
    t.deepEqual(names, handled);
  });
}
