/** @fileoverview The control bench: cost of ownership in an idle cluster. */

import type {Bench, Measurement, Measurements} from '../../bench/types.js';
import type {SimulatedCluster} from '../cluster.js';
import {formCluster} from './shared.js';

const HOST_COUNTS = [4, 8, 16, 32, 64];
const SLICES_PER_HOST = 24;
const MEASURE_MS = 60_000;
const STABLE_MS = 10_000;
const MAX_SETTLE_MS = 600_000;

/** Measures store calls, bytes and CPU time of daemons that only hold leases. */
export const controlBench: Bench = {
  name: 'control',
  text: 'store calls, bytes and CPU a second for each daemon, by size',
  run: signal => {
    const sizes: Measurement[] = [];
    for (const hosts of HOST_COUNTS) {
      if (signal.aborted) break;
      sizes.push(measure(hosts));
    }
    return Promise.resolve({sizes});
  },
};

/** Runs until the log stops growing; returns the time that it took. */
function settle(cluster: SimulatedCluster): number {
  const startMs = cluster.now;
  let version = -1;
  while (cluster.now - startMs < MAX_SETTLE_MS) {
    const {map} = cluster.nodes[0].state;
    if (map.version === version) break;
    version = map.version;
    cluster.advance(STABLE_MS);
  }
  return cluster.now - startMs;
}

function measure(hosts: number): Measurements {
  const slices = hosts * SLICES_PER_HOST;
  const cluster = formCluster({hosts, slices, seed: hosts});
  const settledMs = settle(cluster);
  const {store, traffic} = cluster;
  const before = {
    reads: store.reads,
    writes: store.writes,
    bytes: traffic.bytes,
    messages: traffic.messages,
    reduceMs: cluster.reduceMs(),
  };
  cluster.advance(MEASURE_MS);
  const seconds = MEASURE_MS / 1000;
  const perHostAndSecond = (amount: number): number =>
    Number((amount / seconds / hosts).toFixed(4));
  return {
    daemons: hosts,
    slices,
    settledMs,
    storeReadsPerSecond: (store.reads - before.reads) / seconds,
    storeWritesPerSecond: (store.writes - before.writes) / seconds,
    messagesPerDaemonSecond: perHostAndSecond(
      traffic.messages - before.messages,
    ),
    payloadBytesPerDaemonSecond: perHostAndSecond(traffic.bytes - before.bytes),
    reducerCpuShareOfCore: perHostAndSecond(
      (cluster.reduceMs() - before.reduceMs) / 1000,
    ),
  };
}
