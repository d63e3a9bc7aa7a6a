/** @fileoverview A run executor with recorded events and messages, for tests. */

import {MemoryBudget} from '@jackdawfall/core';
import type {
  Address,
  AttemptId,
  Dispatch,
  Event,
  Generation,
  Header,
  InstanceId,
  MemberId,
  Message,
  ServiceName,
  Slice,
} from '@jackdawfall/core';

import {RunExecutor} from '../runs/logic.js';
import {SERVER_PROTOCOL} from '../runs/protocol.js';

/** The daemon that sent the attempt. */
export const ORIGIN = 'h1#1' as MemberId;
/** The attempt that `start` runs. */
export const ATTEMPT = 'h1#1/1' as AttemptId;
/** Time budget of the attempt. */
export const BUDGET_MS = 400;

const SERVICE = 'finder' as ServiceName;
const SILENCE_MS = 200;
const WAIT_TIMEOUT_MS = 3000;

/** Options of an executor for tests. */
export interface RunHarnessOptions {
  /** Whether the lease lasts until the request is written; true by default. */
  readonly mayWrite?: boolean;
  /** Whether the attempt's request is idempotent; false by default. */
  readonly idempotent?: boolean;
  /**
   * Time for opening the connection, in milliseconds, and budget of the run;
   * `SILENCE_MS` and `BUDGET_MS` by default.
   */
  readonly connectMs?: number;
  readonly budgetMs?: number;
  /** Method and body of the request; GET without a body by default. */
  readonly method?: string;
  readonly body?: string;
  /** Headers of the request; none by default. */
  readonly headers?: readonly Header[];
}

/**
 * Creates an executor that has received one attempt.
 *
 * @param port - Port of the backend server on 127.0.0.1.
 * @param options - What differs from the defaults.
 * @param options.mayWrite - See `RunHarnessOptions`.
 * @param options.idempotent - See `RunHarnessOptions`.
 * @param options.connectMs - See `RunHarnessOptions`.
 * @param options.budgetMs - See `RunHarnessOptions`.
 * @param options.method - See `RunHarnessOptions`.
 * @param options.body - See `RunHarnessOptions`.
 * @param options.headers - See `RunHarnessOptions`.
 * @returns The executor, what it reported, and functions to drive it.
 */
export function createRunHarness(
  port: number,
  {
    mayWrite = true,
    idempotent = false,
    connectMs = SILENCE_MS,
    budgetMs = BUDGET_MS,
    method = 'GET',
    body = '',
    headers = [],
  }: RunHarnessOptions = {},
) {
  const events: Event[] = [];
  const messages: Message[] = [];
  const runs = new RunExecutor({
    emit: event => void events.push(event),
    transmit: (_, message) => void messages.push(message),
    mayWrite: () => mayWrite,
    windowBytes: 1024,
    budget: new MemoryBudget(1_000_000),
    silenceMs: connectMs,
    silentRunMs: SILENCE_MS,
    protocol: SERVER_PROTOCOL,
    workReport: () => ({workMs: 0, expectedMs: 0}),
    onServerUnreachable: () => undefined,
    keptLimits: {responseBytes: 100, totalBytes: 1000},
  });
  runs.setServer({
    instance: 'i' as InstanceId,
    service: SERVICE,
    address: `127.0.0.1:${port}` as Address,
    slots: 4,
    connections: 4,
    checksGrants: false,
    leaving: false,
    coldStart: null,
  });
  runs.receive(ORIGIN, {
    ...dispatch(idempotent),
    method,
    headers,
    body: Buffer.from(body),
  });
  return {
    runs,
    events,
    start: (keep: boolean) => startRun(runs, keep, budgetMs),
    kinds: (attempt: AttemptId = ATTEMPT) => messageKinds(messages, attempt),
    waitForEvents: (count: number) =>
      waitUntil(() => {
        runs.tick();
        return events.length >= count;
      }),
  };
}

function startRun(
  runs: RunExecutor,
  keepResponse: boolean,
  budgetMs: number,
): void {
  runs.run({
    kind: 'run',
    attempt: ATTEMPT,
    origin: ORIGIN,
    service: SERVICE,
    slice: 0 as Slice,
    generation: 1 as Generation,
    budgetMs,
    keepResponse,
  });
}

function dispatch(idempotent: boolean): Dispatch {
  return {
    kind: 'dispatch',
    attempt: ATTEMPT,
    request: 'r1',
    method: 'GET',
    path: '/finder/a',
    headers: [],
    service: SERVICE,
    slice: 0 as Slice,
    idempotent,
    body: new Uint8Array(),
    bodyEnds: true,
  } as unknown as Dispatch;
}

function messageKinds(
  messages: readonly Message[],
  attempt: AttemptId,
): string[] {
  const kinds: string[] = [];
  for (const message of messages) {
    if (!('attempt' in message) || message.attempt !== attempt) continue;
    if (kinds.at(-1) !== message.kind) kinds.push(message.kind);
  }
  return kinds;
}

/**
 * Waits until a condition holds, for a few seconds at most.
 *
 * @param done - The condition.
 */
export async function waitUntil(done: () => boolean): Promise<void> {
  const end = performance.now() + WAIT_TIMEOUT_MS;
  while (!done() && performance.now() < end) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}
