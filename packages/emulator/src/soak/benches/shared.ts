/** @fileoverview Clusters and questions that the ownership benches share. */

import type {Slice} from '@jackdawfall/core';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {encodeFrame} from '@jackdawfall/wire';

import type {Measurements} from '../../bench/types.js';
import {SimulatedCluster, SERVICE} from '../cluster.js';
import {makeConfiguration} from '../document.js';
import type {SimulatedNode} from '../node.js';

const JOIN_MS = 3000;
const FORM_MS = 12_000;

/** Size of a bench's cluster. */
export interface BenchSize {
  readonly hosts: number;
  readonly slices: number;
  readonly seed: number;
}

/**
 * Forms a cluster that serves every slice.
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
  cluster.advance(JOIN_MS);
  const document = makeConfiguration(size.slices, 1);
  const command = {kind: 'apply', basedOn: 0, document, by: 'bench'} as const;
  cluster.command(cluster.nodes[0], command);
  cluster.advance(FORM_MS);
  return cluster;
}

/**
 * Lists who may dispatch each slice now.
 *
 * @param cluster - The cluster.
 * @returns A process for each slice, or null.
 */
export function serversNow(
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
 * Counts slices whose owner differs.
 *
 * @param before - Owners before.
 * @param after - Owners after.
 * @returns How many differ.
 */
export function countMoved(
  before: ReadonlyArray<SimulatedNode | null>,
  after: ReadonlyArray<SimulatedNode | null>,
): number {
  return before.filter((node, slice) => node !== after[slice]).length;
}

/**
 * Creates a histogram of times.
 *
 * @returns The histogram, in milliseconds.
 */
export function timesMs(): Histogram {
  return build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000});
}

/**
 * Summarises a histogram of times.
 *
 * @param times - The histogram.
 * @returns Percentiles, in milliseconds.
 */
export function summaryOf(times: Histogram): Measurements {
  return {
    count: times.totalCount,
    p50Ms: times.getValueAtPercentile(50),
    p99Ms: times.getValueAtPercentile(99),
    maxMs: times.maxValue,
  };
}
