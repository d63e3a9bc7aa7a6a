/** @fileoverview State of the emulated backend server. */

import type {
  RecordListener,
  ServerRecord,
  ServerOptions,
  SpoiltShares,
} from './types.js';
import type {Random} from '../control/logic.js';

import {SPOILT_SHARES} from './types.js';

/** The grant of one slice. */
export interface Grant {
  generation: number;
  /** Expiry by the monotonic clock, in milliseconds. */
  untilMs: number;
}

/** Work that runs on a slice. */
export interface SliceWork {
  readonly slice: number;
  /** Monotonic time at which it ends, as the slice isn't held any more. */
  untilMs: number;
  /** Whether the slice was released, so that no later grant extends it. */
  released: boolean;
  /** Ends the work early. */
  readonly end: () => void;
  /** Resolves once the work has ended. */
  readonly ended: Promise<void>;
  /** Resolves `ended`. */
  readonly finish: () => void;
}

/** State of one backend server. */
export interface ServerState {
  readonly options: ServerOptions;
  readonly random: Random;
  readonly onRecord: RecordListener;
  readonly records: ServerRecord[];
  /** Grants by slice. */
  readonly grants: Map<number, Grant>;
  /** The highest generation granted so far, by slice. */
  readonly seenGenerations: Map<number, number>;
  /** Work that runs, if the server checks grants. */
  readonly sliceWork: Set<SliceWork>;
  instance: string;
  running: number;
  maxRunning: number;
  completed: number;
  /** Number of requests completed since it last started to warm up. */
  completedSinceCold: number;
  /** Wall clock at which it last started to warm up. */
  coldSinceMs: number;
  /** Whether a new instance id announced the warm-up. */
  coldAnnounced: boolean;
  /** Wall clock of the first request over its capacity since then, or null. */
  firstOverLimitMs: number | null;
  /** Wall clock at which it announced its shutdown, or null. */
  leavingSinceMs: number | null;
  /** Time after that from which it refuses new requests. */
  leaveGraceMs: number;
  /** Factor on the duration of runs that start until `straggleUntilMs`. */
  straggleFactor: number;
  straggleUntilMs: number;
  /** Whether the server stops responding. */
  blackhole: boolean;
  /** Whether new connections work while `blackhole` is set. */
  freshWorks: boolean;
  reports: 'true' | 'lagging' | 'idle';
  /** Outdated number of running requests, which `lagging` reports. */
  reportedRunning: number;
  announces: boolean;
  spoilt: SpoiltShares;
  connectionsOpened: number;
}

let startCount = 0;

/**
 * Creates the instance id of one start of a backend server.
 *
 * @param host - The host that it runs on.
 * @returns An id that is unique for each start.
 */
export function newInstanceId(host: string): string {
  startCount++;
  return `${host}-${process.pid}-${Date.now()}-${startCount}`;
}

/**
 * Creates the state of a backend server that has just started.
 *
 * @param options - Options of the server.
 * @param random - Seeded source of service times.
 * @param onRecord - Called with each record.
 * @returns The state.
 */
export function createServerState(
  options: ServerOptions,
  random: Random,
  onRecord: RecordListener,
): ServerState {
  return {
    options,
    random,
    onRecord,
    records: [],
    grants: new Map(),
    seenGenerations: new Map(),
    sliceWork: new Set(),
    instance: newInstanceId(options.host),
    running: 0,
    maxRunning: 0,
    completed: 0,
    completedSinceCold: 0,
    coldSinceMs: Date.now(),
    coldAnnounced: true,
    firstOverLimitMs: null,
    leavingSinceMs: null,
    leaveGraceMs: 0,
    straggleFactor: 1,
    straggleUntilMs: 0,
    blackhole: false,
    freshWorks: false,
    reports: 'true',
    reportedRunning: 0,
    announces: true,
    spoilt: SPOILT_SHARES.parse({}),
    connectionsOpened: 0,
  };
}
