/** @fileoverview State of the stand-in backend server. */

import type {Journal, ServerNote, ServerOptions} from './types.js';
import type {Random} from '../control/logic.js';

/** A grant of one slice. */
export interface Grant {
  generation: number;
  /** Monotonic clock, milliseconds. */
  untilMs: number;
}

/** Everything a backend server keeps. */
export interface ServerState {
  readonly options: ServerOptions;
  readonly random: Random;
  readonly journal: Journal;
  readonly notes: ServerNote[];
  readonly grants: Map<number, Grant>;
  instance: string;
  running: number;
  maxRunning: number;
  completed: number;
  /** Completed since it started or turned cold. */
  completedWarm: number;
  coldSinceMs: number;
  coldAnnounced: boolean;
  /** When it was first sent too much since it turned cold, or null. */
  symptomMs: number | null;
  leavingSinceMs: number | null;
  leaveGraceMs: number;
  straggleFactor: number;
  straggleUntilMs: number;
  blackhole: boolean;
  freshWorks: boolean;
  reports: 'true' | 'lagging' | 'idle';
  reportedRunning: number;
  announces: boolean;
  connectionsOpened: number;
}

let starts = 0;

/**
 * Names one start of a backend server.
 *
 * @param host - The host it runs on.
 * @returns A new instance id.
 */
export function newInstance(host: string): string {
  starts++;
  return `${host}-${process.pid}-${Date.now()}-${starts}`;
}

/**
 * Makes a backend server that has just started.
 *
 * @param options - Its size and manners.
 * @param random - Seeded source of service times.
 * @param journal - Receives its notes.
 * @returns The state.
 */
export function coldServer(
  options: ServerOptions,
  random: Random,
  journal: Journal,
): ServerState {
  return {
    options,
    random,
    journal,
    notes: [],
    grants: new Map(),
    instance: newInstance(options.host),
    running: 0,
    maxRunning: 0,
    completed: 0,
    completedWarm: 0,
    coldSinceMs: Date.now(),
    coldAnnounced: true,
    symptomMs: null,
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
