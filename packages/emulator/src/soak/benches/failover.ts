/** @fileoverview The failover bench: how long slices are unserved after faults. */

import type {Histogram} from 'hdr-histogram-js';

import type {Bench, Measurements} from '../../bench/types.js';
import type {SimulatedCluster} from '../cluster.js';
import {
  formCluster,
  listServers,
  summarizeTimes,
  createTimeHistogram,
} from './shared.js';

const CLUSTER_SIZE = {hosts: 8, slices: 64};
const ROUNDS = 25;
const STEP_MS = 10;
const MAX_MEASURE_MS = 30_000;
const OUTAGE_MS = 20_000;
/** Time from the start of the store outage to the loss of the host. */
const KILL_DELAY_MS = 10_000;

interface Fault {
  readonly name: string;
  /** Host that is partitioned from all others; what it serves does not count. */
  readonly isolatedHost?: number;
  /** Injects the fault; returns the delay until the measurement starts. */
  inject(cluster: SimulatedCluster): number;
}

const FAULTS: readonly Fault[] = [
  {name: 'hostKilled', inject: cluster => killHosts(cluster, [1])},
  {name: 'hostFrozen', inject: cluster => freezeHost(cluster, 1)},
  {name: 'zoneKilled', inject: cluster => killHosts(cluster, [0, 3, 6])},
  {name: 'hostKilledInOutageAfterReturn', inject: killDuringOutage},
  {name: 'hostStopped', inject: stopHost},
  {
    name: 'hostCutOff',
    isolatedHost: 1,
    inject: cluster => isolateHost(cluster, true, true),
  },
  {
    name: 'hostCutOffInward',
    isolatedHost: 1,
    inject: cluster => isolateHost(cluster, true, false),
  },
  {
    name: 'hostCutOffOutward',
    isolatedHost: 1,
    inject: cluster => isolateHost(cluster, false, true),
  },
];

/** Measures the time for which no member may dispatch to a slice. */
export const failoverBench: Bench = {
  name: 'failover',
  text: 'unserved time of each slice of a lost host or availability zone',
  run: signal => {
    const measurements: Record<string, Measurements> = {};
    for (const fault of FAULTS) {
      const times = createTimeHistogram();
      for (let seed = 1; seed <= ROUNDS && !signal.aborted; seed++) {
        measure(fault, seed, times);
      }
      measurements[fault.name] = summarizeTimes(times);
    }
    return Promise.resolve(measurements);
  },
};

function measure(fault: Fault, seed: number, times: Histogram): void {
  const cluster = formCluster({...CLUSTER_SIZE, seed});
  cluster.advance(seed * 37);
  const initialServers = listServers(cluster);
  cluster.advance(fault.inject(cluster));
  const startMs = cluster.now;
  const lastServed = new Array<number>(initialServers.length).fill(startMs);
  const unserved = new Array<number>(initialServers.length).fill(0);
  while (cluster.now - startMs < MAX_MEASURE_MS) {
    const now = listServers(cluster).map(node =>
      node?.host === fault.isolatedHost ? null : node,
    );
    now.forEach((node, slice) => {
      if (node === null) return;
      const gap = cluster.now - lastServed[slice];
      unserved[slice] = Math.max(unserved[slice], gap);
      lastServed[slice] = cluster.now;
    });
    if (!now.includes(null) && cluster.now - startMs > MAX_MEASURE_MS / 4) {
      break;
    }
    cluster.advance(STEP_MS);
  }
  unserved.forEach((ms, slice) => {
    const unservedMs = lastServed[slice] === startMs ? MAX_MEASURE_MS : ms;
    if (unservedMs > STEP_MS) times.recordValue(Math.round(unservedMs));
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
  cluster.freeze(cluster.nodes[host], MAX_MEASURE_MS, true);
  return 0;
}

/** Drops the messages to host 1 (inward), from it (outward), or both. */
function isolateHost(
  cluster: SimulatedCluster,
  inward: boolean,
  outward: boolean,
): number {
  for (const {host} of cluster.liveNodes()) {
    if (host === 1) continue;
    if (inward) cluster.cut(host, 1, MAX_MEASURE_MS);
    if (outward) cluster.cut(1, host, MAX_MEASURE_MS);
  }
  return 0;
}

function stopHost(cluster: SimulatedCluster): number {
  cluster.stop(cluster.nodes[1]);
  return 0;
}

function killDuringOutage(cluster: SimulatedCluster): number {
  cluster.setStoreMode({kind: 'down'}, OUTAGE_MS);
  cluster.advance(KILL_DELAY_MS);
  cluster.kill(cluster.nodes[1]);
  return OUTAGE_MS - KILL_DELAY_MS;
}
