/** @fileoverview The dissemination bench: overlays side by side. */

import {encodeFrame} from '@jackdawfall/wire';
import type {Version} from '@jackdawfall/core';
import type {Bench, Measurements} from '../bench/types.js';
import {printProgress} from '../bench/progress.js';
import {
  hypercube,
  powersOfTwo,
  randomGraph,
  treeFrom,
  without,
} from './graphs.js';
import {flood, summarize, tree, unspread} from './logic.js';
import {ABSENCES, DELAYS, NODES, populate, randomFrom} from './situations.js';
import type {AbsenceCase, Population} from './situations.js';
import type {Delay, Graph, Situation, Spread, Summary, View} from './types.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
/** Half of the mean degree of a hypercube of this size. */
const RANDOM_PICKS = 6;
const TREE_ARITY = 4;
/** HTTP/2, gRPC, TCP and IPv4 headers around one frame, in bytes. */
const HEADER_BYTES = 9 + 5 + 32 + 20;
const CONFIGURATION_CHANGES_PER_DAY = 3800;
const MEMBERSHIP_CHANGES_PER_DAY = 4 * (14 + 340);
const SECONDS_PER_DAY = 86_400;
const ENTRY_CHARACTERS = {membership: 120, configuration: 2000};

/** A way to bring a change to all. */
interface Way {
  readonly name: string;
  /** Messages one after another that a hop takes. */
  readonly legs: number;
  /** Whether copies carry the entry or only its version. */
  readonly copies: 'entries' | 'versions';
  spread(situation: Situation, population: Population, seed: number): Spread;
}

const WAYS: readonly Way[] = [
  {
    name: 'hypercube',
    legs: 1,
    copies: 'entries',
    spread: floodHypercube,
  },
  {
    name: 'hypercube, versions pushed and entries pulled',
    legs: 3,
    copies: 'versions',
    spread: floodHypercube,
  },
  {
    name: 'random graph',
    legs: 1,
    copies: 'entries',
    spread: floodRandomGraph,
  },
  {
    name: 'ring at powers of two',
    legs: 1,
    copies: 'entries',
    spread: floodRing,
  },
  {
    name: 'ring at powers of two, versions pushed and entries pulled',
    legs: 3,
    copies: 'versions',
    spread: floodRing,
  },
  {
    name: `${TREE_ARITY}-ary tree with repair`,
    legs: 1,
    copies: 'entries',
    spread: (situation, population) => {
      const {origin} = situation;
      const view = viewByOrder(population, order =>
        treeFrom(order, origin, TREE_ARITY, NODES),
      );
      return tree(view, situation);
    },
  },
  {
    name: 'renewals alone',
    legs: 1,
    copies: 'entries',
    spread: situation => unspread(situation),
  },
];

/** Comparison of overlays over 6,000 nodes. */
export const disseminationBench: Bench = {
  name: 'dissemination',
  text: `ways to bring a change to ${NODES} daemons, calculated over graphs`,
  run: signal => Promise.resolve(compare(signal)),
};

function compare(signal: AbortSignal): Measurements {
  const ways: Record<string, Measurements> = {};
  for (const way of WAYS) {
    printProgress(`  ${way.name}`);
    const rows: Record<string, Measurements> = {};
    for (const absence of ABSENCES) {
      signal.throwIfAborted();
      rows[absence.name] = row(way, absence);
    }
    ways[way.name] = rows;
  }
  return {
    nodes: NODES,
    seeds: SEEDS.length,
    entryFrameBytes: {
      membership: entryBytes(ENTRY_CHARACTERS.membership),
      configuration: entryBytes(ENTRY_CHARACTERS.configuration),
      version: versionBytes(),
    },
    ways,
  };
}

