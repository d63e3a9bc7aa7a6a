/**
 * @fileoverview The balance bench: load with a Zipf distribution over slices,
 * in phases with different hottest slices.
 */

import type {Dispatch, Message, Slice} from '@jackdawfall/core';

import type {Bench, Measurement, Measurements} from '../../bench/types.js';
import type {SimulatedCluster} from '../cluster.js';
import {SERVICE} from '../cluster.js';
import type {SimulatedNode} from '../node.js';
import {countMoved, formCluster, listServers} from './shared.js';

const CLUSTER_SIZE = {hosts: 8, slices: 256, seed: 9};
const REQUESTS_PER_SECOND = 1000;
const PHASE_COUNT = 4;
const PHASE_MS = 90_000;
const WINDOW_MS = 10_000;
const STEP_MS = 10;
/** Exponent of the Zipf distribution. */
const ZIPF_EXPONENT = 0.9;

/** Measures maximum over mean load of servers in each time window. */
export const balanceBench: Bench = {
  name: 'balance',
  text: 'max/mean load while the hottest slices change, and slices moved',
  run: signal => {
    const cluster = formCluster(CLUSTER_SIZE);
    const chances = zipfProbabilities();
    const phases: Measurement[] = [];
    for (let phase = 0; phase < PHASE_COUNT && !signal.aborted; phase++) {
      phases.push(runPhase(cluster, shiftProbabilities(chances, phase)));
    }
    const measurements: Measurements = {
      hosts: CLUSTER_SIZE.hosts,
      slices: CLUSTER_SIZE.slices,
      hottestSliceShareOfMeanServer: (chances[0] * CLUSTER_SIZE.hosts).toFixed(
        2,
      ),
      phases,
    };
    return Promise.resolve(measurements);
  },
};

function runPhase(
  cluster: SimulatedCluster,
  chances: readonly number[],
): Measurements {
  const before = listServers(cluster);
  const imbalance: number[] = [];
  for (let passed = 0; passed < PHASE_MS; passed += WINDOW_MS) {
    imbalance.push(runWindow(cluster, chances));
  }
  return {
    maxOverMean: imbalance,
    moved: countMoved(before, listServers(cluster)),
  };
}

function runWindow(
  cluster: SimulatedCluster,
  chances: readonly number[],
): number {
  const work = new Map<SimulatedNode, number>();
  const due = new Array<number>(CLUSTER_SIZE.slices).fill(0);
  for (let passed = 0; passed < WINDOW_MS; passed += STEP_MS) {
    const servers = listServers(cluster);
    chances.forEach((chance, slice) => {
      due[slice] += chance * REQUESTS_PER_SECOND * (STEP_MS / 1000);
      const node = servers[slice];
      for (; due[slice] >= 1; due[slice] -= 1) {
        if (node === null) continue;
        work.set(node, (work.get(node) ?? 0) + 1);
        cluster.injectMessage(node, dispatchOf(node, slice as Slice));
      }
    });
    cluster.advance(STEP_MS);
  }
  const counts = [...work.values()];
  const total = counts.reduce((a, b) => a + b, 0);
  const most = Math.max(...counts);
  return Number(((most * CLUSTER_SIZE.hosts) / total).toFixed(2));
}

function zipfProbabilities(): number[] {
  const weights = Array.from(
    {length: CLUSTER_SIZE.slices},
    (_, rank) => 1 / (rank + 1) ** ZIPF_EXPONENT,
  );
  const total = weights.reduce((a, b) => a + b, 0);
  return weights.map(weight => weight / total);
}

/** Permutes the probabilities so each phase has other hottest slices. */
function shiftProbabilities(
  chances: readonly number[],
  phase: number,
): number[] {
  const stride = 61;
  const moved = new Array<number>(chances.length).fill(0);
  chances.forEach((chance, rank) => {
    moved[(rank * 37 + phase * stride) % chances.length] = chance;
  });
  return moved;
}

function dispatchOf(node: SimulatedNode, slice: Slice): Message {
  const dispatch: Partial<Dispatch> = {
    kind: 'dispatch',
    service: SERVICE,
    slice,
    to: node.self,
  };
  return dispatch as Dispatch;
}
