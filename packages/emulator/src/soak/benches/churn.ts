/** @fileoverview The churn bench: moved slices compared with the minimum. */

import type {Bench, Measurements} from '../../bench/types.js';
import type {SimulatedCluster} from '../cluster.js';
import {countMoved, formCluster, listServers} from './shared.js';

const CLUSTER_SIZE = {hosts: 8, slices: 256, seed: 5};
const SETTLE_MS = 60_000;

/** Counts owner changes after a host is lost, returns, or is added. */
export const churnBench: Bench = {
  name: 'churn',
  text: 'slices moved for a host lost, returned and added, and the least',
  run: () => {
    const cluster = formCluster(CLUSTER_SIZE);
    cluster.advance(SETTLE_MS);
    const owned = listServers(cluster).filter(
      node => node === cluster.nodes[0],
    ).length;
    const lost = countMovedBy(cluster, () => cluster.kill(cluster.nodes[0]));
    const share = Math.floor(CLUSTER_SIZE.slices / CLUSTER_SIZE.hosts);
    const returned = countMovedBy(cluster, () => cluster.start(0));
    const added = countMovedBy(cluster, () =>
      cluster.start(CLUSTER_SIZE.hosts),
    );
    const addedShare = Math.floor(
      CLUSTER_SIZE.slices / (CLUSTER_SIZE.hosts + 1),
    );
    const measurements: Measurements = {
      hosts: CLUSTER_SIZE.hosts,
      slices: CLUSTER_SIZE.slices,
      lost: {moved: lost, least: owned},
      returned: {moved: returned, least: share},
      added: {moved: added, least: addedShare},
    };
    return Promise.resolve(measurements);
  },
};

function countMovedBy(cluster: SimulatedCluster, change: () => void): number {
  const before = listServers(cluster);
  change();
  cluster.advance(SETTLE_MS);
  return countMoved(before, listServers(cluster));
}
