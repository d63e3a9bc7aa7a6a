/** @fileoverview Members join, hold leases and take over from lost ones. */

import test from 'ava';

import type {Slice} from '@jackdawfall/core';

import {Cluster, SERVICE} from './cluster.js';
import {documentOf} from './document.js';
import type {Node} from './node.js';

/** The target: a key is served again within 3 s of its host's loss. */
const FAILOVER_MS = 3000;
const SLICES = 12;

function formed(hosts: number, seed: number): Cluster {
  const cluster = new Cluster({
    seed,
    hosts,
    slices: SLICES,
    rulesOff: new Set(),
  });
  for (let host = 0; host < hosts; host++) cluster.start(host);
  cluster.run(1500);
  cluster.command(cluster.nodes[0], {
    kind: 'apply',
    basedOn: 0,
    document: documentOf(SLICES, 1),
    by: 'test',
  });
  cluster.run(6000);
  return cluster;
}

function ownerOf(cluster: Cluster, slice: number): Node | undefined {
  return cluster.live().find(node => {
    const at = node.instant(cluster.now);
    const asked = node.view.mayDispatch(SERVICE, slice as Slice, at);
    return asked.kind === 'granted' && cluster.now >= node.frozenUntil;
  });
}

function unownedOf(cluster: Cluster): number[] {
  const slices = Array.from({length: SLICES}, (_, slice) => slice);
  return slices.filter(slice => ownerOf(cluster, slice) === undefined);
}

for (const hosts of [1, 2, 3, 5, 8]) {
  test(`${hosts} members join and own every slice`, t => {
    const cluster = formed(hosts, hosts);
    t.is(cluster.violation, null);
    t.deepEqual(unownedOf(cluster), []);
    for (const node of cluster.live()) {
      t.is(node.state.map.members.size, hosts);
      t.is(node.view.workspace?.version, 1);
    }
  });
}

const LOSSES = [
  {name: 'a crash', lose: (c: Cluster, n: Node) => c.kill(n)},
  {name: 'a freeze', lose: (c: Cluster, n: Node) => c.freeze(n, 9000, true)},
];

for (const hosts of [3, 6, 8]) {
  for (const {name, lose} of LOSSES) {
    test(`slices of one of ${hosts} are served again after ${name}`, t => {
      const cluster = formed(hosts, 7);
      const victim = ownerOf(cluster, 0);
      t.truthy(victim);
      if (victim === undefined) return;
      lose(cluster, victim);
      cluster.run(FAILOVER_MS);
      t.deepEqual(unownedOf(cluster), []);
      cluster.run(20000);
      t.is(cluster.violation, null);
      t.deepEqual(unownedOf(cluster), []);
    });
  }
}
