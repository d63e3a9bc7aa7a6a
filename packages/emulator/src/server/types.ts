/** @fileoverview Emulated backend server: options, orders, notes and ledger. */

import {z} from 'zod';

const MILLISECONDS = z.number().min(0);

/** Orders that a backend server's control port accepts. */
export const SERVER_ORDERS = z.discriminatedUnion('kind', [
  /** Asks to leave, and refuses new requests after `graceMs`. */
  z.object({kind: z.literal('leave'), graceMs: MILLISECONDS}),
  /** Turns cold, under a new instance id if `announced`. */
  z.object({kind: z.literal('cold'), announced: z.boolean()}),
  /** For `forMs`, every run takes `factor` times as long. */
  z.object({
    kind: z.literal('straggle'),
    factor: z.number().positive(),
    forMs: MILLISECONDS,
  }),
  /** Stops responding on open connections, on new ones unless `freshWorks`. */
  z.object({
    kind: z.literal('blackhole'),
    on: z.boolean(),
    freshWorks: z.boolean(),
  }),
  /** Load that the load endpoint reports: correct, outdated or none. */
  z.object({
    kind: z.literal('reports'),
    mode: z.enum(['true', 'lagging', 'idle']),
  }),
  /** Whether the server announces itself. */
  z.object({kind: z.literal('announce'), on: z.boolean()}),
]);

/** One order to a backend server. */
export type ServerOrder = z.infer<typeof SERVER_ORDERS>;

/** Options of a backend server. */
export interface ServerOptions {
  readonly port: number;
  readonly controlPort: number;
  readonly host: string;
  readonly service: string;
  /** `ip:port` of the daemon's port for operators, or empty. */
  readonly announceTo: string;
  /** Requests that it runs at the same time when it is warm. */
  readonly slots: number;
  /** Maximum number of connections. */
  readonly connections: number;
  /** Whether it refuses requests under a stale grant. */
  readonly checksGrants: boolean;
  /** Mean service time in milliseconds. */
  readonly serviceMs: number;
  /** Slots after a cold start. */
  readonly coldSlots: number;
  /** Completed requests that add one slot while it warms up. */
  readonly completedPerSlot: number;
  /** Requests over capacity, as a factor, from which it is overrun. */
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

/** Note of a request that a backend server starts to run. */
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
export type RunEnd = 'finished' | 'cancelled' | 'deadline';

/** What a backend server records, in order. */
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
  /** A request was over its capacity and was refused. */
  | {
      readonly kind: 'overLimit';
      readonly host: string;
      readonly atMs: number;
      /** Running requests, including this one. */
      readonly offered: number;
      /** Its capacity. */
      readonly bears: number;
      /** Time since it started or turned cold. */
      readonly coldForMs: number;
      /** Time since the first request over capacity after that. */
      readonly symptomForMs: number;
      /** Whether a new instance id announced the cold start. */
      readonly announced: boolean;
      /** Whether the requests exceeded its capacity by `breaksAt`. */
      readonly overrun: boolean;
    }
  /** A new request arrived long after it asked to leave. */
  | {
      readonly kind: 'lateWork';
      readonly host: string;
      readonly atMs: number;
      readonly afterMs: number;
    };

/** Receives each note, before the request continues. */
export type NoteListener = (note: ServerNote) => void;

/** Ledger that a backend server's control port returns. */
export interface ServerLedger {
  readonly host: string;
  readonly instance: string;
  readonly running: number;
  /** Its capacity. */
  readonly bears: number;
  readonly completed: number;
  readonly maxRunning: number;
  readonly connectionsOpened: number;
  readonly notes: readonly ServerNote[];
}
