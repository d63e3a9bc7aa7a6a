/** @fileoverview Emulated platform: options, faults, commands and ledger. */

import {z} from 'zod';

import type {Row} from '@jackdawfall/core';

const PROBABILITY = z.number().min(0).max(1);
const MILLISECONDS = z.number().min(0);

/** Commands that the platform's control port accepts; each injects a fault. */
export const PLATFORM_COMMANDS = z.discriminatedUnion('kind', [
  /** Delays every call by this time. */
  z.object({kind: z.literal('latency'), ms: MILLISECONDS}),
  /** Refuses calls above these rates with status 429. */
  z.object({
    kind: z.literal('rate'),
    writesPerSecond: z.number().positive(),
    readsPerSecond: z.number().positive(),
  }),
  /** Refuses every call with status 503, or never replies. */
  z.object({
    kind: z.literal('outage'),
    mode: z.enum(['none', 'refuse', 'hang']),
  }),
  /** Writes take effect, but with this probability there is no reply. */
  z.object({kind: z.literal('loseReplies'), probability: PROBABILITY}),
  /** With this probability, a write takes effect only after this time. */
  z.object({
    kind: z.literal('delayWrites'),
    probability: PROBABILITY,
    ms: MILLISECONDS,
  }),
  /**
   * Another writer leaves rows that can't be read: the next entry of the log,
   * the row of a member and the pointer to the latest snapshot.
   */
  z.object({kind: z.literal('foreignRows')}),
  /** Switches every fault off. */
  z.object({kind: z.literal('heal')}),
]);

/** One command to the platform. */
export type PlatformCommand = z.infer<typeof PLATFORM_COMMANDS>;

/** Faults that are switched on. */
export interface PlatformFaults {
  /** Delay of every call, in milliseconds. */
  latencyMs: number;
  writesPerSecond: number;
  readsPerSecond: number;
  outage: 'none' | 'refuse' | 'hang';
  /** Probability that the reply to a write is lost. */
  lostReplies: number;
  /** Probability that a write is delayed. */
  delayedWrites: number;
  /** Delay of such a write, in milliseconds. */
  delayMs: number;
}

/** Calls admitted in one second. */
export interface SecondCount {
  /** Wall clock, seconds since the epoch. */
  readonly second: number;
  reads: number;
  writes: number;
}

/** Ledger of the platform: counters of what it did. */
export interface PlatformLedger {
  commits: number;
  conflicts: number;
  reads: number;
  objectReads: number;
  objectWrites: number;
  refused: number;
  lostReplies: number;
  delayedWrites: number;
  /** Calls without a reply because of an outage. */
  hung: number;
  /** Counts of the latest seconds, oldest first. */
  readonly seconds: SecondCount[];
}

/** Outcome of a commit. */
export type CommitOutcome =
  | {readonly kind: 'committed'; readonly revision: number}
  | {readonly kind: 'conflict'; readonly rows: readonly Row[]};

/** Options of a platform. */
export interface PlatformOptions {
  readonly port: number;
  readonly controlPort: number;
  readonly seed: number;
}

/** Ports that a platform listens on. */
export interface PlatformPorts {
  readonly port: number;
  readonly controlPort: number;
}
