/** @fileoverview A formed cluster and questions that tests ask of it. */

import type {Slice} from '@jackdawfall/core';

import {SimulatedCluster, SERVICE} from './cluster.js';
import {makeConfiguration} from './document.js';
import type {SimulatedNode} from './node.js';

/** Slices of the keyed service. */
export const SLICES = 12;

/** Time for members to join, get slices and follow the ring. */
const FORM_MS = 7500;
const JOIN_MS = 1500;

/**
 * Forms a cluster that serves every slice.
 *
 * @param hosts - Number of hosts.
 * @param seed - Seed of the fakes.
 * @returns The cluster.
 */
export function formed(hosts: number, seed: number): SimulatedCluster {
  const rulesOff = new Set<never>();
  const cluster = new SimulatedCluster({seed, hosts, slices: SLICES, rulesOff});
  for (let host = 0; host < hosts; host++) cluster.start(host);
  cluster.advance(JOIN_MS);
  cluster.command(cluster.nodes[0], {
    kind: 'apply',
    basedOn: 0,
    document: makeConfiguration(SLICES, 1),
    by: 'test',
  });
  cluster.advance(FORM_MS);
  return cluster;
}

/**
 * Finds the process that may dispatch a slice now.
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
    const asked = node.ownershipView.mayDispatch(SERVICE, slice as Slice, at);
    return asked.kind === 'granted' && cluster.now >= node.frozenUntil;
  });
}

/**
 * Lists the slices that nobody may dispatch now.
 *
 * @param cluster - The cluster.
 * @returns The slices.
 */
export function unservedOf(cluster: SimulatedCluster): number[] {
  const slices = Array.from({length: SLICES}, (_, slice) => slice);
  return slices.filter(slice => ownerOf(cluster, slice) === undefined);
}
