/**
 * @fileoverview A fleet that starts at once forms within a bound of time and of
 * writes to the store, however many daemons race for the first log entries.
 */

import test from 'ava';
import {mergeTuning} from '@jackdawfall/core';

import {SLICES} from './formed_cluster.js';
import {SimulatedCluster} from './cluster.js';

/** Time within which all daemons start. */
const START_MS = 300;
/**
 * Maximum time until every daemon is a member: from the first start, or from a
 * loss of all to which `RESTART_MS` belong.
 */
const FORM_LIMIT_MS = 3000;
/** Time after which a fleet has formed and is calm. */
const FORMED_MS = 10_000;
const GIVE_UP_MS = 20_000;
/** Time until processes that were killed are started again. */
const RESTART_MS = 1100;
const STEP_MS = 100;
/** Maximum delay of a timer on a host with a quarter of a core. */
const MAX_TICK_DELAY_MS = 30;
/** Maximum writes until all are members, besides one for every ten daemons. */
const MAX_WRITES = 10;
const DAEMONS_PER_WRITE = 10;
/** Maximum reads of each daemon: the snapshot, the log and one repetition. */
const MAX_READS_EACH = 3;

const FLEETS: ReadonlyArray<{
  readonly hosts: number;
  readonly killed: 'none' | 'first members' | 'all' | 'all after a join';
}> = [
  {hosts: 10, killed: 'none'},
  {hosts: 30, killed: 'none'},
  {hosts: 100, killed: 'none'},
  {hosts: 30, killed: 'first members'},
  {hosts: 30, killed: 'all'},
  {hosts: 30, killed: 'all after a join'},
];

function createFleet(hosts: number): SimulatedCluster {
  return new SimulatedCluster({
    seed: 5,
    hosts,
    slices: SLICES,
    rulesOff: new Set(),
    maxTickDelayMs: MAX_TICK_DELAY_MS,
    tuning: mergeTuning({
      loop: {tickMs: 100},
      leases: {leaseMs: 2000, renewMs: 600, suspectMs: 1300},
      membership: {soleProcess: true},
    }),
  });
}

function startAll(cluster: SimulatedCluster, hosts: number): void {
  for (let host = 0; host < hosts; host++) {
    cluster.start(host);
    cluster.advance(START_MS / hosts);
  }
}

/** Returns whether every live daemon is a member. */
function hasFormed(cluster: SimulatedCluster): boolean {
  return cluster.liveNodes().every(({state}) => state.phase === 'joined');
}

for (const {hosts, killed} of FLEETS) {
  test(`a fleet of ${hosts} daemons forms in time, killed: ${killed}`, t => {
    const cluster = createFleet(hosts);
    startAll(cluster, hosts);
    if (killed === 'first members') {
      const members = cluster
        .liveNodes()
        .filter(({state}) => state.phase === 'joined');
      t.true(members.length > 0);
      for (const node of members.slice(0, 3)) cluster.kill(node);
    }
    const killsAll = killed === 'all' || killed === 'all after a join';
    if (killsAll) cluster.advance(FORMED_MS);
    if (killed === 'all after a join') {
      cluster.kill(cluster.nodes[0]);
      cluster.start(0);
      while (!hasFormed(cluster)) cluster.advance(STEP_MS);
    }
    if (killsAll) {
      for (const node of cluster.liveNodes()) cluster.kill(node);
      cluster.advance(RESTART_MS);
    }
    const {writes, reads} = cluster.store;
    const startedAt = killsAll ? cluster.now : 0;
    if (killsAll) startAll(cluster, hosts);
    while (cluster.now - startedAt < GIVE_UP_MS && !hasFormed(cluster)) {
      cluster.advance(STEP_MS);
    }
    const formedMs = cluster.now - startedAt;
    const limitMs = killsAll ? FORM_LIMIT_MS - RESTART_MS : FORM_LIMIT_MS;
    t.true(formedMs <= limitMs, `formed after ${formedMs} ms`);
    const before = killsAll ? {writes, reads} : {writes: 0, reads: 0};
    const written = cluster.store.writes - before.writes;
    // A grantor that was named before its successor joined has to be replaced.
    const rowWrites = killsAll ? hosts : 0;
    const maxWrites = MAX_WRITES + hosts / DAEMONS_PER_WRITE + rowWrites;
    t.true(written <= maxWrites, `${written} writes`);
    const read = cluster.store.reads - before.reads;
    t.true(read <= MAX_READS_EACH * hosts, `${read} reads`);
  });
}
