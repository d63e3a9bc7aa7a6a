/** @fileoverview Starts processes, keeps their latest output and kills them. */

import type {ManagedProcess, ProcessLimits} from './types.js';
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

/** Lines of output kept for each process. */
const MAX_LINES = 200;
/** Maximum time until an emulator process prints its ports. */
const READY_TIMEOUT_MS = 15_000;

/** Thrown when a process fails to start. */
export class StartError extends Error {
  override readonly name = 'StartError';
}

/** A process to start. */
export interface Program {
  readonly name: string;
  /** Path of the built entry point, relative to the packages folder. */
  readonly entry: string;
  readonly args: readonly string[];
  /** Receives each line of standard output. */
  readonly onLine?: (line: string) => void;
  /** File to which all output is appended as well. */
  readonly logFile?: string;
  /** Limits of the process; those of this process if absent. */
  readonly limits?: ProcessLimits;
}

/**
 * Starts an entry point of this repository with Node.js.
 *
 * @param program - Entry point and arguments.
 * @param signal - Kills the process when aborted.
 * @returns The process.
 */
export function startProcess(
  program: Program,
  signal: AbortSignal,
): ManagedProcess {
  const entry = new URL(`../../../${program.entry}`, import.meta.url);
  const [command, ...args] = [
    ...limitedCommand(program.limits),
    fileURLToPath(entry),
    ...program.args,
  ];
  const child = spawn(command, args, {stdio: ['ignore', 'pipe', 'pipe']});
  const output: string[] = [];
  collectLines(child, output, program.onLine);
  if (program.logFile !== undefined) appendOutput(child, program.logFile);
  const exited = new Promise<string>(resolve => {
    child.once('exit', (code, signalName) =>
      resolve(signalName ?? String(code)),
    );
  });
  const isRunning = (): boolean =>
    child.exitCode === null && child.signalCode === null;
  const failure = (): string | null => {
    const {exitCode, signalCode} = child;
    if (signalCode === 'SIGKILL') return null;
    if (signalCode !== null) return signalCode;
    return exitCode === null || exitCode === 0 ? null : `code ${exitCode}`;
  };
  const kill = (name: NodeJS.Signals): void => {
    if (isRunning()) child.kill(name);
  };
  signal.addEventListener('abort', () => kill('SIGKILL'), {once: true});
  if (signal.aborted) kill('SIGKILL');
  const pid = child.pid ?? 0;
  const {name} = program;
  return {name, pid, output, exited, isRunning, failure, kill};
}

/**
 * Starts an emulator process and waits for its first line, a JSON object with
 * its ports.
 *
 * @param program - Entry point and arguments.
 * @param signal - Kills the process when aborted.
 * @returns The process and its ports by name.
 * @throws {StartError} When it exits or prints no ports in time.
 */
export async function startEmulatorProcess(
  program: Program,
  signal: AbortSignal,
): Promise<{child: ManagedProcess; ports: Record<string, number>}> {
  const {child, firstLine} = startWithFirstLine(program, signal);
  const line = await Promise.race([
    firstLine,
    child.exited.then(() => null),
    new Promise<null>(resolve => {
      setTimeout(resolve, READY_TIMEOUT_MS, null).unref();
    }),
  ]);
  if (line === null) {
    throw new StartError(`${program.name}: ${child.output.join('\n')}`);
  }
  return {child, ports: JSON.parse(line) as Record<string, number>};
}

/** The first line goes to the promise, further ones to `program.onLine`. */
function startWithFirstLine(
  program: Program,
  signal: AbortSignal,
): {child: ManagedProcess; firstLine: Promise<string>} {
  let resolveFirst: ((line: string) => void) | null = null;
  const firstLine = new Promise<string>(resolve => {
    resolveFirst = resolve;
  });
  const onLine = (line: string): void => {
    if (resolveFirst === null) program.onLine?.(line);
    else resolveFirst(line);
    resolveFirst = null;
  };
  return {child: startProcess({...program, onLine}, signal), firstLine};
}

/** Returns the command that runs Node.js within the limits. */
function limitedCommand(limits?: ProcessLimits): [string, ...string[]] {
  if (limits === undefined) return [process.execPath];
  const {heapMb, descriptors} = limits;
  const script = `ulimit -n ${descriptors} && exec "$0" "$@"`;
  const heap = `--max-old-space-size=${heapMb}`;
  return ['/bin/sh', '-c', script, process.execPath, heap];
}

/** Writes both outputs to a file that earlier processes may have begun. */
function appendOutput({stdout, stderr}: ChildProcess, path: string): void {
  const file = createWriteStream(path, {flags: 'a'});
  stdout?.pipe(file, {end: false});
  stderr?.pipe(file, {end: false});
}

/** Keeps both outputs, but for standard output if `onLine` receives it. */
function collectLines(
  child: ChildProcess,
  output: string[],
  onLine: ((line: string) => void) | undefined,
): void {
  const keep = (line: string): void => {
    output.push(line);
    if (output.length > MAX_LINES) output.shift();
  };
  if (child.stdout === null || child.stderr === null) return;
  createInterface({input: child.stdout}).on('line', line => {
    if (onLine === undefined) keep(line);
    else onLine(line);
  });
  createInterface({input: child.stderr}).on('line', keep);
}
