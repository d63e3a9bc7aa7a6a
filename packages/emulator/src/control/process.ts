/** @fileoverview Start and end of an emulator process. */

/**
 * Runs a process until SIGTERM or SIGINT. Prints the result of its start, such
 * as its ports, as one line of JSON.
 *
 * @param start - Starts the work, which ends when the signal aborts.
 */
export async function runProcess(
  start: (signal: AbortSignal) => Promise<unknown>,
): Promise<void> {
  const controller = new AbortController();
  for (const name of ['SIGTERM', 'SIGINT'] as const) {
    process.once(name, () => controller.abort());
  }
  try {
    const ports = await start(controller.signal);
    process.stdout.write(`${JSON.stringify(ports)}\n`);
  } catch (error) {
    process.stderr.write(`${String(error)}\n`);
    process.exit(1);
  }
  controller.signal.addEventListener('abort', () => {
    setTimeout(() => process.exit(0), 100).unref();
  });
}
