/** @fileoverview Tests of operators' commands: zones, stops, configuration. */

import test from 'ava';

import type {CommandResult, HostName} from '@jackdawfall/core';

import type {SimulatedCluster} from './cluster.js';
import {ZONES} from './cluster.js';
import {makeConfiguration} from './document.js';
import {SLICES, formCluster, unservedSlices} from './formed_cluster.js';
import type {SimulatedNode} from './node.js';

/** Target: time after a command without new work on the closed servers. */
const NO_NEW_WORK_MS = 3000;
/** Target: time after which a configuration is in force everywhere. */
const IN_FORCE_MS = 4000;

function nodesInZone(cluster: SimulatedCluster, zone: number): SimulatedNode[] {
  return cluster.liveNodes().filter(node => node.host % 3 === zone);
}

function apply(
  cluster: SimulatedCluster,
  node: SimulatedNode,
  basedOn: number,
): number {
  const document = makeConfiguration(SLICES, basedOn + 1);
  return cluster.command(node, {kind: 'apply', basedOn, document, by: 'ann'});
}

function resultKinds(
  cluster: SimulatedCluster,
  tokens: number[],
): Array<string | undefined> {
  return tokens.map(token => cluster.results.get(token)?.kind);
}

for (const hosts of [3, 6, 8]) {
  test(`a zone of ${hosts} hosts is evacuated and restored`, t => {
    const cluster = formCluster(hosts, 21);
    const zone = ZONES[0];
    const [target] = nodesInZone(cluster, 1);
    const command = {kind: 'zone', zone, by: 'ann'} as const;
    const token = cluster.command(target, {...command, out: true});
    cluster.advance(NO_NEW_WORK_MS);
    t.is(cluster.results.get(token)?.kind, 'ok');
    const accepted = cluster.now;
    cluster.advance(5000);
    for (const node of nodesInZone(cluster, 0)) {
      t.true(node.lastWorkAt <= accepted);
    }
    t.deepEqual(unservedSlices(cluster), []);
    cluster.command(target, {...command, out: false});
    cluster.advance(8000);
    for (const node of nodesInZone(cluster, 0)) {
      t.true(node.lastWorkAt > accepted);
    }
    t.is(cluster.violation, null);
  });
}

test('a stopped server gets no new work, and its slices are served', t => {
  const cluster = formCluster(6, 22);
  const node = cluster.nodes[2];
  const host = 'h2' as HostName;
  cluster.command(cluster.nodes[0], {kind: 'stopServer', host, by: 'ann'});
  cluster.advance(NO_NEW_WORK_MS);
  const limit = cluster.now;
  cluster.advance(5000);
  t.true(node.lastWorkAt <= limit);
  t.deepEqual(unservedSlices(cluster), []);
});

test('a daemon that is asked to stop hands over its slices and exits', t => {
  const cluster = formCluster(6, 23);
  const node = cluster.nodes[1];
  cluster.stop(node);
  cluster.advance(NO_NEW_WORK_MS);
  t.deepEqual(unservedSlices(cluster), []);
  cluster.advance(3000);
  t.false(node.alive);
  t.false(cluster.nodes[0].state.map.members.has(node.self));
  t.is(cluster.violation, null);
});

test('the last daemon exits as well', t => {
  const cluster = formCluster(1, 24);
  cluster.stop(cluster.nodes[0]);
  cluster.advance(30_000);
  t.false(cluster.nodes[0].alive);
});

for (const seed of [1, 2, 3, 4]) {
  test(`a configuration reaches a daemon partitioned from the store, ${seed}`, t => {
    const cluster = formCluster(6, seed);
    cluster.cutStore(4, 60_000);
    cluster.advance(2000);
    const token = apply(cluster, cluster.nodes[0], 1);
    cluster.advance(IN_FORCE_MS);
    t.is(cluster.results.get(token)?.kind, 'ok');
    for (const node of cluster.liveNodes()) {
      t.is(node.ownershipView.workspace?.version, 2);
    }
  });
}

test('of two concurrent changes one is a conflict', t => {
  const cluster = formCluster(6, 25);
  const tokens = [
    apply(cluster, cluster.nodes[0], 1),
    apply(cluster, cluster.nodes[3], 1),
  ];
  cluster.advance(3000);
  t.deepEqual(resultKinds(cluster, tokens).sort(), ['conflict', 'ok']);
});

test('a configuration survives the loss of every process', t => {
  const cluster = formCluster(3, 26);
  apply(cluster, cluster.nodes[0], 1);
  cluster.advance(1000);
  for (const node of cluster.liveNodes()) cluster.kill(node);
  cluster.advance(1000);
  for (let host = 0; host < 3; host++) cluster.start(host);
  cluster.advance(3000);
  for (const node of cluster.liveNodes()) {
    t.is(node.ownershipView.workspace?.version, 2);
  }
});

