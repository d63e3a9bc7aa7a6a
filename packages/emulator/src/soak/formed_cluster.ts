/** @fileoverview A cluster that has formed, and queries for tests. */

import type {Slice} from '@jackdawfall/core';

import {SERVICE, SimulatedCluster} from './cluster.js';
import type {ClusterSettings} from './cluster.js';
import {makeConfiguration} from './document.js';
import type {SimulatedNode} from './node.js';

/** Slices of the keyed service. */
export const SLICES = 12;

/** Time for members to get slices and to follow changes of the ring. */
const FORM_MS = 7500;
/** Time for members to join. */
const JOIN_MS = 1500;

/**
 * Starts a cluster and waits until it serves every slice.
 *
 * @param hosts - Number of hosts.
 * @param seed - Seed of the fakes.
 * @param changes - Settings other than the usual ones.
 * @returns The cluster.
 */
export function formCluster(
  hosts: number,
  seed: number,
  changes: Partial<
    Pick<ClusterSettings, 'tuning' | 'maxTickDelayMs' | 'slices'>
  > = {},
): SimulatedCluster {
  const rulesOff = new Set<never>();
  const settings = {seed, hosts, slices: SLICES, rulesOff, ...changes};
  const cluster = new SimulatedCluster(settings);
  for (let host = 0; host < hosts; host++) cluster.start(host);
  cluster.advance(JOIN_MS);
  cluster.command(cluster.nodes[0], {
    kind: 'apply',
    basedOn: 0,
    document: makeConfiguration(settings.slices, 1),
    by: 'test',
  });
  cluster.advance(FORM_MS);
  return cluster;
}

/**
 * Returns the process that may dispatch requests of a slice now.
 *
 * @param cluster - The cluster.
 * @param slice - The slice.
 * @returns The process, if there is one.
 */
export function ownerOf(
  cluster: SimulatedCluster,
  slice: number,
): SimulatedNode | undefined {
  return cluster.liveNodes().find(node => {
    const at = node.readClocks(cluster.now);
    const permission = node.ownershipView.mayDispatch(
      SERVICE,
      slice as Slice,
      at,
    );
    return permission.kind === 'granted' && cluster.now >= node.frozenUntil;
  });
}

/**
 * Lists the slices that no process may dispatch now.
 *
 * @param cluster - The cluster.
 * @returns The slices.
 */
export function unservedSlices(cluster: SimulatedCluster): number[] {
  const slices = Array.from({length: SLICES}, (_, slice) => slice);
  return slices.filter(slice => ownerOf(cluster, slice) === undefined);
}
