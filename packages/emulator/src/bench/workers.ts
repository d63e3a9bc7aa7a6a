/**
 * @fileoverview Worker processes of benches. A worker module calls `serve`
 * with a table of calls; the bench starts it with `startWorker` and calls it.
 */

import {fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

/** The calls a worker answers, by name; arguments and results are JSON. */
export interface WorkerCalls {
  readonly [name: string]: (argument: never) => unknown;
}

/** A running worker. */
export interface Worker {
  readonly pid: number;
  /** Calls the worker and waits for its result. */
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

/** Processor time and memory of one process. */
export interface Usage {
  /** User and system time since the start, in microseconds. */
  readonly cpuUs: number;
  readonly rssBytes: number;
  /** Monotonic time, in milliseconds. */
  readonly atMs: number;
}

/**
 * Starts a worker.
 *
 * @param module - URL of the module that calls `serve`.
 * @param signal - Ends the worker.
 * @returns The worker.
 */
export function startWorker(module: URL, signal: AbortSignal): Worker {
  const child = fork(fileURLToPath(module), {
    signal,
    execArgv: ['--expose-gc'],
    serialization: 'advanced',
  });
  const waiting = new Map<number, (frame: ResultFrame) => void>();
  let calls = 0;
  const fail = (reason: string) => {
    for (const [id, settle] of waiting) settle({id, error: reason});
    waiting.clear();
  };
  child.on('message', (frame: ResultFrame) => {
    waiting.get(frame.id)?.(frame);
    waiting.delete(frame.id);
  });
  child.on('error', error => fail(error.message));
  child.on('exit', code => fail(`worker ended with ${code}`));
  return {
    pid: child.pid ?? 0,
    call: <Result>(name: string, argument?: unknown) =>
      new Promise<Result>((resolve, reject) => {
        const id = (calls += 1);
        waiting.set(id, ({result, error}) => {
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
 * Answers calls until the process ends.
 *
 * @param calls - What the bench may call.
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
 * Measures this process.
 *
 * @param collect - Collect garbage first, for a figure of what is held.
 * @returns Its usage so far.
 */
export function usage(collect = false): Usage {
  if (collect) globalThis.gc?.();
  const {user, system} = process.cpuUsage();
  return {
    cpuUs: user + system,
    rssBytes: process.memoryUsage.rss(),
    atMs: performance.now(),
  };
}
