/**
 * @fileoverview Owners that release the slices of an evacuated zone at the same
 * time share log entries: the writes to the store do not grow with the owners.
 */

import test from 'ava';
import type {ZoneName} from '@jackdawfall/core';

import {SERVICE, ZONES} from './cluster.js';
import type {SimulatedCluster} from './cluster.js';
import {formCluster} from './formed_cluster.js';

const GIVE_UP_MS = 8000;
const STEP_MS = 20;
const SLICES_EACH = 8;
const [EVACUATED]: readonly ZoneName[] = ZONES;
/**
 * Maximum writes: the zone, the moves, standbys, and a release in each tick of
 * 100 ms while the longest run of 400 ms ends.
 */
const MAX_WRITES = 8;

/** Returns whether the evacuated zone owns slices by the map of a daemon. */
function ownsSlices(cluster: SimulatedCluster): boolean {
  const {map} = cluster.nodes[1].state;
  const owners = new Set(map.services.get(SERVICE)?.owner);
  return [...map.members.values()].some(
    member => member.zone === EVACUATED && owners.has(member.index),
  );
}

for (const hosts of [12, 24]) {
  test(`${hosts / ZONES.length} owners release with few writes`, t => {
    const slices = hosts * SLICES_EACH;
    const cluster = formCluster(hosts, 21, {slices});
    const {writes} = cluster.store;
    const startedAt = cluster.now;
    t.true(ownsSlices(cluster));
    cluster.command(cluster.nodes[0], {
      kind: 'zone',
      zone: EVACUATED,
      out: true,
      by: 'test',
    });
    while (ownsSlices(cluster) && cluster.now - startedAt < GIVE_UP_MS) {
      cluster.advance(STEP_MS);
    }
    t.false(ownsSlices(cluster));
    const made = cluster.store.writes - writes;
    t.true(made <= MAX_WRITES, `${made} writes`);
  });
}
