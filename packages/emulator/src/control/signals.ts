/** @fileoverview Signals that end a tool or an emulator process. */

const END_SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;

/**
 * Aborts a controller on each signal that asks the process to end. The listeners
 * stay, since the default action of a further signal would end a tool before it
 * has ended its child processes.
 *
 * @param controller - Ends the work of the process.
 */
export function abortOnSignals(controller: AbortController): void {
  for (const name of END_SIGNALS) {
    process.on(name, () => controller.abort(new Error(`received ${name}`)));
  }
}
