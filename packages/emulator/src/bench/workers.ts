/**
 * @fileoverview Worker processes of benches, with remote procedure calls over
 * IPC. A worker module passes its procedures to `serve`; the bench starts the
 * module with `startWorker` and calls them by name.
 */

import {fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

/** The procedures of a worker by name; arguments and results are plain data. */
export interface WorkerCalls {
  readonly [name: string]: (argument: never) => unknown;
}

/** A running worker. */
export interface Worker {
  readonly pid: number;
  /** Calls a procedure of the worker and waits for its result. */
  call<Result>(name: string, argument?: unknown): Promise<Result>;
  stop(): Promise<void>;
}

interface CallFrame {
  readonly id: number;
  readonly name: string;
  readonly argument: unknown;
}

interface ResultFrame {
  readonly id: number;
  readonly result?: unknown;
  readonly error?: string;
}

/** CPU time and memory of a process. */
export interface Usage {
  /** User and system time since the start of the process, in microseconds. */
  readonly cpuUs: number;
  readonly rssBytes: number;
  /** Monotonic time of the measurement, in milliseconds. */
  readonly atMs: number;
}

/**
 * Starts a worker process.
 *
 * @param module - URL of the module that calls `serve`.
 * @param signal - Aborts the worker.
 * @returns The worker.
 */
export function startWorker(module: URL, signal: AbortSignal): Worker {
  const child = fork(fileURLToPath(module), {
    signal,
    execArgv: ['--expose-gc'],
    serialization: 'advanced',
  });
  const pendingCalls = new Map<number, (frame: ResultFrame) => void>();
  let callCount = 0;
  const fail = (reason: string) => {
    for (const [id, settle] of pendingCalls) settle({id, error: reason});
    pendingCalls.clear();
  };
  child.on('message', (frame: ResultFrame) => {
    pendingCalls.get(frame.id)?.(frame);
    pendingCalls.delete(frame.id);
  });
  child.on('error', error => fail(error.message));
  child.on('exit', code => fail(`worker ended with ${code}`));
  return {
    pid: child.pid ?? 0,
    call: <Result>(name: string, argument?: unknown) =>
      new Promise<Result>((resolve, reject) => {
        const id = (callCount += 1);
        pendingCalls.set(id, ({result, error}) => {
          if (error === undefined) resolve(result as Result);
          else reject(new Error(error));
        });
        const frame: CallFrame = {id, name, argument};
        child.send(frame);
      }),
    stop: async () => {
      if (child.exitCode !== null || child.signalCode !== null) return;
      const ended = once(child, 'exit');
      child.kill('SIGTERM');
      await ended;
    },
  };
}

/**
 * Serves calls until the bench disconnects.
 *
 * @param calls - The procedures that the bench may call.
 */
export function serve(calls: WorkerCalls): void {
  process.on('message', ({id, name, argument}: CallFrame) => {
    const call = calls[name] as ((argument: unknown) => unknown) | undefined;
    const reply = (frame: ResultFrame) => process.send?.(frame);
    Promise.resolve()
      .then(() => {
        if (!call) throw new Error(`no call ${name}`);
        return call(argument);
      })
      .then(result => reply({id, result}))
      .catch((error: unknown) => reply({id, error: String(error)}));
  });
  process.on('disconnect', () => process.exit(0));
}

/**
 * Reads the resource usage of this process.
 *
 * @param collectGarbage - Whether to collect garbage first, so memory
 *     contains only live data.
 * @returns The usage since the start of the process.
 */
export function readOwnUsage(collectGarbage = false): Usage {
  if (collectGarbage) globalThis.gc?.();
  const {user, system} = process.cpuUsage();
  return {
    cpuUs: user + system,
    rssBytes: process.memoryUsage.rss(),
    atMs: performance.now(),
  };
}
