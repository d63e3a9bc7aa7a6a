/** @fileoverview Rendering of measurements as Prometheus text. */

import type {Latency} from './logic.js';
import type {Gauge} from './types.js';

const PREFIX = 'jackdawfall';
const US_PER_S = 1_000_000;
/** Quantiles as they are written, with their percentiles. */
const QUANTILES = [
  {quantile: '0.5', percentile: 50},
  {quantile: '0.9', percentile: 90},
  {quantile: '0.99', percentile: 99},
  {quantile: '0.999', percentile: 99.9},
] as const;

/** What a counter means and the name of its label; empty for none. */
export interface CounterDescription {
  readonly help: string;
  readonly label: string;
}

/**
 * Renders one latency as a summary in seconds.
 *
 * @param name - Name of the latency.
 * @param help - What it means.
 * @param latency - The measurements.
 * @returns Lines of text.
 */
export function renderLatency(
  name: string,
  help: string,
  latency: Latency,
): string {
  const {distribution, sumUs} = latency;
  const full = `${PREFIX}_${snakeCase(name)}_seconds`;
  const seconds = (us: number): string => String(us / US_PER_S);
  const max = distribution.totalCount > 0 ? distribution.maxValue : 0;
  const lines = QUANTILES.map(({quantile, percentile}) => {
    const us = distribution.getValueAtPercentile(percentile);
    return `${full}{quantile="${quantile}"} ${seconds(Math.min(us, max))}`;
  });
  return joinLines([
    ...headOf(full, help, 'summary'),
    ...lines,
    `${full}_sum ${seconds(sumUs)}`,
    `${full}_count ${distribution.totalCount}`,
    ...headOf(`${full}_max`, `Longest: ${help}`, 'gauge'),
    `${full}_max ${seconds(max)}`,
  ]);
}

/**
 * Renders one counter.
 *
 * @param name - Name of the counter.
 * @param about - What it means and the name of its label.
 * @param values - Count by label.
 * @returns Lines of text.
 */
export function renderCounter(
  name: string,
  about: CounterDescription,
  values: ReadonlyMap<string, number>,
): string {
  const full = `${PREFIX}_${snakeCase(name)}_total`;
  const lines = [...values].map(([label, value]) => {
    const labels = label === '' ? '' : `{${about.label}=${quote(label)}}`;
    return `${full}${labels} ${value}`;
  });
  return joinLines([...headOf(full, about.help, 'counter'), ...lines]);
}

/**
 * Renders one gauge.
 *
 * @param gauge - The value and its name.
 * @returns Lines of text.
 */
export function renderGauge(gauge: Gauge): string {
  const {name, help, value} = gauge;
  const full = `${PREFIX}_${name}`;
  return joinLines([...headOf(full, help, 'gauge'), `${full} ${value}`]);
}

function headOf(full: string, help: string, type: string): string[] {
  return [`# HELP ${full} ${help}`, `# TYPE ${full} ${type}`];
}

function joinLines(lines: readonly string[]): string {
  return `${lines.join('\n')}\n`;
}

function snakeCase(name: string): string {
  return name.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
}

function quote(label: string): string {
  const escaped = label
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
  return `"${escaped}"`;
}
