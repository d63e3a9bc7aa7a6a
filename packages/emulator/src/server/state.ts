/** @fileoverview State of the emulated backend server. */

import type {NoteListener, ServerNote, ServerOptions} from './types.js';
import type {Random} from '../control/logic.js';

/** The grant of one slice. */
export interface Grant {
  generation: number;
  /** Expiry by the monotonic clock, in milliseconds. */
  untilMs: number;
}

/** State of one backend server. */
export interface ServerState {
  readonly options: ServerOptions;
  readonly random: Random;
  readonly onNote: NoteListener;
  readonly notes: ServerNote[];
  /** Grants by slice. */
  readonly grants: Map<number, Grant>;
  instance: string;
  running: number;
  maxRunning: number;
  completed: number;
  /** Requests completed since it started or turned cold. */
  completedSinceCold: number;
  /** Wall clock at which it started or turned cold. */
  coldSinceMs: number;
  /** Whether a new instance id announced the cold start. */
  coldAnnounced: boolean;
  /** Wall clock of the first request over its capacity since then, or null. */
  firstOverLimitMs: number | null;
  /** Wall clock at which it asked to leave, or null. */
  leavingSinceMs: number | null;
  /** Time after that from which it refuses new requests. */
  leaveGraceMs: number;
  straggleFactor: number;
  straggleUntilMs: number;
  blackhole: boolean;
  freshWorks: boolean;
  reports: 'true' | 'lagging' | 'idle';
  /** Running requests as reported while it reports `lagging`. */
  reportedRunning: number;
  announces: boolean;
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
 * @param onNote - Called with each note.
 * @returns The state.
 */
export function createServerState(
  options: ServerOptions,
  random: Random,
  onNote: NoteListener,
): ServerState {
  return {
    options,
    random,
    onNote,
    notes: [],
    grants: new Map(),
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
    connectionsOpened: 0,
  };
}
