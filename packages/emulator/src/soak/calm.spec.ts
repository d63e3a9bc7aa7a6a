/**
 * @fileoverview A calm cluster makes no store calls: with replies that take up
 * to a fifth of a second, no lease runs low, no row is written and no member is
 * suspected. The times of a tuning depend on one another, so each of those that
 * the product ships is played.
 */

import test from 'ava';
import {mergeTuning} from '@jackdawfall/core';
import type {PartialTuning} from '@jackdawfall/core';

import {SimulatedCluster} from './cluster.js';
import {SLICES, formCluster} from './formed_cluster.js';

const HOSTS = 6;
const FORM_MS = 10_000;
const CALM_MS = 60_000;
/** Maximum added delay of a message; a reply takes up to twice this. */
const MAX_DELAY_MS = 100;
/** Maximum delay of a timer on a host with a quarter of a core. */
const MAX_TICK_DELAY_MS = 30;

const TUNINGS: ReadonlyArray<readonly [string, PartialTuning]> = [
  ['the defaults', {}],
  [
    'the tuning of the platform',
    {
      loop: {tickMs: 100},
      leases: {leaseMs: 2000, renewMs: 600, suspectMs: 1300},
    },
  ],
];

for (const [name, partial] of TUNINGS) {
  test(`a calm cluster makes no store calls with ${name}`, t => {
    const cluster = formCluster(HOSTS, 11, {
      maxTickDelayMs: MAX_TICK_DELAY_MS,
      tuning: mergeTuning(partial),
    });
    for (let host = 0; host < HOSTS; host++) {
      cluster.slowLinks(host, MAX_DELAY_MS / 2, CALM_MS);
    }
    const {reads, writes} = cluster.store;
    cluster.advance(CALM_MS);
    t.is(cluster.store.writes - writes, 0);
    t.is(cluster.store.reads - reads, 0);
  });
}

test('no member is suspected while a fleet grows', t => {
  const [, [, partial]] = TUNINGS;
  const cluster = new SimulatedCluster({
    seed: 12,
    hosts: 2 * HOSTS,
    slices: SLICES,
    rulesOff: new Set(),
    maxTickDelayMs: MAX_TICK_DELAY_MS,
    tuning: mergeTuning(partial),
  });
  const suspected = new Set<string>();
  const observe = (ms: number): void => {
    for (let passed = 0; passed < ms; passed += 100) {
      cluster.advance(100);
      for (const {state} of cluster.liveNodes()) {
        for (const member of state.evictions.keys()) suspected.add(member);
      }
    }
  };
  for (let host = 0; host < 2 * HOSTS; host++) {
    cluster.start(host);
    observe(500);
  }
  observe(FORM_MS);
  t.deepEqual([...suspected], []);
});
