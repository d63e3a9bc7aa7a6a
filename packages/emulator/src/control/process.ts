/** @fileoverview The frame of an emulator process. */

/**
 * Runs a process until it is asked to stop; prints its ports as one JSON line.
 *
 * @param start - Starts the work; its result is printed.
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
