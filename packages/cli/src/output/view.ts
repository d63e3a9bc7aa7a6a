/** @fileoverview Text tables. */

const COLUMN_GAP = '  ';

/**
 * Renders a table with aligned columns.
 *
 * @param headings - Heading of each column.
 * @param rows - Cells of each row, in the order of the headings.
 * @returns Lines without a final newline.
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
    .map(cells => cells.join(COLUMN_GAP).trimEnd())
    .join('\n');
}

/**
 * Renders pairs of names and values, one on a line.
 *
 * @param pairs - Names and values.
 * @returns Lines without a final newline.
 */
export function renderPairs(
  pairs: ReadonlyArray<readonly [string, string | number]>,
): string {
  const width = Math.max(...pairs.map(([name]) => name.length));
  return pairs
    .map(([name, value]) => `${name.padEnd(width)}${COLUMN_GAP}${value}`)
    .join('\n');
}
