/** @fileoverview Capacity, refusals and service times of a backend server. */

import type {ServerState} from './state.js';
import type {ServerRecord, Refusal, Run, ServerCommand} from './types.js';

import {newInstanceId} from './state.js';

/** Maximum number of records kept in memory. */
const MAX_RECORDS = 200_000;
/** Time after asking to leave from which a new request is recorded as late. */
const LATE_WORK_AFTER_MS = 3000;
/** Minimum service time, as a share of the mean. */
const MIN_SERVICE_TIME_SHARE = 0.5;

/** The parts of a request that the server evaluates. */
export interface IncomingRequest {
  readonly request: string;
  readonly attempt: string;
  readonly service: string;
  readonly key: string;
  readonly slice: number | null;
  readonly generation: number | null;
  /** Time left until the deadline, in milliseconds, or null for none. */
  readonly deadlineMs: number | null;
  readonly idempotent: boolean;
}

/**
 * Computes how many requests the server can run at the same time now. This
 * grows with completed requests after a cold start.
 *
 * @param state - The server.
 * @returns A number of slots from `coldSlots` to `slots`.
 */
export function currentCapacity(state: ServerState): number {
  const {slots, coldSlots, completedPerSlot} = state.options;
  const addedSlots = Math.floor(state.completedSinceCold / completedPerSlot);
  return Math.min(slots, coldSlots + addedSlots);
}

/**
 * Decides whether a request is refused before it runs.
 *
 * @param state - The server.
 * @param incoming - The request.
 * @param wallMs - Wall clock, in milliseconds.
 * @param monotonicMs - Monotonic clock, in milliseconds.
 * @returns The reason for the refusal, or null if the request may run.
 */
export function findRefusal(
  state: ServerState,
  incoming: IncomingRequest,
  wallMs: number,
  monotonicMs: number,
): Refusal | null {
  const leavingSinceMs = state.leavingSinceMs;
  if (leavingSinceMs !== null) {
    const afterMs = wallMs - leavingSinceMs;
    if (afterMs > LATE_WORK_AFTER_MS) recordLateWork(state, wallMs, afterMs);
    if (afterMs > state.leaveGraceMs) return 'draining';
  }
  if (isGrantStale(state, incoming, monotonicMs)) return 'stale-grant';
  const limit = currentCapacity(state);
  if (state.running < limit) return null;
  recordOverLimit(state, wallMs, limit);
  return limit < state.options.slots ? 'cold' : 'shedding';
}

/**
 * Passes a record to the listener and keeps it in memory. The oldest record is
 * dropped when there are too many.
 *
 * @param state - The server.
 * @param record - The record.
 */
export function addRecord(state: ServerState, record: ServerRecord): void {
  state.onRecord(record);
  state.records.push(record);
  if (state.records.length > MAX_RECORDS) state.records.shift();
}

/**
 * Starts a run.
 *
 * @param state - The server.
 * @param incoming - The request.
 * @param wallMs - Wall clock, in milliseconds.
 */
export function startRun(
  state: ServerState,
  incoming: IncomingRequest,
  wallMs: number,
): void {
  state.running++;
  state.maxRunning = Math.max(state.maxRunning, state.running);
  const run: Run = {
    kind: 'run',
    host: state.options.host,
    instance: state.instance,
    request: incoming.request,
    attempt: incoming.attempt,
    service: incoming.service,
    key: incoming.key,
    slice: incoming.slice,
    generation: incoming.generation,
    idempotent: incoming.idempotent,
    startMs: wallMs,
  };
  addRecord(state, run);
}

/**
 * Draws the service time of one run: a minimum plus an exponential part, times
 * the factor of a `straggle` command.
 *
 * @param state - The server.
 * @param wallMs - Wall clock, in milliseconds.
 * @returns The service time, in milliseconds.
 */
export function drawServiceTimeMs(state: ServerState, wallMs: number): number {
  const meanMs = state.options.serviceMs;
  const minMs = meanMs * MIN_SERVICE_TIME_SHARE;
  const tail = -Math.log(1 - state.random()) * (meanMs - minMs);
  const factor = wallMs < state.straggleUntilMs ? state.straggleFactor : 1;
  return (minMs + tail) * factor;
}

/**
 * Executes a command of the control port.
 *
 * @param state - The server.
 * @param command - The command.
 * @param wallMs - Wall clock, in milliseconds.
 */
export function executeCommand(
  state: ServerState,
  command: ServerCommand,
  wallMs: number,
): void {
  switch (command.kind) {
    case 'leave':
      state.leavingSinceMs ??= wallMs;
      state.leaveGraceMs = command.graceMs;
      return;
    case 'cold':
      state.completedSinceCold = 0;
      state.coldSinceMs = wallMs;
      state.firstOverLimitMs = null;
      state.coldAnnounced = command.announced;
      if (command.announced) state.instance = newInstanceId(state.options.host);
      return;
    case 'straggle':
      state.straggleFactor = command.factor;
      state.straggleUntilMs = wallMs + command.forMs;
      return;
    case 'blackhole':
      state.blackhole = command.on;
      state.freshWorks = command.freshWorks;
      return;
    case 'reports':
      state.reports = command.mode;
      return;
    case 'spoil':
      state.spoilt = command.shares;
      return;
    case 'announce':
      state.announces = command.on;
      return;
  }
}

function isGrantStale(
  state: ServerState,
  incoming: IncomingRequest,
  monotonicMs: number,
): boolean {
  if (!state.options.checksGrants || incoming.slice === null) return false;
  const grant = state.grants.get(incoming.slice);
  if (grant === undefined) return true;
  const generation = incoming.generation ?? 0;
  return generation < grant.generation || monotonicMs > grant.untilMs;
}

function recordOverLimit(
  state: ServerState,
  wallMs: number,
  limit: number,
): void {
  const offered = state.running + 1;
  state.firstOverLimitMs ??= wallMs;
  addRecord(state, {
    kind: 'overLimit',
    host: state.options.host,
    atMs: wallMs,
    offered,
    bears: limit,
    coldForMs: wallMs - state.coldSinceMs,
    symptomForMs: wallMs - state.firstOverLimitMs,
    announced: state.coldAnnounced,
    overrun: offered > limit * state.options.breaksAt,
  });
}

function recordLateWork(
  state: ServerState,
  wallMs: number,
  afterMs: number,
): void {
  addRecord(state, {
    kind: 'lateWork',
    host: state.options.host,
    atMs: wallMs,
    afterMs,
  });
}

/**
 * Parses the key in a path such as `/records/KEY/export`.
 *
 * @param path - Path without query.
 * @returns The decoded key, or an empty text.
 */
export function parseKey(path: string): string {
  const [, , key = ''] = path.split('/');
  return decodeURIComponent(key);
}
