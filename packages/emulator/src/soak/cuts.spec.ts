/**
 * @fileoverview Tests of link failures. A member that is partitioned from all others,
 * but not from the store, must give up its slices, and the only live member must
 * serve again after a while.
 */

import test from 'ava';

import type {SimulatedCluster} from './cluster.js';
import {formCluster, ownerOf, unservedSlices} from './formed_cluster.js';

/** Target: every key is served again within 3 s of a failure. */
const FAILOVER_MS = 3000;
const CUT_MS = 20_000;
const SETTLE_MS = 20_000;

type Ways = 'in' | 'out' | 'both';

for (const hosts of [3, 6, 8]) {
  for (const ways of ['in', 'out', 'both'] as const) {
    test(`one of ${hosts} partitioned (${ways}): its slices are served again`, t => {
      const cluster = formCluster(hosts, 5);
      const victim = ownerOf(cluster, 0);
      t.truthy(victim);
      if (victim === undefined) return;
      cutOff(cluster, victim.host, ways);
      cluster.advance(FAILOVER_MS);
      for (let slice = 0; slice < 12; slice++) {
        const owner = ownerOf(cluster, slice);
        t.truthy(owner, `slice ${slice} has no owner`);
        t.not(owner?.host, victim.host, `slice ${slice} is out of reach`);
      }
      cluster.advance(CUT_MS + SETTLE_MS);
      t.is(cluster.violation, null);
      t.deepEqual(unservedSlices(cluster), []);
    });
  }
}

for (const hosts of [2, 3]) {
  test(`the only live member of ${hosts} serves again`, t => {
    const cluster = formCluster(hosts, 9);
    const [remaining, ...others] = cluster.liveNodes();
    for (const node of others) cluster.kill(node);
    cluster.advance(SETTLE_MS);
    t.is(cluster.violation, null);
    t.deepEqual(unservedSlices(cluster), []);
    t.is(ownerOf(cluster, 0), remaining);
  });
}

test('a member keeps its slices when two of its grantors are lost', t => {
  const cluster = formCluster(8, 13);
  const victim = ownerOf(cluster, 0);
  t.truthy(victim);
  if (victim === undefined) return;
  for (const grantor of victim.state.lease.grantors) {
    const node = cluster.liveNodes().find(each => each.self === grantor);
    if (node !== undefined) cluster.kill(node);
  }
  for (let step = 0; step < 60; step++) {
    cluster.advance(50);
    t.is(ownerOf(cluster, 0)?.self, victim.self, `after ${step * 50} ms`);
  }
});

function cutOff(cluster: SimulatedCluster, host: number, ways: Ways): void {
  for (const {host: other} of cluster.liveNodes()) {
    if (other === host) continue;
    if (ways !== 'out') cluster.cut(other, host, CUT_MS);
    if (ways !== 'in') cluster.cut(host, other, CUT_MS);
  }
}

for (const ms of [300, 700, 1100]) {
  test(`a slice grant after a freeze of ${ms} ms expires with the lease`, t => {
    const cluster = formCluster(6, 21);
    const victim = ownerOf(cluster, 0);
    t.truthy(victim);
    if (victim === undefined) return;
    cluster.freeze(victim, ms, true);
    cluster.advance(FAILOVER_MS);
    t.is(cluster.violation, null);
  });
}
