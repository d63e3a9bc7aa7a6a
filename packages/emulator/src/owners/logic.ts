/**
 * @fileoverview Random scenarios in which slices move between backend servers
 * while processes are stopped, killed and restarted, in series and overlapping.
 */

import type {Random} from '../control/logic.js';
import type {Scenario, Step} from '../scenario/types.js';

import {seededRandom} from '../control/logic.js';
import {SPOILT_SHARES} from '../server/types.js';

const SERVICE = 'pairing';
const SLICES = 32;
const KEYS = 40;
const SLOTS = 20;
const SERVICE_MS = 15;
const REQUESTS_PER_SECOND = 80;
const MS_PER_SECOND = 1000;
/** Time for start and end of a run besides its load. */
const OVERHEAD_MS = 60_000;
/** Time for every key to be served after the last disturbance. */
const SERVED_WITHIN_MS = 15_000;
const MAX_PAUSE_MS = 8000;
/** How long a process is stopped by a signal. */
const FROZEN_MS: Range = [300, 4000];
/** How long a process is missing until it is started again. */
const MISSING_MS: Range = [100, 2000];
/** Time that a server which leaves has until it is restarted. */
const LEAVING_MS: Range = [200, 3000];
const OUT_MS: Range = [500, 4000];

type Range = readonly [number, number];

/** Number of signals that a stopping daemon gets. */
const SIGNALS: Range = [2, 7];
/** Time between them. */
const SIGNAL_INTERVAL_MS: Range = [0, 500];
/** Share of these signals that ask the daemon to read its settings. */
const RELOAD_SHARE = 0.4;

/** What happens to one host, as a sequence of steps. */
type Disturbance = (host: string, zone: string, random: Random) => Step[];

const DISTURBANCES: readonly Disturbance[] = [
  (server, _, random) => freezeFor({server}, random),
  (server, _, random) => freezeFor({server}, random),
  (daemon, _, random) => freezeFor({daemon}, random),
  (host, _, random) => freezeFor({host}, random),
  (daemon, _, random) => replace({daemon}, random),
  (server, _, random) => replace({server}, random),
  (host, _, random) => replace({host}, random),
  (server, _, random) => [
    {name: 'stop', args: {server}},
    wait(LEAVING_MS, random),
    ...replace({server}, random),
  ],
  (daemon, _, random) => [
    {name: 'stop', args: {daemon}},
    wait(LEAVING_MS, random),
    ...replace({daemon}, random),
  ],
  (_, zone, random) => [
    {name: 'zone', args: {name: zone, out: true}},
    wait(OUT_MS, random),
    {name: 'zone', args: {name: zone, out: false}},
  ],
  (server, _, random) => [
    {name: 'straggle', args: {server, factor: 2 + 20 * random(), for: 2000}},
  ],
  (server, _, random) => [
    {name: 'spoil', args: {server, shares: drawShares(random)}},
    wait([1000, 5000], random),
    {name: 'spoil', args: {server, shares: SPOILT_SHARES.parse({})}},
  ],
];

/**
 * Disturbances of runs with series of signals: a daemon gets further ones while
 * it stops, and its server leaves or ends meanwhile.
 */
const SIGNAL_DISTURBANCES: readonly Disturbance[] = [
  (daemon, _, random) => [
    ...signalSeries(daemon, random),
    wait(LEAVING_MS, random),
    ...replace({daemon}, random),
  ],
  (host, _, random) => [
    {name: 'stop', args: {server: host}},
    wait(LEAVING_MS, random),
    ...signalSeries(host, random),
    {name: 'kill', args: {server: host}},
    ...signalSeries(host, random),
    wait(LEAVING_MS, random),
    ...replace({host}, random),
  ],
];

/**
 * Builds a random scenario. Every host has its own series of disturbances, and
 * those of different hosts overlap.
 *
 * @param seed - The same seed gives the same scenario.
 * @param seconds - Duration of its load.
 * @param hosts - Number of hosts, each in a zone of its own.
 * @param signals - Whether stopping daemons get series of signals.
 * @returns The scenario.
 */
