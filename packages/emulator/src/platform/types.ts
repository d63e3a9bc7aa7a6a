/** @fileoverview Stand-in of the platform: faults, orders and ledger. */

import {z} from 'zod';

import type {Row} from '@jackdawfall/core';

const PROBABILITY = z.number().min(0).max(1);
const MILLISECONDS = z.number().min(0);

/** Orders of the platform's control port. */
export const PLATFORM_ORDERS = z.discriminatedUnion('kind', [
  /** Every call takes this much longer. */
  z.object({kind: z.literal('latency'), ms: MILLISECONDS}),
  /** Calls a second above these are refused with 429. */
  z.object({
    kind: z.literal('rate'),
    writesPerSecond: z.number().positive(),
    readsPerSecond: z.number().positive(),
  }),
  z.object({
    kind: z.literal('outage'),
    mode: z.enum(['none', 'refuse', 'hang']),
  }),
  /** The write takes effect, its reply never leaves. */
  z.object({kind: z.literal('loseReplies'), probability: PROBABILITY}),
  /** The write takes effect only after this time. */
  z.object({
    kind: z.literal('delayWrites'),
    probability: PROBABILITY,
    ms: MILLISECONDS,
  }),
  /** Ends every fault. */
  z.object({kind: z.literal('heal')}),
]);

/** One order to the platform. */
export type PlatformOrder = z.infer<typeof PLATFORM_ORDERS>;

/** Faults in force. */
export interface PlatformFaults {
  latencyMs: number;
  writesPerSecond: number;
  readsPerSecond: number;
  outage: 'none' | 'refuse' | 'hang';
  lostReplies: number;
  delayedWrites: number;
  delayMs: number;
}

/** Counts of one second. */
export interface SecondCount {
  /** Wall clock, seconds since the epoch. */
  readonly second: number;
  reads: number;
  writes: number;
}

/** What the platform did. */
export interface PlatformLedger {
  commits: number;
  conflicts: number;
  reads: number;
  objectReads: number;
  objectWrites: number;
  refused: number;
  lostReplies: number;
  delayedWrites: number;
  hung: number;
  /** The latest seconds, oldest first, bounded. */
  readonly seconds: SecondCount[];
}

/** Outcome of a commit. */
export type CommitOutcome =
  | {readonly kind: 'committed'; readonly revision: number}
  | {readonly kind: 'conflict'; readonly rows: readonly Row[]};

/** How to start a platform. */
export interface PlatformOptions {
  readonly port: number;
  readonly controlPort: number;
  readonly seed: number;
}

/** Where a platform listens. */
export interface PlatformPorts {
  readonly port: number;
  readonly controlPort: number;
}
