/** @fileoverview Tables for people. */

const GAP = '  ';

/**
 * Renders rows under their headings, columns aligned.
 *
 * @param headings - Heading of each column.
 * @param rows - Cells of each row, in the order of the headings.
 * @returns Lines without a final line end.
 */
export function renderTable(
  headings: readonly string[],
  rows: ReadonlyArray<ReadonlyArray<string | number>>,
): string {
  const lines = [headings, ...rows].map(row => row.map(String));
  const widths = headings.map((_, column) =>
    Math.max(...lines.map(line => line[column].length)),
  );
  return lines
    .map(line => line.map((cell, column) => cell.padEnd(widths[column])))
    .map(cells => cells.join(GAP).trimEnd())
    .join('\n');
}

/**
 * Renders names and values, one pair on a line.
 *
 * @param pairs - Names and values.
 * @returns Lines without a final line end.
 */
export function renderPairs(
  pairs: ReadonlyArray<readonly [string, string | number]>,
): string {
  const width = Math.max(...pairs.map(([name]) => name.length));
  return pairs
    .map(([name, value]) => `${name.padEnd(width)}${GAP}${value}`)
    .join('\n');
}
