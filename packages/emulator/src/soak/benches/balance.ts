/** @fileoverview The balance bench: Zipf load whose hottest keys change. */

import type {Dispatch, Message, Slice} from '@jackdawfall/core';

import type {Bench, Measurement, Measurements} from '../../bench/types.js';
import type {SimulatedCluster} from '../cluster.js';
import {SERVICE} from '../cluster.js';
import type {SimulatedNode} from '../node.js';
import {countMoved, formCluster, serversNow} from './shared.js';

const SIZE = {hosts: 8, slices: 256, seed: 9};
const RATE = 1000;
const PHASES = 4;
const PHASE_MS = 90_000;
const WINDOW_MS = 10_000;
const STEP_MS = 10;
/** Exponent of the Zipf distribution of load over slices. */
const SKEW = 0.9;

/** Load of the hottest server over the mean, window by window. */
export const balanceBench: Bench = {
  name: 'balance',
  text: 'max/mean load while the hottest slices change, and slices moved',
  run: signal => {
    const cluster = formCluster(SIZE);
    const chances = zipf();
    const phases: Measurement[] = [];
    for (let phase = 0; phase < PHASES && !signal.aborted; phase++) {
      phases.push(runPhase(cluster, shifted(chances, phase)));
    }
    const figures: Measurements = {
      hosts: SIZE.hosts,
      slices: SIZE.slices,
      hottestSliceShareOfMeanServer: (chances[0] * SIZE.hosts).toFixed(2),
      phases,
    };
    return Promise.resolve(figures);
  },
};

function runPhase(
  cluster: SimulatedCluster,
  chances: readonly number[],
): Measurements {
  const before = serversNow(cluster);
  const imbalance: number[] = [];
  for (let passed = 0; passed < PHASE_MS; passed += WINDOW_MS) {
    imbalance.push(runWindow(cluster, chances));
  }
  return {
    maxOverMean: imbalance,
    moved: countMoved(before, serversNow(cluster)),
  };
}

function runWindow(
  cluster: SimulatedCluster,
  chances: readonly number[],
): number {
  const work = new Map<SimulatedNode, number>();
  const due = new Array<number>(SIZE.slices).fill(0);
  for (let passed = 0; passed < WINDOW_MS; passed += STEP_MS) {
    const servers = serversNow(cluster);
    chances.forEach((chance, slice) => {
      due[slice] += chance * RATE * (STEP_MS / 1000);
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
  return Number(((most * SIZE.hosts) / total).toFixed(2));
}

function zipf(): number[] {
  const weights = Array.from(
    {length: SIZE.slices},
    (_, rank) => 1 / (rank + 1) ** SKEW,
  );
  const total = weights.reduce((a, b) => a + b, 0);
  return weights.map(weight => weight / total);
}

/** Other slices are the hottest in each phase. */
function shifted(chances: readonly number[], phase: number): number[] {
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
