/**
 * @fileoverview The dissemination bench. It calculates how fast and at which
 * cost different overlays bring a change to all daemons.
 */

import {encodeFrame} from '@jackdawfall/wire';
import type {Version} from '@jackdawfall/core';
import type {Bench, Measurements} from '../bench/types.js';
import {printProgress} from '../bench/progress.js';
import {
  hypercube,
  powerOfTwoRing,
  randomGraph,
  rootedTree,
  withoutNodes,
} from './graphs.js';
import {flood, summarize, sendDownTree, originOnly} from './logic.js';
import {
  CONDITIONS,
  DELAYS,
  NODES,
  populate,
  randomFrom,
} from './populations.js';
import type {NamedCondition, Population} from './populations.js';
import type {
  Delay,
  Graph,
  NetworkState,
  Propagation,
  Summary,
  GraphView,
} from './types.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
/** Half of the mean degree of a hypercube with this number of nodes. */
const RANDOM_PICKS = 6;
const TREE_ARITY = 4;
/** HTTP/2, gRPC, TCP and IPv4 headers around one frame, in bytes. */
const HEADER_BYTES = 9 + 5 + 32 + 20;
const CONFIGURATION_CHANGES_PER_DAY = 3800;
const MEMBERSHIP_CHANGES_PER_DAY = 4 * (14 + 340);
const SECONDS_PER_DAY = 86_400;
/** Length of a log entry by its kind. */
const ENTRY_CHARACTERS = {membership: 120, configuration: 2000};

/** A strategy to bring a change to all nodes. */
interface Strategy {
  readonly name: string;
  /** Number of consecutive messages that one hop takes. */
  readonly messagesPerHop: number;
  /** Whether a copy carries the log entry or only its version. */
  readonly payload: 'entries' | 'versions';
  propagate(
    network: NetworkState,
    population: Population,
    seed: number,
  ): Propagation;
}

const STRATEGIES: readonly Strategy[] = [
  {
    name: 'hypercube',
    messagesPerHop: 1,
    payload: 'entries',
    propagate: floodHypercube,
  },
  {
    name: 'hypercube, versions pushed and entries pulled',
    messagesPerHop: 3,
    payload: 'versions',
    propagate: floodHypercube,
  },
  {
    name: 'random graph',
    messagesPerHop: 1,
    payload: 'entries',
    propagate: floodRandomGraph,
  },
  {
    name: 'ring at powers of two',
    messagesPerHop: 1,
    payload: 'entries',
    propagate: floodRing,
  },
  {
    name: 'ring at powers of two, versions pushed and entries pulled',
    messagesPerHop: 3,
    payload: 'versions',
    propagate: floodRing,
  },
  {
    name: `${TREE_ARITY}-ary tree with repair`,
    messagesPerHop: 1,
    payload: 'entries',
    propagate: (network, population) => {
      const {origin} = network;
      const view = positionalView(population, order =>
        rootedTree(order, origin, TREE_ARITY, NODES),
      );
      return sendDownTree(view, network);
    },
  },
  {
    name: 'renewals alone',
    messagesPerHop: 1,
    payload: 'entries',
    propagate: network => originOnly(network),
  },
];

/** The comparison of the strategies. */
export const disseminationBench: Bench = {
  name: 'dissemination',
  text: `ways to bring a change to ${NODES} daemons, calculated over graphs`,
  run: signal => Promise.resolve(compareStrategies(signal)),
};

function compareStrategies(signal: AbortSignal): Measurements {
  const ways: Record<string, Measurements> = {};
  for (const strategy of STRATEGIES) {
    printProgress(`  ${strategy.name}`);
    const rows: Record<string, Measurements> = {};
    for (const condition of CONDITIONS) {
      signal.throwIfAborted();
      rows[condition.name] = measureStrategy(strategy, condition);
    }
    ways[strategy.name] = rows;
  }
  return {
    nodes: NODES,
    seeds: SEEDS.length,
    entryFrameBytes: {
      membership: entryFrameSize(ENTRY_CHARACTERS.membership),
      configuration: entryFrameSize(ENTRY_CHARACTERS.configuration),
      version: versionFrameSize(),
    },
    ways,
  };
}

