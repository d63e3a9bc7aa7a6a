/** @fileoverview Scenarios: the vocabulary of their steps, and results. */

import {z} from 'zod';

import type {Verdict} from '../ledger/types.js';

const MS_PER_SECOND = 1000;

/** A time such as `3s` or `500ms`, in milliseconds. */
const DURATION = z
  .string()
  .regex(/^\d+(\.\d+)?(ms|s)$/, 'must be a time such as 3s or 500ms')
  .transform(text => {
    const amount = Number.parseFloat(text);
    return text.endsWith('ms') ? amount : amount * MS_PER_SECOND;
  });

const NAME = z.string().min(1);
const ON_DAEMON = z.strictObject({daemon: NAME});
const ON_SERVER = z.strictObject({server: NAME});
const ON_HOST = z.strictObject({host: NAME});
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
  /** Partial settings of the daemons, for showing a scenario fail first. */
  tuning: z.record(z.string(), z.record(z.string(), z.unknown())).default({}),
});

const LOAD = z.strictObject({
  seed: z.int(),
  perSecond: z.number().positive(),
  for: DURATION,
  keys: z.int().positive(),
  zipf: z.number().min(0).default(0),
  services: z.array(NAME).min(1),
  /** Hosts whose daemons callers use; all when omitted. */
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
  z.strictObject({fault: z.literal('none')}),
]);

const EXPECT = z.union([
  /** Every key is served, asked through daemons that run, or these. */
  z.strictObject({
    served: z.array(NAME).min(1),
    within: DURATION,
    through: z.array(NAME).min(1).optional(),
  }),
  /** Every live daemon has the configuration accepted last. */
  z.strictObject({configuration: z.literal('in force'), within: DURATION}),
  /** The process has ended by itself with exit code 0. */
  z.strictObject({exited: NAME, within: DURATION}),
  /** From this time after the latest fault on, a host begins no run. */
  z.strictObject({noWorkAt: z.array(NAME).min(1), after: DURATION}),
  /** No key stays unserved longer than this, over the whole load. */
  z.strictObject({unservedAtMost: DURATION}),
  /** At most so many requests ended like this. */
  z.strictObject({
    outcome: z.enum(['not-run', 'unknown', 'hung']),
    atMost: z.int().min(0),
  }),
  /** At least this share of the requests was done. */
  z.strictObject({doneAtLeast: SHARE}),
]);

/** The steps of a scenario by name; each file uses only these. */
export const VOCABULARY = {
  start: START,
  load: LOAD,
  wait: DURATION,
  /** Waits until the load has ended. */
  finish: z.literal('load'),
  kill: z.union([ON_DAEMON, ON_SERVER, ON_HOST]),
  freeze: z.union([ON_DAEMON, ON_HOST]),
  wake: z.union([ON_DAEMON, ON_HOST]),
  restart: z.union([ON_DAEMON, ON_SERVER, ON_HOST]),
  /** Cuts one daemon off; one way: its words go out, none come in. */
  cut: z.strictObject({
    from: NAME,
    to: z.array(NAME).min(1),
    ways: z.enum(['both', 'one']),
  }),
  /** Open links of a daemon go silent; new ones work. */
  silence: z.union([ON_DAEMON, ON_SERVER]),
  heal: z.literal('links'),
  store: STORE,
  /** Changes template parameters; several change sets race each other. */
  apply: z
    .array(z.record(NAME, z.union([z.string(), z.number(), z.boolean()])))
    .min(1),
  zone: z.strictObject({name: NAME, out: z.boolean()}),
  /** A planned stop: SIGTERM for a daemon, leaving for a server. */
  stop: z.union([ON_DAEMON, ON_SERVER]),
  /** A backend server turns cold without being restarted. */
  cold: z.strictObject({server: NAME, announced: z.boolean()}),
  straggle: z.strictObject({
    server: NAME,
    factor: z.number().positive(),
    for: DURATION,
  }),
  expect: EXPECT,
} as const;

/** Words of the vocabulary. */
export type Word = keyof typeof VOCABULARY;

/** One step: a word and what it says. */
export type Step = {
  readonly [W in Word]: {
    readonly word: W;
    readonly says: z.output<(typeof VOCABULARY)[W]>;
  };
}[Word];

/** What one word says. */
export type Says<W extends Word> = z.output<(typeof VOCABULARY)[W]>;

/** The head of a scenario file. */
export const HEAD = z.strictObject({
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

/** One scenario, checked. */
export interface Scenario {
  readonly name: string;
  readonly title: string;
  readonly timeoutMs: number;
  readonly allow: {readonly hung: boolean; readonly relapse: number};
  readonly steps: readonly Step[];
}

/** One fault of a file, with its place. */
export interface Fault {
  readonly path: string;
  readonly message: string;
}

/** What came of one scenario. */
export interface Result {
  readonly name: string;
  readonly verdict: 'passed' | 'failed' | 'known red';
  readonly tookMs: number;
  /** Expectations that were not met; empty when it passed. */
  readonly faults: readonly string[];
  /** Why requests were not done, the most frequent first. */
  readonly reasons: readonly string[];
  readonly ledger: Verdict | null;
}
