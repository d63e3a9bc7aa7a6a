/** @fileoverview Creation of the state and the answers to other subjects. */

import {createAdmission} from '../admission/logic.js';
import type {MemberId, ServiceName, Slice} from '../ids/types.js';
import type {Effect, Input} from '../loop/types.js';
import type {OwnershipView, WorkView} from '../ownership/types.js';
import type {Tuning} from '../settings/defaults.js';
import {createHistory} from './history.js';
import type {ExecutionState, Job} from './types.js';

/** One input on its way through the subject. */
export interface ExecutionContext {
  readonly state: ExecutionState;
  readonly input: Input;
  /** Monotonic time, in milliseconds. */
  readonly now: number;
  readonly ownership: OwnershipView;
  readonly effects: Effect[];
}

/**
 * Creates the state.
 *
 * @param settings - Settings of the daemon.
 * @returns The state, without a backend server.
 */
export function createExecutionState(settings: Tuning): ExecutionState {
  return {
    settings,
    server: null,
    leavingSince: null,
    stopping: false,
    stopAt: Infinity,
    admission: createAdmission(settings.admission),
    jobs: new Map(),
    running: new Map(),
    busyMs: new Map(),
    movingSince: new Map(),
    history: createHistory(),
    lastInputAt: null,
    stallMs: 0,
    stallUntil: 0,
    wakeAt: Infinity,
    latestAnsweredStart: -Infinity,
  };
}

/**
 * Gives other subjects a view of the work.
 *
 * @param execution - The state.
 * @returns The view; it follows the state.
 */
export function workViewOf(execution: ExecutionState): WorkView {
  return {
    inFlight: (service, slice) =>
      execution.running.get(sliceKey(service, slice)) ?? 0,
    inFlightTotal: () => execution.jobs.size,
    meanRunMs: () => execution.admission.meanRunMs,
    takeBusyMs: () => {
      const {busyMs} = execution;
      execution.busyMs = new Map();
      return busyMs;
    },
  };
}

/**
 * Names a slice in the maps of this subject.
 *
 * @param service - The service.
 * @param slice - The slice, or null for a shared service.
 * @returns The name.
 */
export function sliceKey(service: ServiceName, slice: Slice | null): string {
  return `${service}/${slice ?? ''}`;
}

/**
 * Label under which latencies of runs are compared.
 *
 * @param job - The run.
 * @returns The label.
 */
export function latencyLabelOf(job: Job): string {
  return `${job.priority}/${job.idempotent ? 'read' : 'write'}`;
}

/**
 * Sends a message over the link that is open to a member.
 *
 * @param turn - The turn.
 * @param to - The receiver.
 * @param message - The message.
 */
export function send(
  turn: ExecutionContext,
  to: MemberId,
  message: Extract<Effect, {kind: 'send'}>['message'],
): void {
  const address = turn.ownership.addressOf(to);
  turn.effects.push({kind: 'send', to, address, message});
}
