/** @fileoverview Renders a verdict as a table. */

import type {Verdict} from './types.js';

/** Number of violations that are shown. */
const MAX_SHOWN = 10;
const LABEL_WIDTH = 34;

/**
 * Renders a verdict.
 *
 * @param verdict - Counts and violations.
 * @returns Lines of text.
 */
export function renderVerdict(verdict: Verdict): string {
  const rows: ReadonlyArray<readonly [string, string | number]> = [
    ['requests', verdict.requests],
    ['done', verdict.done],
    ['not run', verdict.notRun],
    ['unknown', verdict.unknown],
    ['hung', verdict.hung],
    ['run twice', verdict.runTwice],
    ['lost', verdict.lost],
    ['longest time a key was unserved', `${verdict.longestUnservedMs} ms`],
    ['violations', verdict.violations.length],
  ];
  const lines = rows.map(([name, value]) => {
    return `${name.padEnd(LABEL_WIDTH)} ${value}`;
  });
  const shown = verdict.violations.slice(0, MAX_SHOWN);
  const details = shown.map(one => `  ${one.kind}: ${one.detail}`);
  return [...lines, ...details].join('\n');
}
