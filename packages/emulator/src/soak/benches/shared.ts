/** @fileoverview Helpers of the ownership benches. */

import type {Slice} from '@jackdawfall/core';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {encodeFrame} from '@jackdawfall/wire';

import type {Measurements} from '../../bench/types.js';
import {SimulatedCluster, SERVICE} from '../cluster.js';
import {makeConfiguration} from '../document.js';
import type {SimulatedNode} from '../node.js';

const JOIN_TIME_MS = 3000;
const SETTLE_TIME_MS = 12_000;

/** Size and seed of a simulated cluster. */
export interface BenchSize {
  readonly hosts: number;
  readonly slices: number;
  readonly seed: number;
}

/**
 * Starts a simulated cluster and runs it until every slice has an owner.
 *
 * @param size - Hosts, slices and seed.
 * @returns The cluster.
 */
export function formCluster(size: BenchSize): SimulatedCluster {
  const cluster = new SimulatedCluster({
    ...size,
    rulesOff: new Set(),
    checksInvariants: false,
    sizeOf: message => encodeFrame({kind: 'batch', messages: [message]}).length,
  });
  for (let host = 0; host < size.hosts; host++) cluster.start(host);
  cluster.advance(JOIN_TIME_MS);
  const document = makeConfiguration(size.slices, 1);
  const command = {kind: 'apply', basedOn: 0, document, by: 'bench'} as const;
  cluster.command(cluster.nodes[0], command);
  cluster.advance(SETTLE_TIME_MS);
  return cluster;
}

/**
 * Lists the process that may dispatch to each slice now.
 *
 * @param cluster - The cluster.
 * @returns A process or null for each slice, by slice number.
 */
export function listServers(
  cluster: SimulatedCluster,
): Array<SimulatedNode | null> {
  const servers = new Array<SimulatedNode | null>(cluster.settings.slices).fill(
    null,
  );
  for (const node of cluster.liveNodes()) {
    if (cluster.now < node.frozenUntil) continue;
    const at = node.readClocks(cluster.now);
    for (let slice = 0; slice < servers.length; slice++) {
      const asked = node.ownershipView.mayDispatch(SERVICE, slice as Slice, at);
      if (asked.kind === 'granted') servers[slice] = node;
    }
  }
  return servers;
}

/**
 * Counts the slices whose process has changed.
 *
 * @param before - Processes by slice before the change.
 * @param after - Processes by slice after the change.
 * @returns The number of slices.
 */
export function countMoved(
  before: ReadonlyArray<SimulatedNode | null>,
  after: ReadonlyArray<SimulatedNode | null>,
): number {
  return before.filter((node, slice) => node !== after[slice]).length;
}

/**
 * Creates a histogram of times in milliseconds.
 *
 * @returns The histogram.
 */
export function createTimeHistogram(): Histogram {
  return build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000});
}

/**
 * Summarizes a histogram of times.
 *
 * @param times - The histogram.
 * @returns Count, percentiles and maximum, in milliseconds.
 */
export function summarizeTimes(times: Histogram): Measurements {
  return {
    count: times.totalCount,
    p50Ms: times.getValueAtPercentile(50),
    p99Ms: times.getValueAtPercentile(99),
    maxMs: times.maxValue,
  };
}