export function buildOwnersScenario(
  seed: number,
  seconds: number,
  hosts: number,
  signals: boolean,
): Scenario {
  const disturbances = signals
    ? [...DISTURBANCES, ...SIGNAL_DISTURBANCES]
    : DISTURBANCES;
  const random = seededRandom(seed);
  const durationMs = seconds * MS_PER_SECOND;
  const zones = Array.from({length: hosts}, (_, index) => `z${index + 1}`);
  return {
    name: `owners_${seed}`,
    title: `servers that hold slices, seed ${seed}`,
    timeoutMs: durationMs + OVERHEAD_MS,
    allow: {hung: true, relapse: durationMs},
    steps: [
      {
        name: 'start',
        args: {
          zones,
          services: [SERVICE],
          relays: false,
          slices: SLICES,
          server: {
            checksGrants: true,
            serviceMs: SERVICE_MS,
            slots: SLOTS,
            coldSlots: SLOTS,
          },
          tuning: {},
        },
      },
      {
        name: 'load',
        args: {
          seed,
          perSecond: REQUESTS_PER_SECOND,
          for: durationMs,
          keys: KEYS,
          zipf: 1,
          services: [SERVICE],
        },
      },
      {name: 'finish', args: 'load'},
      // Times of expectations count from here.
      {name: 'store', args: {fault: 'none'}},
      {name: 'expect', args: {served: [SERVICE], within: SERVED_WITHIN_MS}},
    ],
    beside: zones.map(zone =>
      buildSequence(
        {host: `${SERVICE}-${zone}`, zone, disturbances},
        durationMs,
        random,
      ),
    ),
  };
}

interface SequencePlan {
  readonly host: string;
  readonly zone: string;
  readonly disturbances: readonly Disturbance[];
}

/** Lists disturbances of one host whose times add up to a duration. */
function buildSequence(
  {host, zone, disturbances}: SequencePlan,
  durationMs: number,
  random: Random,
): Step[] {
  const sequence: Step[] = [];
  let passedMs = 0;
  for (;;) {
    const pause = wait([0, MAX_PAUSE_MS], random);
    const index = Math.floor(random() * disturbances.length);
    const disturbance = disturbances[index](host, zone, random);
    const steps = [pause, ...disturbance];
    for (const step of steps) if (step.name === 'wait') passedMs += step.args;
    if (passedMs >= durationMs) return sequence;
    sequence.push(...steps);
  }
}

type Target = Extract<Step, {readonly name: 'kill'}>['args'];

function freezeFor(args: Target, random: Random): Step[] {
  return [
    {name: 'freeze', args},
    wait(FROZEN_MS, random),
    {name: 'wake', args},
  ];
}

function replace(args: Target, random: Random): Step[] {
  return [
    {name: 'kill', args},
    wait(MISSING_MS, random),
    {name: 'restart', args},
  ];
}

/** A stop of a daemon and further signals, in a random order. */
function signalSeries(daemon: string, random: Random): Step[] {
  const [least, most] = SIGNALS;
  const count = Math.round(least + random() * (most - least));
  const steps: Step[] = [{name: 'stop', args: {daemon}}];
  while (steps.length < 2 * count) {
    const isReload = random() < RELOAD_SHARE;
    steps.push(wait(SIGNAL_INTERVAL_MS, random), {
      name: isReload ? 'reload' : 'stop',
      args: {daemon},
    });
  }
  return steps;
}

function wait([least, most]: Range, random: Random): Step {
  return {name: 'wait', args: Math.round(least + random() * (most - least))};
}

function drawShares(random: Random) {
  return SPOILT_SHARES.parse({
    lateAnswer: 0.3 * random(),
    repeatAnswer: 0.5 * random(),
    lateGrant: 0.1 * random(),
    lateByMs: 300 + 1200 * random(),
  });
}

/**
 * Lists the seeds with which two servers are known to hold a slice.
 *
 * @param text - Text of KNOWN-RED.txt; an entry begins with `random stops, two
 *     holders` and has the command with the seed.
 * @param signals - Whether the runs have series of signals; the same seed gives
 *     another run without them.
 * @returns The seeds.
 */
export function parseKnownRedSeeds(
  text: string,
  signals: boolean,
): ReadonlySet<number> {
  const entries = text
    .split(/^- /m)
    .filter(entry => entry.startsWith('random stops, two holders'));
  const command = signals
    ? /npm run owners -- --signals --seed (\d+)/g
    : /npm run owners -- --seed (\d+)/g;
  const seeds = entries.flatMap(entry => [...entry.matchAll(command)]);
  return new Set(seeds.map(match => Number(match[1])));
}
