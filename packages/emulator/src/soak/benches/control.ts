/** @fileoverview The control bench: what ownership costs in a quiet cluster. */

import type {Bench, Measurement, Measurements} from '../../bench/types.js';
import type {SimulatedCluster} from '../cluster.js';
import {formCluster} from './shared.js';

const HOSTS = [4, 8, 16, 32, 64];
const SLICES_PER_HOST = 24;
const QUIET_MS = 60_000;
const STILL_MS = 10_000;
const LONGEST_SETTLE_MS = 600_000;

/** Store calls, bytes and processor time of daemons that only hold leases. */
export const controlBench: Bench = {
  name: 'control',
  text: 'store calls, bytes and CPU a second for each daemon, by size',
  run: signal => {
    const sizes: Measurement[] = [];
    for (const hosts of HOSTS) {
      if (signal.aborted) break;
      sizes.push(measure(hosts));
    }
    return Promise.resolve({sizes});
  },
};

/** Runs until the log stands still; returns how long that took. */
function settle(cluster: SimulatedCluster): number {
  const from = cluster.now;
  let version = -1;
  while (cluster.now - from < LONGEST_SETTLE_MS) {
    const {map} = cluster.nodes[0].state;
    if (map.version === version) break;
    version = map.version;
    cluster.advance(STILL_MS);
  }
  return cluster.now - from;
}

function measure(hosts: number): Measurements {
  const slices = hosts * SLICES_PER_HOST;
  const cluster = formCluster({hosts, slices, seed: hosts});
  const settledMs = settle(cluster);
  const {store: table, traffic} = cluster;
  const before = {
    reads: table.reads,
    writes: table.writes,
    bytes: traffic.bytes,
    messages: traffic.messages,
    reduceMs: cluster.reduceMs(),
  };
  cluster.advance(QUIET_MS);
  const seconds = QUIET_MS / 1000;
  const each = (amount: number): number =>
    Number((amount / seconds / hosts).toFixed(4));
  return {
    daemons: hosts,
    slices,
    settledMs,
    storeReadsPerSecond: (table.reads - before.reads) / seconds,
    storeWritesPerSecond: (table.writes - before.writes) / seconds,
    messagesPerDaemonSecond: each(traffic.messages - before.messages),
    payloadBytesPerDaemonSecond: each(traffic.bytes - before.bytes),
    reducerCpuShareOfCore: each((cluster.reduceMs() - before.reduceMs) / 1000),
  };
}
