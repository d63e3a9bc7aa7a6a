/**
 * @fileoverview Initial state of the execution subsystem and its view for
 * other subsystems.
 */

import {createAdmission} from '../admission/logic.js';
import {createServerCosts} from '../costs/logic.js';
import type {MemberId, ServiceName, Slice} from '../ids/types.js';
import type {Effect, Input} from '../loop/types.js';
import type {OwnershipView, WorkView} from '../ownership/types.js';
import type {Tuning} from '../settings/defaults.js';
import {createHistory} from './history.js';
import type {ExecutionState, Job} from './types.js';

/** The current input, with the effects it has caused so far. */
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
 * @param tuning - Tuning of the daemon.
 * @returns The state, without a backend server.
 */
export function createExecutionState(tuning: Tuning): ExecutionState {
  return {
    tuning,
    server: null,
    leavingSince: null,
    stopping: false,
    stopAt: Infinity,
    stopEndsAt: Infinity,
    admission: createAdmission(tuning.admission),
    byCost: false,
    costs: createServerCosts(),
    jobs: new Map(),
    running: new Map(),
    busyMs: new Map(),
    movingDeniedSince: new Map(),
    history: createHistory(),
    lastInputAt: null,
    stallMs: 0,
    stallUntil: 0,
    runtimeTimerAt: Infinity,
    newestCompletedRunStart: -Infinity,
  };
}

/**
 * Gives other subsystems a view of the work in flight.
 *
 * @param execution - The state.
 * @returns A live view of the state.
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
 * Builds the key of a slice in the maps of this subsystem.
 *
 * @param service - The service.
 * @param slice - The slice, or null for a shared service.
 * @returns The key.
 */
export function sliceKey(service: ServiceName, slice: Slice | null): string {
  return `${service}/${slice ?? ''}`;
}

/**
 * Returns the latency class of a run: runs of the same class have comparable
 * latencies. The words `read` and `write` stand for idempotent and
 * non-idempotent.
 *
 * @param job - The job that runs.
 * @returns The latency class.
 */
export function latencyClassOf(job: Job): string {
  return `${job.priority}/${job.idempotent ? 'read' : 'write'}`;
}

/**
 * Sends a message to a member.
 *
 * @param context - Context of the current input.
 * @param to - The receiver.
 * @param message - The message.
 */
export function send(
  context: ExecutionContext,
  to: MemberId,
  message: Extract<Effect, {kind: 'send'}>['message'],
): void {
  const address = context.ownership.addressOf(to);
  context.effects.push({kind: 'send', to, address, message});
}
