/** @fileoverview Scenarios: schemas of their files, and their results. */

import {z} from 'zod';

import type {Verdict} from '../ledger/types.js';
import {SPOILT_SHARES} from '../server/types.js';

const MS_PER_SECOND = 1000;

/** A duration such as `3s` or `500ms`; parsed to milliseconds. */
const DURATION = z
  .string()
  .regex(/^\d+(\.\d+)?(ms|s)$/, 'must be a time such as 3s or 500ms')
  .transform(text => {
    const amount = Number.parseFloat(text);
    return text.endsWith('ms') ? amount : amount * MS_PER_SECOND;
  });

const NAME = z.string().min(1);
const DAEMON_TARGET = z.strictObject({daemon: NAME});
const SERVER_TARGET = z.strictObject({server: NAME});
const HOST_TARGET = z.strictObject({host: NAME});
const SHARE = z.number().min(0).max(1);

const START = z.strictObject({
  zones: z.array(NAME).min(1),
  services: z.array(NAME).min(1),
  relays: z.boolean().default(false),
  slices: z.int().positive().default(64),
  server: z
    .strictObject({
      slots: z.int().positive().optional(),
      connections: z.int().positive().optional(),
      serviceMs: z.number().positive().optional(),
      checksGrants: z.boolean().optional(),
      coldSlots: z.int().positive().optional(),
      completedPerSlot: z.int().positive().optional(),
    })
    .default({}),
  /** Overrides of the daemons' tuning, to show that a scenario can fail. */
  tuning: z.record(z.string(), z.record(z.string(), z.unknown())).default({}),
});

const LOAD = z.strictObject({
  seed: z.int(),
  perSecond: z.number().positive(),
  for: DURATION,
  keys: z.int().positive(),
  zipf: z.number().min(0).default(0),
  services: z.array(NAME).min(1),
  /** Hosts whose daemons callers use; all by default. */
  through: z.array(NAME).optional(),
});

const STORE = z.discriminatedUnion('fault', [
  z.strictObject({
    fault: z.literal('outage'),
    mode: z.enum(['refuse', 'hang']),
  }),
  z.strictObject({fault: z.literal('slow'), by: DURATION}),
  z.strictObject({fault: z.literal('loseReplies'), share: SHARE}),
  z.strictObject({
    fault: z.literal('delayWrites'),
    share: SHARE,
    by: DURATION,
  }),
  z.strictObject({
    fault: z.literal('limit'),
    writesPerSecond: z.number().positive(),
    readsPerSecond: z.number().positive(),
  }),
  z.strictObject({fault: z.literal('foreignRows')}),
  z.strictObject({fault: z.literal('none')}),
]);

const EXPECT = z.union([
  /** Every key is served through all live daemons, or through these. */
  z.strictObject({
    served: z.array(NAME).min(1),
    within: DURATION,
    through: z.array(NAME).min(1).optional(),
  }),
  /** Every live daemon has the configuration that was accepted last. */
  z.strictObject({configuration: z.literal('in force'), within: DURATION}),
  /** The daemon has exited with code 0. */
  z.strictObject({exited: NAME, within: DURATION}),
  /**
   * From this time after the latest timed step on, the hosts begin no run. The
   * period ends with the next `restart` or `zone`, which may bring hosts back.
   */
  z.strictObject({noWorkAt: z.array(NAME).min(1), after: DURATION}),
  /** No key is unserved for longer than this during the whole load. */
  z.strictObject({unservedAtMost: DURATION}),
  /** At most this many requests had this outcome. */
  z.strictObject({
    outcome: z.enum(['not-run', 'unknown', 'hung']),
    atMost: z.int().min(0),
  }),
  /** At least this share of the requests was done. */
  z.strictObject({doneAtLeast: SHARE}),
]);

