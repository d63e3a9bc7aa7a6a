/** @fileoverview Progress of benches, on standard error. */

/**
 * Prints a line on standard error; standard output is for the results.
 *
 * @param line - The line, without line terminator.
 */
export function printProgress(line: string): void {
  process.stderr.write(`${line}\n`);
}
