/** @fileoverview Start and end of an emulator process. */

import {abortOnSignals} from './signals.js';

/** Time for what is under way to end after the abort. */
const EXIT_DELAY_MS = 100;

/**
 * Runs a process until a signal asks it to end. Prints the result of its start, such
 * as its ports, as one line of JSON.
 *
 * @param start - Starts the work, which ends when the signal aborts.
 */
export async function runProcess(
  start: (signal: AbortSignal) => Promise<unknown>,
): Promise<void> {
  const controller = new AbortController();
  abortOnSignals(controller);
  try {
    const ports = await start(controller.signal);
    process.stdout.write(`${JSON.stringify(ports)}\n`);
  } catch (error) {
    process.stderr.write(`${String(error)}\n`);
    process.exit(1);
  }
  const exitSoon = () => {
    setTimeout(() => process.exit(0), EXIT_DELAY_MS).unref();
  };
  if (controller.signal.aborted) exitSoon();
  else controller.signal.addEventListener('abort', exitSoon);
}
