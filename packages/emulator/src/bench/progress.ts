/** @fileoverview Progress of benches, on standard error. */

/**
 * Prints a line for the person who waits.
 *
 * @param line - The line, without an end of line.
 */
export function printProgress(line: string): void {
  process.stderr.write(`${line}\n`);
}
