/** @fileoverview Tests of joining, and of failover after the loss of members. */

import test from 'ava';

import type {SimulatedCluster} from './cluster.js';
import {formCluster, ownerOf, unservedSlices} from './formed_cluster.js';
import type {SimulatedNode} from './node.js';

/** Target: every key is served again within 3 s of the loss of its host. */
const FAILOVER_MS = 3000;

for (const hosts of [1, 2, 3, 5, 8]) {
  test(`${hosts} members join and own every slice`, t => {
    const cluster = formCluster(hosts, hosts);
    t.is(cluster.violation, null);
    t.deepEqual(unservedSlices(cluster), []);
    for (const node of cluster.liveNodes()) {
      t.is(node.state.map.members.size, hosts);
      t.is(node.ownershipView.workspace?.version, 1);
    }
  });
}

const LOSSES = [
  {name: 'a crash', lose: (c: SimulatedCluster, n: SimulatedNode) => c.kill(n)},
  {
    name: 'a freeze',
    lose: (c: SimulatedCluster, n: SimulatedNode) => c.freeze(n, 9000, true),
  },
];

for (const hosts of [3, 6, 8]) {
  for (const {name, lose} of LOSSES) {
    test(`slices of one of ${hosts} are served again after ${name}`, t => {
      const cluster = formCluster(hosts, 7);
      const victim = ownerOf(cluster, 0);
      t.truthy(victim);
      if (victim === undefined) return;
      lose(cluster, victim);
      cluster.advance(FAILOVER_MS);
      t.deepEqual(unservedSlices(cluster), []);
      cluster.advance(20000);
      t.is(cluster.violation, null);
      t.deepEqual(unservedSlices(cluster), []);
    });
  }
}

for (const hosts of [6, 8]) {
  test(`every slice is served again after a zone of ${hosts} is lost`, t => {
    const cluster = formCluster(hosts, 11);
    for (const node of cluster.liveNodes()) {
      if (node.host % 3 === 0) cluster.kill(node);
    }
    cluster.advance(FAILOVER_MS);
    t.deepEqual(unservedSlices(cluster), []);
    t.is(cluster.violation, null);
  });
}

for (const seed of [1, 2, 3]) {
  test(`no key is unserved in a store outage, and failover works, ${seed}`, t => {
    const cluster = formCluster(6, seed);
    cluster.setStoreMode({kind: 'down'}, 60_000);
    for (let second = 0; second < 50; second++) {
      cluster.advance(1000);
      t.deepEqual(unservedSlices(cluster), []);
    }
    const victim = ownerOf(cluster, 0);
    if (victim !== undefined) cluster.kill(victim);
    cluster.advance(10_000 + FAILOVER_MS);
    t.deepEqual(unservedSlices(cluster), []);
    t.is(cluster.violation, null);
  });
}
