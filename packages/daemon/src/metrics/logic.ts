/** @fileoverview Latency histograms and counters of a daemon. */

import type {HistogramName} from '@jackdawfall/core';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';

import type {CounterName, Metrics} from './types.js';
import type {CounterDescription} from './prometheus.js';
import {renderCounter, renderGauge, renderLatency} from './prometheus.js';

/** Upper limit of recorded latencies; longer ones are recorded as this. */
const MAX_LATENCY_US = 600_000_000;
const US_PER_MS = 1000;
/** Maximum number of label values per counter; others count as `other`. */
const MAX_LABEL_VALUES = 64;

/** Help texts of the latencies, in the order in which they are rendered. */
const LATENCY_HELP: Readonly<Record<HistogramName, string>> = {
  request: 'Time from acceptance of a request to the end of its response.',
  queue: 'Time that an attempt waits before it is dispatched.',
  run: 'Time from dispatch to the end of the response of the backend server.',
  renewal: 'Round-trip time of a lease renewal.',
  store: 'Round-trip time of a call to the platform.',
  sliceGrant: 'Time until the backend server confirmed a slice grant.',
  loopLag: 'Time by which a timer of the event loop fired late.',
  retryAfter: 'Wait asked of callers that were refused for want of room.',
};

/** Help texts and label names of the counters. */
const COUNTER_INFO: Readonly<Record<CounterName, CounterDescription>> = {
  requests: {
    help: 'Requests accepted from callers, by service.',
    label: 'service',
  },
  failures: {
    help: 'Requests answered with an error, by kind.',
    label: 'kind',
  },
  bodiesRefused: {
    help: 'Bodies of requests that were not read to their end, by reason.',
    label: 'reason',
  },
  connectionsClosed: {
    help: "Callers' connections that were closed for want of room, by reason.",
    label: 'reason',
  },
  storeCalls: {help: 'Calls to the platform, by reply.', label: 'reply'},
  linksOpened: {help: 'Links opened to other daemons.', label: ''},
  linksLost: {help: 'Links that were closed or timed out.', label: ''},
  connectionsAccepted: {
    help: 'Connections accepted from callers.',
    label: '',
  },
  attempts: {help: 'Attempts sent to daemons for requests.', label: ''},
  logEvents: {help: 'Log events, by name.', label: 'name'},
};

/** The measured values of one latency: a histogram and the exact sum. */
export interface Latency {
  readonly distribution: Histogram;
  sumUs: number;
}

/**
 * Creates the metrics of a daemon, with nothing measured yet.
 *
 * @returns The metrics.
 */
export function createMetrics(): Metrics {
  const latencies = new Map<HistogramName, Latency>();
  const counters = new Map<CounterName, Map<string, number>>();
  for (const name of keysOf(LATENCY_HELP)) latencies.set(name, createLatency());
  for (const name of keysOf(COUNTER_INFO)) counters.set(name, new Map());
  return {
    record(histogram, valueMs) {
      const latency = latencies.get(histogram);
      if (latency) recordMs(latency, valueMs);
    },
    count(counter, label = '', by = 1) {
      const values = counters.get(counter);
      if (values) addCount(values, label, by);
    },
    render(gauges) {
      const parts = [
        ...[...latencies].map(([name, latency]) =>
          renderLatency(name, LATENCY_HELP[name], latency),
        ),
        ...[...counters].map(([name, values]) =>
          renderCounter(name, COUNTER_INFO[name], values),
        ),
        ...gauges.map(renderGauge),
      ];
      return parts.join('');
    },
  };
}

function keysOf<K extends string>(table: Readonly<Record<K, unknown>>): K[] {
  return Object.keys(table) as K[];
}

function createLatency(): Latency {
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

function addCount(
  values: Map<string, number>,
  label: string,
  by: number,
): void {
  const hasRoom = values.has(label) || values.size < MAX_LABEL_VALUES;
  const boundedLabel = hasRoom ? label : 'other';
  values.set(boundedLabel, (values.get(boundedLabel) ?? 0) + by);
}
