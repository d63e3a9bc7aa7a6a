/** @fileoverview The failover bench: how long keys are unserved. */

import type {Histogram} from 'hdr-histogram-js';

import type {Bench, Measurements} from '../../bench/types.js';
import type {SimulatedCluster} from '../cluster.js';
import {formCluster, serversNow, summaryOf, timesMs} from './shared.js';

const SIZE = {hosts: 8, slices: 64};
const ROUNDS = 25;
const STEP_MS = 10;
const LONGEST_MS = 30_000;
const OUTAGE_MS = 20_000;
/** Share of the outage that has passed when the host is lost. */
const LOST_AFTER_MS = 10_000;

interface Loss {
  readonly name: string;
  /** Host that no other reaches: what it serves does not count. */
  readonly cutOff?: number;
  /** Brings the loss about; returns after what time counting begins. */
  lose(cluster: SimulatedCluster): number;
}

const LOSSES: readonly Loss[] = [
  {name: 'hostKilled', lose: cluster => killHosts(cluster, [1])},
  {name: 'hostFrozen', lose: cluster => freezeHost(cluster, 1)},
  {name: 'zoneKilled', lose: cluster => killHosts(cluster, [0, 3, 6])},
  {name: 'hostKilledInOutageAfterReturn', lose: loseInOutage},
  {name: 'hostStopped', lose: stopHost},
  {
    name: 'hostCutOff',
    cutOff: 1,
    lose: cluster => cutHost(cluster, true, true),
  },
  {
    name: 'hostCutOffInward',
    cutOff: 1,
    lose: cluster => cutHost(cluster, true, false),
  },
  {
    name: 'hostCutOffOutward',
    cutOff: 1,
    lose: cluster => cutHost(cluster, false, true),
  },
];

/** Time for which a slice has no server that may dispatch it. */
export const failoverBench: Bench = {
  name: 'failover',
  text: 'unserved time of each slice of a lost host or availability zone',
  run: signal => {
    const figures: Record<string, Measurements> = {};
    for (const loss of LOSSES) {
      const times = timesMs();
      for (let seed = 1; seed <= ROUNDS && !signal.aborted; seed++) {
        measure(loss, seed, times);
      }
      figures[loss.name] = summaryOf(times);
    }
    return Promise.resolve(figures);
  },
};

function measure(loss: Loss, seed: number, times: Histogram): void {
  const cluster = formCluster({...SIZE, seed});
  cluster.advance(seed * 37);
  const before = serversNow(cluster);
  cluster.advance(loss.lose(cluster));
  const from = cluster.now;
  const lastServed = new Array<number>(before.length).fill(from);
  const unserved = new Array<number>(before.length).fill(0);
  while (cluster.now - from < LONGEST_MS) {
    const now = serversNow(cluster).map(node =>
      node?.host === loss.cutOff ? null : node,
    );
    now.forEach((node, slice) => {
      if (node === null) return;
      const gap = cluster.now - lastServed[slice];
      unserved[slice] = Math.max(unserved[slice], gap);
      lastServed[slice] = cluster.now;
    });
    if (!now.includes(null) && cluster.now - from > LONGEST_MS / 4) break;
    cluster.advance(STEP_MS);
  }
  unserved.forEach((ms, slice) => {
    const whole = lastServed[slice] === from ? LONGEST_MS : ms;
    if (whole > STEP_MS) times.recordValue(Math.round(whole));
  });
}

function killHosts(
  cluster: SimulatedCluster,
  hosts: readonly number[],
): number {
  for (const host of hosts) cluster.kill(cluster.nodes[host]);
  return 0;
}

function freezeHost(cluster: SimulatedCluster, host: number): number {
  cluster.freeze(cluster.nodes[host], LONGEST_MS, true);
  return 0;
}

function cutHost(
  cluster: SimulatedCluster,
  inward: boolean,
  outward: boolean,
): number {
  for (const {host} of cluster.liveNodes()) {
    if (host === 1) continue;
    if (inward) cluster.cut(host, 1, LONGEST_MS);
    if (outward) cluster.cut(1, host, LONGEST_MS);
  }
  return 0;
}

function stopHost(cluster: SimulatedCluster): number {
  cluster.stop(cluster.nodes[1]);
  return 0;
}

function loseInOutage(cluster: SimulatedCluster): number {
  cluster.setStoreMode({kind: 'down'}, OUTAGE_MS);
  cluster.advance(LOST_AFTER_MS);
  cluster.kill(cluster.nodes[1]);
  return OUTAGE_MS - LOST_AFTER_MS;
}
