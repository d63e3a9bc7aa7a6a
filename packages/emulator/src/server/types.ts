/**
 * @fileoverview Emulated backend server: options, commands of its control port
 * (most inject a fault), records of what it did, and its ledger.
 */

import {z} from 'zod';

const MILLISECONDS = z.number().min(0);
const SHARE = z.number().min(0).max(1).default(0);

/** Shares of responses that a backend server spoils, by fault. */
export const SPOILT_SHARES = z.strictObject({
  /** Requests refused without need. */
  refuse: SHARE,
  /** Refusals that are sent again where the next response is expected. */
  repeatRefusal: SHARE,
  /** Responses with an invalid status instead of their own. */
  invalidStatus: SHARE,
  /** Responses that end in the middle of their head. */
  cutHead: SHARE,
  /** Answers to grants and releases that are sent up to `lateByMs` late. */
  lateAnswer: SHARE,
  /** Such answers that are sent again where the next response is expected. */
  repeatAnswer: SHARE,
  /** Grants that get no answer and are carried out up to `lateByMs` late. */
  lateGrant: SHARE,
  lateByMs: MILLISECONDS.default(1000),
});

/** Shares of spoilt responses. */
export type SpoiltShares = z.output<typeof SPOILT_SHARES>;

/** Commands that a backend server's control port accepts. */
export const SERVER_COMMANDS = z.discriminatedUnion('kind', [
  /** Announces its shutdown, and refuses new requests after `graceMs`. */
  z.object({kind: z.literal('leave'), graceMs: MILLISECONDS}),
  /** Starts to warm up again, under a new instance id if `announced`. */
  z.object({kind: z.literal('cold'), announced: z.boolean()}),
  /** Makes the server slow: for `forMs`, runs take `factor` times as long. */
  z.object({
    kind: z.literal('straggle'),
    factor: z.number().positive(),
    forMs: MILLISECONDS,
  }),
  /**
   * If `on`, stops responding on open connections; `freshWorks` says whether new
   * connections still work.
   */
  z.object({
    kind: z.literal('blackhole'),
    on: z.boolean(),
    freshWorks: z.boolean(),
  }),
  /**
   * Load that the load endpoint reports: the current one (`true`), an outdated one
   * (`lagging`) or none (`idle`).
   */
  z.object({
    kind: z.literal('reports'),
    mode: z.enum(['true', 'lagging', 'idle']),
  }),
  /** Spoils shares of the responses from now on. */
  z.object({kind: z.literal('spoil'), shares: SPOILT_SHARES}),
  /** Whether the server announces itself. */
  z.object({kind: z.literal('announce'), on: z.boolean()}),
]);

/** One command to a backend server. */
export type ServerCommand = z.infer<typeof SERVER_COMMANDS>;

/** Options of a backend server. */
export interface ServerOptions {
  readonly port: number;
  readonly controlPort: number;
  readonly host: string;
  readonly service: string;
  /** `ip:port` of the daemon's port for operators, or empty. */
  readonly announceTo: string;
  /** Number of requests that it runs at the same time once it is warmed up. */
  readonly slots: number;
  /** Maximum number of connections. */
  readonly connections: number;
  /** Whether it refuses requests under a stale grant. */
  readonly checksGrants: boolean;
  /** Mean service time in milliseconds. */
  readonly serviceMs: number;
  /** Number of slots when it starts to warm up. */
  readonly coldSlots: number;
  /** Number of completed requests that add one slot while it warms up. */
  readonly completedPerSlot: number;
  /** Ratio of requests to capacity above which the server is overrun. */
  readonly breaksAt: number;
  readonly seed: number;
}

/** Ports that a backend server listens on. */
export interface ServerPorts {
  readonly port: number;
  readonly controlPort: number;
}

/** Why a backend server did not run a request. */
export type Refusal = 'shedding' | 'draining' | 'stale-grant' | 'cold';

/** Record of a request that a backend server starts to run. */
export interface Run {
  readonly kind: 'run';
  readonly host: string;
  readonly instance: string;
  readonly request: string;
  readonly attempt: string;
  readonly service: string;
  readonly key: string;
  /** Null for a shared service. */
  readonly slice: number | null;
  readonly generation: number | null;
  readonly idempotent: boolean;
  /** Wall clock, milliseconds. */
  readonly startMs: number;
}

/** How a run ended. */
export type RunEnd =
  | 'finished'
  | 'cancelled'
  | 'deadline'
  /** The server no longer held the slice. */
  | 'hold-ended';

/**
 * What a backend server that checks grants records of the slices that it holds,
 * in order. Times are by the monotonic clock that all processes of a machine
 * share, in milliseconds.
 */
export type HoldRecord = {
  readonly host: string;
  readonly instance: string;
  readonly service: string;
  readonly slices: readonly number[];
  readonly monotonicMs: number;
} & (
  | {
      readonly kind: 'granted';
      readonly generations: readonly number[];
      /** When the server stops holding the slices. */
      readonly untilMs: number;
      /** Whether a higher generation was granted before, so it holds none. */
      readonly refused: boolean;
    }
  /** A release arrived: no new work starts on the slices. */
  | {readonly kind: 'released'; readonly generations: readonly number[]}
  /** The server no longer holds the slices, and no work runs on them. */
  | {
      readonly kind: 'holdEnded';
      readonly reason: 'released' | 'expired' | 'restarted';
    }
);

/** What a backend server records, in order. */
export type ServerRecord =
  | Run
  | HoldRecord
  | {
      readonly kind: 'ended';
      readonly host: string;
      readonly request: string;
      readonly attempt: string;
      readonly endMs: number;
      readonly end: RunEnd;
    }
  | {
      readonly kind: 'refused';
      readonly host: string;
      readonly request: string;
      readonly attempt: string;
      readonly atMs: number;
      readonly reason: Refusal;
    }
  /** A request was over its capacity and was refused. */
  | {
      readonly kind: 'overLimit';
      readonly host: string;
      readonly atMs: number;
      /** Running requests, including this one. */
      readonly offered: number;
      /** Its capacity: the number of requests that it can run now. */
      readonly bears: number;
      /** Time since it last started to warm up. */
      readonly coldForMs: number;
      /** Time since the first request over capacity after that. */
      readonly symptomForMs: number;
      /** Whether a new instance id announced the warm-up. */
      readonly announced: boolean;
      /** Whether the requests exceeded `breaksAt` times its capacity. */
      readonly overrun: boolean;
    }
  /** A new request arrived long after it had announced its shutdown. */
  | {
      readonly kind: 'lateWork';
      readonly host: string;
      readonly atMs: number;
      readonly afterMs: number;
    };

/** Receives each record, before the request continues. */
export type RecordListener = (record: ServerRecord) => void;

/**
 * Ledger that a backend server's control port returns: its counters and the
 * records that it keeps (`notes`).
 */
export interface ServerLedger {
  readonly host: string;
  readonly instance: string;
  readonly running: number;
  /** Its capacity: the number of requests that it can run now. */
  readonly bears: number;
  readonly completed: number;
  readonly maxRunning: number;
  readonly connectionsOpened: number;
  readonly notes: readonly ServerRecord[];
}
