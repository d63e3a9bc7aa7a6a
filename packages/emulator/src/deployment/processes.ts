/** @fileoverview Starts a process, keeps its latest output, ends it. */

import type {ManagedProcess} from './types.js';
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const MAX_LINES = 200;
const READY_TIMEOUT_MS = 15_000;

/** Raised when a process did not come up. */
export class StartError extends Error {
  override readonly name = 'StartError';
}

/** What to start. */
export interface Program {
  readonly name: string;
  /** Path of the built entry, relative to the packages folder. */
  readonly entry: string;
  readonly args: readonly string[];
  /** Receives each line of standard output. */
  readonly onLine?: (line: string) => void;
}

/**
 * Starts a process of the workspace with Node.
 *
 * @param program - Entry and arguments.
 * @param signal - Kills the process.
 * @returns The process.
 */
export function startProcess(
  program: Program,
  signal: AbortSignal,
): ManagedProcess {
  const entry = new URL(`../../../${program.entry}`, import.meta.url);
  const child = spawn(
    process.execPath,
    [fileURLToPath(entry), ...program.args],
    {stdio: ['ignore', 'pipe', 'pipe']},
  );
  const output: string[] = [];
  keepLines(child, output, program.onLine);
  const exited = new Promise<string>(resolve => {
    child.once('exit', (code, by) => resolve(by ?? String(code)));
  });
  const isRunning = (): boolean =>
    child.exitCode === null && child.signalCode === null;
  const hasFailed = (): boolean =>
    child.exitCode !== null && child.exitCode !== 0;
  const kill = (name: NodeJS.Signals): void => {
    if (isRunning()) child.kill(name);
  };
  signal.addEventListener('abort', () => kill('SIGKILL'), {once: true});
  if (signal.aborted) kill('SIGKILL');
  const pid = child.pid ?? 0;
  const {name} = program;
  return {name, pid, output, exited, isRunning, hasFailed, kill};
}

/**
 * Starts an emulator process and waits for the line with its ports.
 *
 * @param program - Entry and arguments.
 * @param signal - Kills the process.
 * @returns The process and its ports by name.
 * @throws {StartError} When it prints no ports in time.
 */
export async function startEmulatorProcess(
  program: Program,
  signal: AbortSignal,
): Promise<{child: ManagedProcess; ports: Record<string, number>}> {
  const {child, firstLine} = startTalking(program, signal);
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

function startTalking(
  program: Program,
  signal: AbortSignal,
): {child: ManagedProcess; firstLine: Promise<string>} {
  let announce: ((line: string) => void) | null = null;
  const firstLine = new Promise<string>(resolve => {
    announce = resolve;
  });
  const onLine = (line: string): void => {
    if (announce === null) program.onLine?.(line);
    else announce(line);
    announce = null;
  };
  return {child: startProcess({...program, onLine}, signal), firstLine};
}

function keepLines(
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
