/** @fileoverview The situations in which overlays are compared. */

import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {Delay} from './types.js';

/** Nodes of the calculation. */
export const NODES = 6000;
/** Availability zones; the ring interleaves them. */
export const ZONES = 15;
const REGION_OF_ZONE = [0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 2, 3, 3, 3];
const WITHIN_REGION_MS = 1;
const ACROSS_REGIONS_MS = 60;

/** What is missing when a change is made. */
export type Absence =
  | {readonly kind: 'none'}
  | {readonly kind: 'count'; readonly count: number}
  | {readonly kind: 'zone'}
  /** Recent joins and leaves that a share of the nodes has not heard of. */
  | {
      readonly kind: 'churn';
      readonly joins: number;
      readonly leaves: number;
      readonly behindShare: number;
    };

/** One case of absence, with its name in the figures. */
export interface AbsenceCase {
  readonly name: string;
  readonly absence: Absence;
}

/** The cases that are compared. */
export const ABSENCES: readonly AbsenceCase[] = [
  {name: 'all there', absence: {kind: 'none'}},
  {name: '1 gone', absence: {kind: 'count', count: 1}},
  {name: '5% gone', absence: {kind: 'count', count: 0.05 * NODES}},
  {name: '33% gone', absence: {kind: 'count', count: 0.33 * NODES}},
  {name: 'zone gone', absence: {kind: 'zone'}},
  {
    name: '20 joins, 20 leaves, 10% behind',
    absence: {kind: 'churn', joins: 20, leaves: 20, behindShare: 0.1},
  },
];

/** Delays between nodes, by their name in the figures. */
export const DELAYS: Readonly<Record<string, Delay>> = {
  all1Ms: () => WITHIN_REGION_MS,
  all60Ms: () => ACROSS_REGIONS_MS,
  regions: (from, to) =>
    regionOf(from) === regionOf(to) ? WITHIN_REGION_MS : ACROSS_REGIONS_MS,
};

/** Who runs, who is new, who is behind, and who makes the change. */
export interface Population {
  readonly alive: Uint8Array;
  readonly origin: number;
  isNewcomer(node: number): boolean;
  isBehind(node: number): boolean;
}

/**
 * A random source.
 *
 * @param seed - Its seed.
 * @returns The source.
 */
export function randomFrom(seed: number): RandomGenerator {
  return xoroshiro128plus(seed);
}

/**
 * Draws a population.
 *
 * @param absence - What is missing.
 * @param random - Seeded source.
 * @returns The population.
 */
export function populate(
  absence: Absence,
  random: RandomGenerator,
): Population {
  const alive = new Uint8Array(NODES).fill(1);
  const behind = new Set<number>();
  const newcomers = new Set<number>();
  switch (absence.kind) {
    case 'none':
      break;
    case 'count':
      remove(alive, absence.count, random);
      break;
    case 'zone':
      removeZone(alive, uniformInt(random, 0, ZONES - 1));
      break;
    case 'churn':
      draw(newcomers, absence.joins, random);
      remove(alive, absence.leaves, random);
      draw(behind, absence.behindShare * NODES, random);
      break;
  }
  return {
    alive,
    origin: pickAlive(alive, random),
    isNewcomer: node => newcomers.has(node),
    isBehind: node => behind.has(node) && !newcomers.has(node),
  };
}

function regionOf(node: number): number {
  return REGION_OF_ZONE[node % ZONES] ?? 0;
}

function remove(
  alive: Uint8Array,
  count: number,
  random: RandomGenerator,
): void {
  for (let left = count; left > 0; left -= 1) {
    alive[pickAlive(alive, random)] = 0;
  }
}

function removeZone(alive: Uint8Array, zone: number): void {
  for (let node = zone; node < alive.length; node += ZONES) alive[node] = 0;
}

function draw(into: Set<number>, count: number, random: RandomGenerator): void {
  while (into.size < count) into.add(uniformInt(random, 0, NODES - 1));
}

function pickAlive(alive: Uint8Array, random: RandomGenerator): number {
  for (;;) {
    const node = uniformInt(random, 0, alive.length - 1);
    if (alive[node]) return node;
  }
}