function row(way: Way, {absence}: AbsenceCase): Measurements {
  const times: Record<string, Measurements> = {};
  let summaries: Summary[] = [];
  for (const [name, delay] of Object.entries(DELAYS)) {
    summaries = SEEDS.map(seed => {
      const population = populate(absence, randomFrom(seed));
      const situation = situationOf(population, delayOf(way, delay));
      return summarize(way.spread(situation, population, seed), situation);
    });
    times[name] = {
      pushMs: most(summaries, one => one.pushMs),
      wholeMs: finite(most(summaries, one => one.wholeMs)),
    };
  }
  return {
    reachedByPushMin: -most(summaries, one => -one.reachedByPush),
    hopsMean: round(mean(summaries, one => one.hopsMean)),
    hopsMax: most(summaries, one => one.hopsMax),
    times,
    copiesSentMax: most(summaries, one => one.copiesSentMax),
    ...bytesOf(way, summaries),
  };
}

function bytesOf(way: Way, summaries: readonly Summary[]): Measurements {
  const copies =
    mean(summaries, one => one.copiesSentMean) +
    mean(summaries, one => one.copiesReceivedMean);
  const bytes = (characters: number) => {
    const entry = entryBytes(characters);
    if (way.copies === 'entries') return Math.round(copies * entry);
    return Math.round(copies * versionBytes() + 2 * (entry + versionBytes()));
  };
  const membership = bytes(ENTRY_CHARACTERS.membership);
  const configuration = bytes(ENTRY_CHARACTERS.configuration);
  const daily =
    membership * MEMBERSHIP_CHANGES_PER_DAY +
    configuration * CONFIGURATION_CHANGES_PER_DAY;
  return {
    copiesPerDaemonAndChange: round(copies),
    bytesPerDaemonAndMembershipChange: membership,
    bytesPerDaemonAndConfigurationChange: configuration,
    bytesPerDaemonAndSecond: round(daily / SECONDS_PER_DAY),
  };
}

function floodHypercube(situation: Situation, population: Population): Spread {
  return flood(viewOfGraph(hypercube(NODES), population), situation);
}

function floodRandomGraph(
  situation: Situation,
  population: Population,
  seed: number,
): Spread {
  const graph = randomGraph(NODES, RANDOM_PICKS, randomFrom(seed + 1000));
  return flood(viewOfGraph(graph, population), situation);
}

function floodRing(situation: Situation, population: Population): Spread {
  const view = viewByOrder(population, order => powersOfTwo(order, NODES));
  return flood(view, situation);
}

/** A member's place does not depend on the number of members. */
function viewOfGraph(graph: Graph, population: Population): View {
  const old = without(graph, node => !population.isNewcomer(node));
  return node => (population.isBehind(node) ? old : graph);
}

/** A member's place is its position in the order of members. */
function viewByOrder(
  population: Population,
  build: (order: readonly number[]) => Graph,
): View {
  const all = Array.from({length: NODES}, (_, node) => node);
  const graph = build(all);
  const old = build(all.filter(node => !population.isNewcomer(node)));
  return node => (population.isBehind(node) ? old : graph);
}

function situationOf(population: Population, delay: Delay): Situation {
  const {alive, origin} = population;
  return {nodes: NODES, alive, origin, delay};
}

function delayOf(way: Way, delay: Delay): Delay {
  return (from, to) => way.legs * delay(from, to);
}

function entryBytes(characters: number): number {
  const text = 'x'.repeat(characters);
  const entries = [{version: 100_000 as Version, revision: 200_000, text}];
  const messages = [
    {kind: 'entries', entries, version: 100_000 as Version} as const,
  ];
  return encodeFrame({kind: 'batch', messages}).length + HEADER_BYTES;
}

function versionBytes(): number {
  const messages = [{kind: 'pull', after: 100_000 as Version} as const];
  return encodeFrame({kind: 'batch', messages}).length + HEADER_BYTES;
}

function most(
  summaries: readonly Summary[],
  figure: (summary: Summary) => number,
): number {
  return Math.max(...summaries.map(figure));
}

function mean(
  summaries: readonly Summary[],
  figure: (summary: Summary) => number,
): number {
  const total = summaries.reduce((sum, one) => sum + figure(one), 0);
  return total / summaries.length;
}

function finite(value: number): number | null {
  return Number.isFinite(value) ? Math.round(value) : null;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
