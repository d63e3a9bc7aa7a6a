/** @fileoverview Network conditions under which overlays are compared. */

import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {Delay} from './types.js';

/** Number of nodes. */
export const NODES = 6000;
/** Availability zones; consecutive nodes are in different ones. */
export const ZONES = 15;
const REGION_OF_ZONE = [0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 2, 3, 3, 3];
const WITHIN_REGION_MS = 1;
const ACROSS_REGIONS_MS = 60;

/** Which nodes don't run or have an old list of members. */
export type NetworkCondition =
  | {readonly kind: 'none'}
  | {readonly kind: 'count'; readonly count: number}
  | {readonly kind: 'zone'}
  /** Recent joins and leaves, of which a share of the nodes doesn't know. */
  | {
      readonly kind: 'churn';
      readonly joins: number;
      readonly leaves: number;
      readonly behindShare: number;
    };

/** A condition with its name in the results. */
export interface NamedCondition {
  readonly name: string;
  readonly condition: NetworkCondition;
}

/** The conditions under which overlays are compared. */
export const CONDITIONS: readonly NamedCondition[] = [
  {name: 'all there', condition: {kind: 'none'}},
  {name: '1 gone', condition: {kind: 'count', count: 1}},
  {name: '5% gone', condition: {kind: 'count', count: 0.05 * NODES}},
  {name: '33% gone', condition: {kind: 'count', count: 0.33 * NODES}},
  {name: 'zone gone', condition: {kind: 'zone'}},
  {
    name: '20 joins, 20 leaves, 10% behind',
    condition: {kind: 'churn', joins: 20, leaves: 20, behindShare: 0.1},
  },
];

/** Delays between nodes, by their names in the results. */
export const DELAYS: Readonly<Record<string, Delay>> = {
  all1Ms: () => WITHIN_REGION_MS,
  all60Ms: () => ACROSS_REGIONS_MS,
  regions: (from, to) =>
    regionOf(from) === regionOf(to) ? WITHIN_REGION_MS : ACROSS_REGIONS_MS,
};

/** Nodes with their states, and the node at which the change begins. */
export interface Population {
  /** By node: 1 if it runs, else 0. */
  readonly alive: Uint8Array;
  readonly origin: number;
  isNew(node: number): boolean;
  hasOldView(node: number): boolean;
}

/**
 * Creates a random generator.
 *
 * @param seed - Its seed.
 * @returns The generator.
 */
export function randomFrom(seed: number): RandomGenerator {
  return xoroshiro128plus(seed);
}

/**
 * Draws a population.
 *
 * @param condition - The condition of the network.
 * @param random - Seeded generator.
 * @returns The population.
 */
export function populate(
  condition: NetworkCondition,
  random: RandomGenerator,
): Population {
  const alive = new Uint8Array(NODES).fill(1);
  const behind = new Set<number>();
  const newcomers = new Set<number>();
  switch (condition.kind) {
    case 'none':
      break;
    case 'count':
      stopNodes(alive, condition.count, random);
      break;
    case 'zone':
      stopZone(alive, uniformInt(random, 0, ZONES - 1));
      break;
    case 'churn':
      drawNodes(newcomers, condition.joins, random);
      stopNodes(alive, condition.leaves, random);
      drawNodes(behind, condition.behindShare * NODES, random);
      break;
  }
  return {
    alive,
    origin: pickAlive(alive, random),
    isNew: node => newcomers.has(node),
    hasOldView: node => behind.has(node) && !newcomers.has(node),
  };
}

function regionOf(node: number): number {
  return REGION_OF_ZONE[node % ZONES] ?? 0;
}

function stopNodes(
  alive: Uint8Array,
  count: number,
  random: RandomGenerator,
): void {
  for (let left = count; left > 0; left -= 1) {
    alive[pickAlive(alive, random)] = 0;
  }
}

function stopZone(alive: Uint8Array, zone: number): void {
  for (let node = zone; node < alive.length; node += ZONES) alive[node] = 0;
}

function drawNodes(
  into: Set<number>,
  count: number,
  random: RandomGenerator,
): void {
  while (into.size < count) into.add(uniformInt(random, 0, NODES - 1));
}

function pickAlive(alive: Uint8Array, random: RandomGenerator): number {
  for (;;) {
    const node = uniformInt(random, 0, alive.length - 1);
    if (alive[node]) return node;
  }
}
