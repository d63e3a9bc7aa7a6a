/**
 * @fileoverview Balancing under the load of ordered keys: few adjacent keys are
 * far busier than others, one key may get a fifth of the requests, and servers
 * differ in speed. Plays rounds of reports and moves against model servers.
 */

import test from 'ava';

import type {MemberId, Slice} from '../ids/types.js';
import {nextPlacement} from '../coordinator/logic.js';
import type {ClusterMap} from '../map/types.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import {
  FLEET_KEYS,
  addServer,
  applyChange,
  createFleet,
  fleetMember,
  placementOf,
} from '../testing/fleet.js';
import {planMoves, weightBySpeed} from './logic.js';
import type {MemberLoad} from './types.js';

const SLICES = 4096;
const SLOTS = 18;
const HOTTEST_KEY = 46_876;
/** Relative speeds of the servers, in turn. */
const SPEEDS = [0.6, 1, 1.4];
/** Number of slices in a report. */
const REPORTED = 64;
const MAX_MOVES = 96;
const ROUND_MS = 2000;
const SETTLING_MS = 10_000;

function sliceOf(key: number): number {
  return Math.floor((key * SLICES) / FLEET_KEYS);
}

/**
 * Share of the requests of each slice. The share of a key falls with its rank
 * to the power of `skew`; keys of neighbouring ranks are adjacent.
 */
function sharesOf(
  skew: number,
  hotKey: {key: number; share: number} | null,
): Float64Array {
  const shares = new Float64Array(SLICES);
  let total = 0;
  for (let rank = 0; rank < FLEET_KEYS; rank++) total += (rank + 1) ** -skew;
  const rest = 1 - (hotKey?.share ?? 0);
  for (let rank = 0; rank < FLEET_KEYS; rank++) {
    const key = (HOTTEST_KEY + rank) % FLEET_KEYS;
    shares[sliceOf(key)] += (rest * (rank + 1) ** -skew) / total;
  }
  if (hotKey !== null) shares[sliceOf(hotKey.key)] += hotKey.share;
  return shares;
}

/** A fleet under load: what servers measure, and what balancing does with it. */
class LoadedFleet {
  readonly map: ClusterMap;
  movedSlices = 0;

  /**
   * @param servers - Number of servers.
   * @param utilization - Mean utilization of the servers, 0 to 1.
   */
  constructor(
    servers: number,
    private readonly utilization: number,
  ) {
    this.map = createFleet(SLICES, servers, 4);
    const change = nextPlacement(this.map);
    if (change !== null) applyChange(this.map, change);
  }

  /** Load of every server, in busy slots; it may exceed the slots. */
  loads(shares: Float64Array): MemberLoad[] {
    const {owner} = placementOf(this.map);
    const members = [...this.map.members.values()];
    const speedOf = (index: number): number => SPEEDS[index % SPEEDS.length];
    const speeds = members.map(({index}) => speedOf(index));
    const capacity = speeds.reduce((a, b) => a + b, 0) * SLOTS;
    const fastest = Math.max(...speeds);
    const loads = members.map(({id, index}) => {
      const rates: Array<[Slice, number]> = [];
      let total = 0;
      for (let slice = 0; slice < SLICES; slice++) {
        if (owner[slice] !== index) continue;
        const work = shares[slice] * this.utilization * capacity;
        const rate = work / speedOf(index);
        total += rate;
        rates.push([slice as Slice, rate]);
      }
      rates.sort((a, b) => b[1] - a[1]);
      const slowness = fastest / speedOf(index);
      return {
        member: id,
        capacity: SLOTS,
        slowness,
        total,
        slices: new Map(rates.slice(0, REPORTED)),
      };
    });
    return weightBySpeed(loads);
  }

  /** Plans and carries out the moves of some time. */
  settle(shares: Float64Array, durationMs: number): void {
    const {hotShare} = DEFAULT_TUNING.balance;
    const placement = placementOf(this.map);
    for (let at = 0; at < durationMs; at += ROUND_MS) {
      const moves = planMoves(this.loads(shares), MAX_MOVES, hotShare);
      this.movedSlices += moves.length;
      for (const {slice, to} of moves) {
        placement.owner[slice] = this.map.members.get(to)?.index ?? 0;
      }
    }
  }

