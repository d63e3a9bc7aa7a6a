/** @fileoverview Rendering of the results of scenarios. */

import type {ScenarioResult} from './types.js';

const MAX_FAULTS = 8;
const NAME_WIDTH = 30;
const VERDICT_WIDTH = 10;
const NUMBER_WIDTH = 8;
const MS_PER_SECOND = 1000;

/**
 * Renders the closing table.
 *
 * @param results - Result of each scenario.
 * @returns Lines of text; the last one counts passed and failed scenarios.
 */
export function renderResults(results: readonly ScenarioResult[]): string {
  const head = [
    'scenario'.padEnd(NAME_WIDTH),
    'verdict'.padEnd(VERDICT_WIDTH),
    ...['s', 'requests', 'done', 'not run', 'unknown', 'twice', 'lost'].map(
      name => name.padStart(NUMBER_WIDTH),
    ),
    'unserved ms'.padStart(NUMBER_WIDTH + 4),
  ].join(' ');
  const count = (verdict: ScenarioResult['verdict']): number =>
    results.filter(result => result.verdict === verdict).length;
  const knownRedCount = count('known red');
  const known = knownRedCount === 0 ? '' : `, ${knownRedCount} known red`;
  const closing = `${count('passed')} passed, ${count('failed')} failed${known}`;
  return [head, ...results.map(renderRow), closing].join('\n');
}

/**
 * Renders what failed in one scenario.
 *
 * @param result - Its result.
 * @returns Lines of text, or an empty text.
 */
export function renderFaults(result: ScenarioResult): string {
  const shown = result.faults.slice(0, MAX_FAULTS);
  const hiddenCount = result.faults.length - shown.length;
  const more = hiddenCount > 0 ? [`and ${hiddenCount} more`] : [];
  const reasons = result.reasons.slice(0, MAX_FAULTS);
  return [...shown, ...more, ...reasons].map(line => `  ${line}`).join('\n');
}

function renderRow(result: ScenarioResult): string {
  const {ledger} = result;
  const numbers = [
    (result.tookMs / MS_PER_SECOND).toFixed(1),
    ledger?.requests,
    ledger?.done,
    ledger?.notRun,
    ledger?.unknown,
    ledger?.runTwice,
    ledger?.lost,
  ];
  return [
    result.name.padEnd(NAME_WIDTH),
    result.verdict.padEnd(VERDICT_WIDTH),
    ...numbers.map(number => String(number ?? '-').padStart(NUMBER_WIDTH)),
    String(ledger?.longestUnservedMs ?? '-').padStart(NUMBER_WIDTH + 4),
  ].join(' ');
}
