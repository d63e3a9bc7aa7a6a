/** @fileoverview Benches of the request routing policy, in virtual time. */

import {measureOverload} from '../../requests/overload.js';
import {measureTail} from '../../requests/tail.js';
import type {Bench, Measurement, Measurements} from '../types.js';

const SEED = 1;
const ROUNDING_FACTOR = 1000;

/** Measures tail latency with one slow server. */
export const tailBench: Bench = {
  name: 'tail',
  text: 'latency with one of four servers 20 times slower for 10 s, virtual time',
  run() {
    const policies = Object.entries(measureTail(SEED));
    const rounded = policies.map(([name, group]) => [name, round({...group})]);
    return Promise.resolve(Object.fromEntries(rounded) as Measurements);
  },
};

/** Measures goodput and latency under overload. */
export const overloadBench: Bench = {
  name: 'overload',
  text: 'responses and latency at 0.5, 1, 2 and 5 times capacity, virtual time',
  run() {
    const {keyed, shared} = measureOverload(SEED);
    return Promise.resolve({
      keyed: keyed.map(group => round({...group})),
      shared: shared.map(group => round({...group})),
    });
  },
};

function round(group: Readonly<Record<string, number>>): Measurement {
  const rounded = Object.entries(group).map(([name, value]) => [
    name,
    Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR,
  ]);
  return Object.fromEntries(rounded) as Measurement;
}