function measureStrategy(
  strategy: Strategy,
  {condition}: NamedCondition,
): Measurements {
  const times: Record<string, Measurements> = {};
  let summaries: Summary[] = [];
  for (const [name, delay] of Object.entries(DELAYS)) {
    summaries = SEEDS.map(seed => {
      const population = populate(condition, randomFrom(seed));
      const network = networkOf(population, delayOf(strategy, delay));
      return summarize(strategy.propagate(network, population, seed), network);
    });
    times[name] = {
      pushMs: maxOf(summaries, one => one.pushMs),
      wholeMs: roundOrNull(maxOf(summaries, one => one.wholeMs)),
    };
  }
  return {
    reachedByPushMin: -maxOf(summaries, one => -one.reachedByPush),
    hopsMean: round(meanOf(summaries, one => one.hopsMean)),
    hopsMax: maxOf(summaries, one => one.hopsMax),
    times,
    copiesSentMax: maxOf(summaries, one => one.copiesSentMax),
    ...bytesOf(strategy, summaries),
  };
}

/**
 * Computes the mean traffic of a daemon. When only versions are pushed, each
 * daemon also pulls the entry once: a request and a response, which count at
 * the sender and at the receiver.
 */
function bytesOf(
  strategy: Strategy,
  summaries: readonly Summary[],
): Measurements {
  const copies =
    meanOf(summaries, one => one.copiesSentMean) +
    meanOf(summaries, one => one.copiesReceivedMean);
  const bytes = (characters: number) => {
    const entry = entryFrameSize(characters);
    if (strategy.payload === 'entries') return Math.round(copies * entry);
    return Math.round(
      copies * versionFrameSize() + 2 * (entry + versionFrameSize()),
    );
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

function floodHypercube(
  network: NetworkState,
  population: Population,
): Propagation {
  return flood(fixedView(hypercube(NODES), population), network);
}

function floodRandomGraph(
  network: NetworkState,
  population: Population,
  seed: number,
): Propagation {
  const graph = randomGraph(NODES, RANDOM_PICKS, randomFrom(seed + 1000));
  return flood(fixedView(graph, population), network);
}

function floodRing(network: NetworkState, population: Population): Propagation {
  const view = positionalView(population, order =>
    powerOfTwoRing(order, NODES),
  );
  return flood(view, network);
}

/** For overlays in which a member's place doesn't depend on other members. */
function fixedView(graph: Graph, population: Population): GraphView {
  const old = withoutNodes(graph, node => !population.isNew(node));
  return node => (population.hasOldView(node) ? old : graph);
}

/** For overlays in which a member's place is its position among all members. */
function positionalView(
  population: Population,
  build: (order: readonly number[]) => Graph,
): GraphView {
  const all = Array.from({length: NODES}, (_, node) => node);
  const graph = build(all);
  const old = build(all.filter(node => !population.isNew(node)));
  return node => (population.hasOldView(node) ? old : graph);
}

function networkOf(population: Population, delay: Delay): NetworkState {
  const {alive, origin} = population;
  return {nodes: NODES, alive, origin, delay};
}

function delayOf(strategy: Strategy, delay: Delay): Delay {
  return (from, to) => strategy.messagesPerHop * delay(from, to);
}

function entryFrameSize(characters: number): number {
  const text = 'x'.repeat(characters);
  const entries = [{version: 100_000 as Version, revision: 200_000, text}];
  const messages = [
    {kind: 'entries', entries, version: 100_000 as Version} as const,
  ];
  return encodeFrame({kind: 'batch', messages}).length + HEADER_BYTES;
}

function versionFrameSize(): number {
  const messages = [{kind: 'pull', after: 100_000 as Version} as const];
  return encodeFrame({kind: 'batch', messages}).length + HEADER_BYTES;
}

function maxOf(
  summaries: readonly Summary[],
  figure: (summary: Summary) => number,
): number {
  return Math.max(...summaries.map(figure));
}

function meanOf(
  summaries: readonly Summary[],
  figure: (summary: Summary) => number,
): number {
  const total = summaries.reduce((sum, one) => sum + figure(one), 0);
  return total / summaries.length;
}

function roundOrNull(value: number): number | null {
  return Number.isFinite(value) ? Math.round(value) : null;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