/** Schemas of the arguments of all steps, by name. */
export const STEP_SCHEMAS = {
  start: START,
  load: LOAD,
  wait: DURATION,
  /** Waits until every load has ended. */
  finish: z.literal('load'),
  kill: z.union([DAEMON_TARGET, SERVER_TARGET, HOST_TARGET]),
  freeze: z.union([DAEMON_TARGET, SERVER_TARGET, HOST_TARGET]),
  wake: z.union([DAEMON_TARGET, SERVER_TARGET, HOST_TARGET]),
  restart: z.union([DAEMON_TARGET, SERVER_TARGET, HOST_TARGET]),
  /**
   * Partitions the daemon `from` from the daemons `to`. `ways` is the direction
   * in which nothing arrives: `both`, or `one`, where `from` can send to them,
   * but receives nothing.
   */
  cut: z.strictObject({
    from: NAME,
    to: z.array(NAME).min(1),
    ways: z.enum(['both', 'one']),
  }),
  /** Silences the open connections of a process; new ones work. */
  silence: z.union([DAEMON_TARGET, SERVER_TARGET]),
  /** Makes all relays forward again: ends `cut`, and `silence` of daemons. */
  heal: z.literal('links'),
  store: STORE,
  /** Changes template parameters; several sets are applied at the same time. */
  apply: z
    .array(z.record(NAME, z.union([z.string(), z.number(), z.boolean()])))
    .min(1),
  zone: z.strictObject({name: NAME, out: z.boolean()}),
  /** A planned stop: SIGTERM to a daemon, the command to leave to a server. */
  stop: z.union([DAEMON_TARGET, SERVER_TARGET]),
  /** Tells a daemon that its settings may have changed, with SIGHUP. */
  reload: DAEMON_TARGET,
  /** Makes a backend server warm up again without a restart. */
  cold: z.strictObject({server: NAME, announced: z.boolean()}),
  /** Makes a backend server slow: for a time, runs take `factor` as long. */
  straggle: z.strictObject({
    server: NAME,
    factor: z.number().positive(),
    for: DURATION,
  }),
  /** Makes a backend server spoil shares of its responses from now on. */
  spoil: z.strictObject({server: NAME, shares: SPOILT_SHARES}),
  expect: EXPECT,
} as const;

/** Name of a step. */
export type StepName = keyof typeof STEP_SCHEMAS;

/** One step: its name and arguments. */
export type Step = {
  readonly [W in StepName]: {
    readonly name: W;
    readonly args: z.output<(typeof STEP_SCHEMAS)[W]>;
  };
}[StepName];

/** Arguments of one step. */
export type StepArguments<W extends StepName> = z.output<
  (typeof STEP_SCHEMAS)[W]
>;

/** Schema of a scenario file; its steps are checked one by one. */
export const SCENARIO_SCHEMA = z.strictObject({
  title: z.string().min(1),
  shows: z.string().min(1),
  timeout: DURATION,
  allow: z
    .strictObject({
      hung: z.boolean().default(false),
      relapse: DURATION.default(500),
    })
    .default({hung: false, relapse: 500}),
  steps: z.array(z.record(z.string(), z.unknown())).min(1),
});

/** One valid scenario. */
export interface Scenario {
  readonly name: string;
  readonly title: string;
  readonly timeoutMs: number;
  readonly allow: {readonly hung: boolean; readonly relapse: number};
  readonly steps: readonly Step[];
  /** Sequences of steps that begin with the load, beside the other steps. */
  readonly beside?: ReadonlyArray<readonly Step[]>;
}

/** One fault of a file, with its path. */
export interface ScenarioFault {
  readonly path: string;
  readonly message: string;
}

/** Result of one scenario. */
export interface ScenarioResult {
  readonly name: string;
  readonly verdict: 'passed' | 'failed' | 'known red';
  readonly tookMs: number;
  /** What failed; empty if the scenario passed. */
  readonly faults: readonly string[];
  /** Reasons why requests were not done, the most frequent first. */
  readonly reasons: readonly string[];
  readonly ledger: Verdict | null;
}
