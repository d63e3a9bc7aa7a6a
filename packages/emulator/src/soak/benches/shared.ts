/** @fileoverview Clusters and questions that the ownership benches share. */

import type {Slice} from '@jackdawfall/core';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {encodeFrame} from '@jackdawfall/wire';

import type {Figures} from '../../bench/types.js';
import {Cluster, SERVICE} from '../cluster.js';
import {documentOf} from '../document.js';
import type {Node} from '../node.js';

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
export function formCluster(size: BenchSize): Cluster {
  const cluster = new Cluster({
    ...size,
    rulesOff: new Set(),
    checked: false,
    sizeOf: message => encodeFrame({kind: 'batch', messages: [message]}).length,
  });
  for (let host = 0; host < size.hosts; host++) cluster.start(host);
  cluster.run(JOIN_MS);
  const document = documentOf(size.slices, 1);
  const command = {kind: 'apply', basedOn: 0, document, by: 'bench'} as const;
  cluster.command(cluster.nodes[0], command);
  cluster.run(FORM_MS);
  return cluster;
}

/**
 * Lists who may dispatch each slice now.
 *
 * @param cluster - The cluster.
 * @returns A process for each slice, or null.
 */
export function serversNow(cluster: Cluster): Array<Node | null> {
  const servers = new Array<Node | null>(cluster.settings.slices).fill(null);
  for (const node of cluster.live()) {
    if (cluster.now < node.frozenUntil) continue;
    const at = node.instant(cluster.now);
    for (let slice = 0; slice < servers.length; slice++) {
      const asked = node.view.mayDispatch(SERVICE, slice as Slice, at);
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
  before: ReadonlyArray<Node | null>,
  after: ReadonlyArray<Node | null>,
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
export function summaryOf(times: Histogram): Figures {
  return {
    count: times.totalCount,
    p50Ms: times.getValueAtPercentile(50),
    p99Ms: times.getValueAtPercentile(99),
    maxMs: times.maxValue,
  };
}
