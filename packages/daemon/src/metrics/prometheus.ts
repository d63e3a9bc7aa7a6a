/** @fileoverview Renders metrics in the Prometheus text format. */

import type {Latency} from './logic.js';
import type {Gauge} from './types.js';

const METRIC_PREFIX = 'jackdawfall';
const US_PER_S = 1_000_000;
/** The rendered quantiles, with the matching percentiles of the histogram. */
const QUANTILES = [
  {quantile: '0.5', percentile: 50},
  {quantile: '0.9', percentile: 90},
  {quantile: '0.99', percentile: 99},
  {quantile: '0.999', percentile: 99.9},
] as const;

/** Help text and label name of a counter; an empty label means none. */
export interface CounterDescription {
  readonly help: string;
  readonly label: string;
}

/**
 * Renders a latency as a summary in seconds, and its maximum as a gauge.
 *
 * @param name - Name of the latency in camel case.
 * @param help - Help text.
 * @param latency - The measured values.
 * @returns The lines of text.
 */
export function renderLatency(
  name: string,
  help: string,
  latency: Latency,
): string {
  const {distribution, sumUs} = latency;
  const metricName = `${METRIC_PREFIX}_${snakeCase(name)}_seconds`;
  const seconds = (us: number): string => String(us / US_PER_S);
  const max = distribution.totalCount > 0 ? distribution.maxValue : 0;
  const lines = QUANTILES.map(({quantile, percentile}) => {
    const us = distribution.getValueAtPercentile(percentile);
    return `${metricName}{quantile="${quantile}"} ${seconds(Math.min(us, max))}`;
  });
  return joinLines([
    ...metadataLines(metricName, help, 'summary'),
    ...lines,
    `${metricName}_sum ${seconds(sumUs)}`,
    `${metricName}_count ${distribution.totalCount}`,
    ...metadataLines(`${metricName}_max`, `Maximum: ${help}`, 'gauge'),
    `${metricName}_max ${seconds(max)}`,
  ]);
}

/**
 * Renders a counter.
 *
 * @param name - Name of the counter in camel case.
 * @param counter - Help text and label name.
 * @param values - Counts by label value.
 * @returns The lines of text.
 */
export function renderCounter(
  name: string,
  counter: CounterDescription,
  values: ReadonlyMap<string, number>,
): string {
  const metricName = `${METRIC_PREFIX}_${snakeCase(name)}_total`;
  const lines = [...values].map(([label, value]) => {
    const labels =
      label === '' ? '' : `{${counter.label}=${quoteLabelValue(label)}}`;
    return `${metricName}${labels} ${value}`;
  });
  return joinLines([
    ...metadataLines(metricName, counter.help, 'counter'),
    ...lines,
  ]);
}

/**
 * Renders a gauge.
 *
 * @param gauge - The gauge with its current value.
 * @returns The lines of text.
 */
export function renderGauge(gauge: Gauge): string {
  const {name, help, value} = gauge;
  const metricName = `${METRIC_PREFIX}_${name}`;
  return joinLines([
    ...metadataLines(metricName, help, 'gauge'),
    `${metricName} ${value}`,
  ]);
}

function metadataLines(
  metricName: string,
  help: string,
  type: string,
): string[] {
  return [`# HELP ${metricName} ${help}`, `# TYPE ${metricName} ${type}`];
}

function joinLines(lines: readonly string[]): string {
  return `${lines.join('\n')}\n`;
}

function snakeCase(name: string): string {
  return name.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
}

function quoteLabelValue(label: string): string {
  const escaped = label
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
  return `"${escaped}"`;
}