const REFUSED: ReadonlyArray<{
  name: string;
  document: string;
  kind: CommandResult['kind'];
}> = [
  {name: 'no JSON', document: '{', kind: 'rejected'},
  {
    name: 'another slicing',
    document: makeConfiguration(7, 2),
    kind: 'rejected',
  },
];

for (const {name, document, kind} of REFUSED) {
  test(`a document is refused: ${name}`, t => {
    const cluster = formCluster(3, 27);
    const command = {kind: 'apply', basedOn: 1, document, by: 'ann'} as const;
    const token = cluster.command(cluster.nodes[0], command);
    cluster.advance(500);
    t.is(cluster.results.get(token)?.kind, kind);
    t.is(cluster.nodes[0].ownershipView.workspace?.version, 1);
  });
}

test('in an outage the result of a command is unknown or unavailable', t => {
  const cluster = formCluster(3, 28);
  cluster.setStoreMode({kind: 'silent'}, 30_000);
  const unknown = apply(cluster, cluster.nodes[0], 1);
  cluster.advance(12_000);
  cluster.setStoreMode({kind: 'down'}, 30_000);
  const down = apply(cluster, cluster.nodes[1], 1);
  cluster.advance(12_000);
  t.deepEqual(resultKinds(cluster, [unknown, down]), [
    'unknown',
    'unavailable',
  ]);
});

test('the audit names who made a change', t => {
  const cluster = formCluster(3, 29);
  apply(cluster, cluster.nodes[0], 1);
  cluster.advance(1000);
  const token = cluster.command(cluster.nodes[1], {kind: 'audit', limit: 20});
  cluster.advance(500);
  const result = cluster.results.get(token);
  t.is(result?.kind, 'ok');
  if (result?.kind !== 'ok') return;
  const {entries} = JSON.parse(result.body) as {
    entries: Array<{by: string}>;
  };
  const changes = entries.filter(entry => entry.by === 'ann');
  t.is(changes.length, 1);
});

test('an operator can remove members that no grantor has revoked', t => {
  const cluster = formCluster(3, 30);
  const [a, b, c] = cluster.nodes;
  cluster.kill(a);
  cluster.kill(b);
  cluster.advance(15_000);
  for (const lost of [a, b]) {
    const member = lost.self;
    if (!c.state.map.members.has(member)) continue;
    cluster.command(c, {kind: 'endMember', member, by: 'ann'});
  }
  cluster.advance(6000);
  t.is(c.state.map.members.size, 1);
  t.deepEqual(unservedSlices(cluster), []);
});

/** Returns three members, each of which has the next one as a grantor. */
function findGrantorCycle(cluster: SimulatedCluster): SimulatedNode[] {
  const live = cluster.liveNodes();
  for (const first of live) {
    for (const second of live) {
      for (const third of live) {
        const cycle = [first, second, third];
        const names = cycle.map(node => node.self);
        const isCycle = cycle.every((node, at) =>
          node.state.lease.grantors.includes(names[(at + 1) % 3]),
        );
        if (isCycle && new Set(names).size === 3) return cycle;
      }
    }
  }
  return [];
}

test('a lost cycle of grantors needs an operator to remove one member', t => {
  const cluster = formCluster(6, 31);
  const cycle = findGrantorCycle(cluster);
  t.is(cycle.length, 3);
  for (const node of cycle) cluster.kill(node);
  cluster.advance(15_000);
  const [target] = cluster.liveNodes();
  const {members} = target.state.map;
  for (const node of cycle) t.true(members.has(node.self));
  const member = cycle[0].self;
  cluster.command(target, {kind: 'endMember', member, by: 'ann'});
  cluster.advance(10_000);
  t.is(members.size, 3);
  t.deepEqual(unservedSlices(cluster), []);
  t.is(cluster.violation, null);
  const ends = target.state.recentEntries.flatMap(({entry}) =>
    entry.change.kind === 'ended' && entry.by === 'ann'
      ? entry.change.members
      : [],
  );
  t.deepEqual(ends, [member]);
});

test('a daemon stopped in an outage continues to serve, then exits in time', t => {
  const cluster = formCluster(6, 32);
  const node = cluster.nodes[1];
  const {stopMs} = node.state.settings.tuning.membership;
  cluster.setStoreMode({kind: 'down'}, 60_000);
  cluster.stop(node);
  cluster.advance(stopMs / 2);
  t.true(node.alive);
  t.deepEqual(unservedSlices(cluster), []);
  cluster.advance(stopMs / 2 + 500);
  t.false(node.alive);
  cluster.heal();
  cluster.advance(8000);
  t.deepEqual(unservedSlices(cluster), []);
  t.is(cluster.violation, null);
});