  /** Share of the requests for which their server has a slot, 0 to 1. */
  servedShare(shares: Float64Array): number {
    let served = 0;
    let asked = 0;
    for (const {total, slowness} of this.loads(shares)) {
      asked += total / slowness;
      served += Math.min(total, SLOTS) / slowness;
    }
    return served / asked;
  }
}

/** Highest utilization of the servers but one, over the mean of all. */
function imbalance(loads: MemberLoad[], except: MemberId | null): number {
  const utilizations = loads.map(({total, capacity}) => total / capacity);
  const mean =
    loads.reduce((sum, {total, slowness}) => sum + total / slowness, 0) /
    loads.reduce((sum, {capacity, slowness}) => sum + capacity / slowness, 0);
  const others = utilizations.filter((_, i) => loads[i].member !== except);
  return Math.max(...others) / mean;
}

const CASES: ReadonlyArray<{
  name: string;
  servers: number;
  utilization: number;
  skew: number;
  hotKey: {key: number; share: number} | null;
  /** Highest utilization over the mean, ten seconds after the load began. */
  maxImbalance: number;
  /** Lowest share of the requests that have a slot by then. */
  minServed: number;
  /** Highest share of the keys that move. */
  maxMoved: number;
}> = [
  {
    name: 'a calm day',
    servers: 9,
    utilization: 0.33,
    skew: 0.764,
    hotKey: null,
    maxImbalance: 1.25,
    minServed: 1,
    maxMoved: 0.2,
  },
  {
    name: 'a heavy day',
    servers: 9,
    utilization: 0.85,
    skew: 0.764,
    hotKey: null,
    maxImbalance: 1.25,
    minServed: 0.97,
    maxMoved: 0.2,
  },
  {
    name: 'one key with a fifth of the requests',
    servers: 9,
    utilization: 0.33,
    skew: 0.764,
    hotKey: {key: 22_357, share: 0.19},
    maxImbalance: 1.25,
    minServed: 1,
    maxMoved: 0.2,
  },
  {
    name: 'many servers',
    servers: 52,
    utilization: 0.4,
    skew: 0.536,
    hotKey: null,
    maxImbalance: 1.25,
    minServed: 1,
    maxMoved: 0.2,
  },
];

for (const each of CASES) {
  test(`load settles within ten seconds: ${each.name}`, t => {
    const fleet = new LoadedFleet(each.servers, each.utilization);
    const shares = sharesOf(each.skew, each.hotKey);
    fleet.settle(shares, SETTLING_MS);
    const loads = fleet.loads(shares);
    const hotSlice = sliceOf(each.hotKey?.key ?? 0);
    const hotOwner = placementOf(fleet.map).owner[hotSlice];
    const except = each.hotKey === null ? null : fleetMember(hotOwner);
    const found = imbalance(loads, except);
    t.true(found <= each.maxImbalance, `imbalance ${found.toFixed(2)}`);
    const served = fleet.servedShare(shares);
    t.true(served >= each.minServed, `served ${served.toFixed(3)}`);
    const moved = fleet.movedSlices / SLICES;
    t.true(moved <= each.maxMoved, `moved ${moved.toFixed(3)}`);
  });
}

test('an even load is left alone', t => {
  const fleet = new LoadedFleet(9, 0.33);
  const shares = sharesOf(0.764, null);
  fleet.settle(shares, SETTLING_MS);
  const moved = fleet.movedSlices;
  fleet.settle(shares, SETTLING_MS);
  t.is(fleet.movedSlices, moved);
});

test('a server that joins gets load, though no other is overloaded', t => {
  const fleet = new LoadedFleet(9, 0.33);
  const shares = sharesOf(0.764, null);
  fleet.settle(shares, SETTLING_MS);
  addServer(fleet.map, 9, 'zone-0');
  fleet.settle(shares, SETTLING_MS);
  const loads = fleet.loads(shares);
  const joiner = loads.find(({member}) => member === fleetMember(9));
  if (joiner === undefined) return t.fail();
  const utilization = joiner.total / joiner.capacity;
  const mean =
    loads.reduce((sum, {total, capacity}) => sum + total / capacity, 0) /
    loads.length;
  t.true(utilization >= 0.4 * mean, `${utilization} of ${mean}`);
});
