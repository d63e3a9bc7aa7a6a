/** @fileoverview The churn bench: slices moved against the least possible. */

import type {Bench, Measurements} from '../../bench/types.js';
import type {SimulatedCluster} from '../cluster.js';
import {countMoved, formCluster, serversNow} from './shared.js';

const SIZE = {hosts: 8, slices: 256, seed: 5};
const SETTLE_MS = 60_000;

/** Owner changes after a host is lost, comes back, or is added. */
export const churnBench: Bench = {
  name: 'churn',
  text: 'slices moved for a host lost, returned and added, and the least',
  run: () => {
    const cluster = formCluster(SIZE);
    cluster.advance(SETTLE_MS);
    const owned = serversNow(cluster).filter(
      node => node === cluster.nodes[0],
    ).length;
    const lost = movedBy(cluster, () => cluster.kill(cluster.nodes[0]));
    const share = Math.floor(SIZE.slices / SIZE.hosts);
    const returned = movedBy(cluster, () => cluster.start(0));
    const added = movedBy(cluster, () => cluster.start(SIZE.hosts));
    const addedShare = Math.floor(SIZE.slices / (SIZE.hosts + 1));
    const figures: Measurements = {
      hosts: SIZE.hosts,
      slices: SIZE.slices,
      lost: {moved: lost, least: owned},
      returned: {moved: returned, least: share},
      added: {moved: added, least: addedShare},
    };
    return Promise.resolve(figures);
  },
};

function movedBy(cluster: SimulatedCluster, change: () => void): number {
  const before = serversNow(cluster);
  change();
  cluster.advance(SETTLE_MS);
  return countMoved(before, serversNow(cluster));
}
