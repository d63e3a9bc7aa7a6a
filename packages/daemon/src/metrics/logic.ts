/** @fileoverview Latency histograms and counters of a daemon. */

import type {HistogramName} from '@jackdawfall/core';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';

import type {CounterName, Metrics} from './types.js';
import type {CounterDescription} from './prometheus.js';
import {renderCounter, renderGauge, renderLatency} from './prometheus.js';

/** Longest latency that is told apart from longer ones. */
const MAX_LATENCY_US = 600_000_000;
const US_PER_MS = 1000;
/** Labels of one counter that are kept apart; the rest count as `other`. */
const MAX_LABELS = 64;

/** Latencies and what they mean, in the order they are rendered. */
const LATENCIES: Readonly<Record<HistogramName, string>> = {
  request: 'From acceptance of a request to the end of its answer.',
  queue: 'Wait of an attempt before it is dispatched.',
  run: 'From dispatch to the end of the answer of the backend server.',
  renewal: 'Round trip of a lease renewal.',
  store: 'Round trip of a call to the platform.',
};

/** Counters, what they mean and the name of their label, if any. */
const COUNTERS: Readonly<Record<CounterName, CounterDescription>> = {
  requests: {
    help: 'Requests taken from callers, by service.',
    label: 'service',
  },
  failures: {help: 'Requests answered with an error, by kind.', label: 'kind'},
  storeCalls: {help: 'Calls to the platform, by reply.', label: 'reply'},
  linksOpened: {help: 'Links opened to other daemons.', label: ''},
  linksLost: {help: 'Links that broke or went silent.', label: ''},
  logEvents: {help: 'Log events, by name.', label: 'name'},
};

/** One latency: its distribution and its exact sum. */
export interface Latency {
  readonly distribution: Histogram;
  sumUs: number;
}

/**
 * Creates empty measurements.
 *
 * @returns The measurements of one daemon.
 */
export function createMetrics(): Metrics {
  const latencies = new Map<HistogramName, Latency>();
  const counters = new Map<CounterName, Map<string, number>>();
  for (const name of namesOf(LATENCIES)) latencies.set(name, emptyLatency());
  for (const name of namesOf(COUNTERS)) counters.set(name, new Map());
  return {
    record(histogram, valueMs) {
      const latency = latencies.get(histogram);
      if (latency) recordMs(latency, valueMs);
    },
    count(counter, label = '', by = 1) {
      const values = counters.get(counter);
      if (values) add(values, label, by);
    },
    render(gauges) {
      const parts = [
        ...[...latencies].map(([name, latency]) =>
          renderLatency(name, LATENCIES[name], latency),
        ),
        ...[...counters].map(([name, values]) =>
          renderCounter(name, COUNTERS[name], values),
        ),
        ...gauges.map(renderGauge),
      ];
      return parts.join('');
    },
  };
}

function namesOf<K extends string>(table: Readonly<Record<K, unknown>>): K[] {
  return Object.keys(table) as K[];
}

function emptyLatency(): Latency {
  const distribution = build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  });
  return {distribution, sumUs: 0};
}

function recordMs(latency: Latency, valueMs: number): void {
  if (!Number.isFinite(valueMs)) return;
  const us = Math.max(0, Math.round(valueMs * US_PER_MS));
  const bounded = Math.min(us, MAX_LATENCY_US);
  latency.distribution.recordValue(bounded);
  latency.sumUs += bounded;
}

function add(values: Map<string, number>, label: string, by: number): void {
  const isKept = values.has(label) || values.size < MAX_LABELS;
  const kept = isKept ? label : 'other';
  values.set(kept, (values.get(kept) ?? 0) + by);
}
