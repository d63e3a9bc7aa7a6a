/**
 * @fileoverview A configuration that one daemon reads from its source reaches
 * all others in time, also where no other daemon's source answers, and a daemon
 * that is cut off from some of them.
 */

import type {ExternalConfiguration, Message} from '@jackdawfall/core';
import {mergeTuning} from '@jackdawfall/core';
import test from 'ava';

import {SimulatedCluster} from './cluster.js';
import {makeConfiguration} from './document.js';
import {SLICES} from './formed_cluster.js';

/**
 * Maximum time until all have a configuration that one has read. The platforms
 * demand 2 s from the operator's change on, of which reading takes a part.
 */
const SPREAD_LIMIT_MS = 1500;
const FORM_MS = 12_000;
const STEP_MS = 50;
const CUT_MS = 60_000;

const FLEETS: ReadonlyArray<{
  readonly hosts: number;
  /** Number of hosts that the reader can't reach. */
  readonly cut: number;
}> = [
  {hosts: 3, cut: 0},
  {hosts: 13, cut: 0},
  {hosts: 13, cut: 4},
  {hosts: 100, cut: 0},
  {hosts: 100, cut: 30},
];

function configurationOf(number: number): ExternalConfiguration {
  return {number, document: makeConfiguration(SLICES, number), zonesOut: []};
}

function formFleet(
  hosts: number,
  sizeOf: (message: Message) => number,
): SimulatedCluster {
  const cluster = new SimulatedCluster({
    seed: 8,
    hosts,
    slices: SLICES,
    rulesOff: new Set(),
    sizeOf,
    tuning: mergeTuning({
      loop: {tickMs: 100},
      leases: {leaseMs: 2000, renewMs: 600, suspectMs: 1300},
    }),
  });
  for (let host = 0; host < hosts; host++) cluster.start(host);
  cluster.advance(FORM_MS);
  for (const node of cluster.nodes) readFromSource(cluster, 1, node.host);
  cluster.advance(FORM_MS);
  return cluster;
}

function readFromSource(
  cluster: SimulatedCluster,
  number: number,
  host: number,
): void {
  const node = cluster.liveNodeOn(host);
  if (node === null) throw new Error(`no process on host ${host}`);
  cluster.readConfiguration(node, configurationOf(number));
}

function countOutdated(cluster: SimulatedCluster, number: number): number {
  return cluster
    .liveNodes()
    .filter(({state}) => (state.externalConfiguration?.number ?? 0) < number)
    .length;
}

for (const {hosts, cut} of FLEETS) {
  test(`one of ${hosts} daemons reads a configuration, cut off from ${cut}`, t => {
    const cluster = formFleet(hosts, () => 0);
    for (let host = 1; host <= cut; host++) {
      cluster.cut(0, host, CUT_MS);
      cluster.cut(host, 0, CUT_MS);
    }
    readFromSource(cluster, 2, 0);
    let passed = 0;
    while (countOutdated(cluster, 2) > 0 && passed < CUT_MS) {
      cluster.advance(STEP_MS);
      passed += STEP_MS;
    }
    t.true(passed <= SPREAD_LIMIT_MS, `${passed} ms`);
  });
}

test('no document is sent to daemons that read it at the same time', t => {
  let documents = 0;
  const cluster = formFleet(13, message => {
    if (message.kind === 'configuration') documents += 1;
    return 0;
  });
  documents = 0;
  for (let host = 0; host < 13; host++) readFromSource(cluster, 2, host);
  cluster.advance(FORM_MS);
  t.is(documents, 0);
});
