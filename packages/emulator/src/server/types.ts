/** @fileoverview Stand-in of a backend server: options, orders and ledger. */

import {z} from 'zod';

const MILLISECONDS = z.number().min(0);

/** Orders of a backend server's control port. */
export const SERVER_ORDERS = z.discriminatedUnion('kind', [
  /** Asks the daemon to let it leave; refuses new work after `graceMs`. */
  z.object({kind: z.literal('leave'), graceMs: MILLISECONDS}),
  /** Turns cold; `announced` gives it a new instance id. */
  z.object({kind: z.literal('cold'), announced: z.boolean()}),
  /** Every run takes `factor` times longer for a time. */
  z.object({
    kind: z.literal('straggle'),
    factor: z.number().positive(),
    forMs: MILLISECONDS,
  }),
  /** Accepts bytes and never answers; `fresh` connections may still work. */
  z.object({
    kind: z.literal('blackhole'),
    on: z.boolean(),
    freshWorks: z.boolean(),
  }),
  /** What the health and load endpoints say. */
  z.object({
    kind: z.literal('reports'),
    mode: z.enum(['true', 'lagging', 'idle']),
  }),
  /** Whether the server announces itself. */
  z.object({kind: z.literal('announce'), on: z.boolean()}),
]);

/** One order to a backend server. */
export type ServerOrder = z.infer<typeof SERVER_ORDERS>;

/** How to start a backend server. */
export interface ServerOptions {
  readonly port: number;
  readonly controlPort: number;
  readonly host: string;
  readonly service: string;
  /** `ip:port` of the operators port of the daemon beside it, or empty. */
  readonly announceTo: string;
  readonly slots: number;
  readonly connections: number;
  readonly checksGrants: boolean;
  /** Mean service time in milliseconds. */
  readonly serviceMs: number;
  /** Requests it bears when it has just started. */
  readonly coldSlots: number;
  /** Completed requests that add one slot while it warms up. */
  readonly completedPerSlot: number;
  /** Load over what it bears, as a factor, at which it breaks down. */
  readonly breaksAt: number;
  readonly seed: number;
}

/** Where a backend server listens. */
export interface ServerPorts {
  readonly port: number;
  readonly controlPort: number;
}

/** Why a backend server did not run a request. */
export type Refusal = 'shedding' | 'draining' | 'stale-grant' | 'cold';

/** One request that a backend server ran. */
export interface Run {
  readonly kind: 'run';
  readonly host: string;
  readonly instance: string;
  readonly request: string;
  readonly attempt: string;
  readonly service: string;
  readonly key: string;
  /** Null for a service that is not divided by key. */
  readonly slice: number | null;
  readonly generation: number | null;
  readonly idempotent: boolean;
  /** Wall clock, milliseconds. */
  readonly startMs: number;
}

/** Why a run ended. */
export type RunEnd = 'finished' | 'cancelled' | 'deadline';

/** What a backend server notes, in order. */
export type ServerNote =
  | Run
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
  /** More was sent to it than it could bear at that moment. */
  | {
      readonly kind: 'overLimit';
      readonly host: string;
      readonly atMs: number;
      readonly offered: number;
      readonly bears: number;
      /** Time since it started or turned cold. */
      readonly coldForMs: number;
      /** Time since it first was sent too much after that; 0 for the first. */
      readonly symptomForMs: number;
      /** True when the cold start was announced by a new instance id. */
      readonly announced: boolean;
      /** True when the load broke it down. */
      readonly overrun: boolean;
    }
  /** New work long after it asked to leave. */
  | {
      readonly kind: 'lateWork';
      readonly host: string;
      readonly atMs: number;
      readonly afterMs: number;
    };

/** Receives each note at once, before the request goes on. */
export type Journal = (note: ServerNote) => void;

/** What a backend server shows of itself. */
export interface ServerLedger {
  readonly host: string;
  readonly instance: string;
  readonly running: number;
  readonly bears: number;
  readonly completed: number;
  readonly maxRunning: number;
  readonly connectionsOpened: number;
  readonly notes: readonly ServerNote[];
}
