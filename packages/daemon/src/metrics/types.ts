/** @fileoverview Types of a daemon's metrics. */

import type {HistogramName} from '@jackdawfall/core';

/** Names of the counters, which start at 0 with the process. */
export type CounterName =
  | 'requests'
  | 'failures'
  | 'bodiesRefused'
  | 'connectionsClosed'
  | 'storeCalls'
  | 'linksOpened'
  | 'linksLost'
  | 'connectionsAccepted'
  | 'attempts'
  | 'logEvents';

/** A value that is read when metrics are rendered. */
export interface Gauge {
  /** Name in snake case, with the unit if there is one. */
  readonly name: string;
  readonly help: string;
  readonly value: number;
}

/** The metrics of one daemon. */
export interface Metrics {
  /**
   * Records a latency.
   *
   * @param histogram - Name of the latency.
   * @param valueMs - The latency in milliseconds.
   */
  record(histogram: HistogramName, valueMs: number): void;
  /**
   * Increments a counter.
   *
   * @param counter - Name of the counter.
   * @param label - Label value from a small set; empty for none.
   * @param by - The increment.
   */
  count(counter: CounterName, label?: string, by?: number): void;
  /**
   * Renders all metrics in the Prometheus text format.
   *
   * @param gauges - The current gauges.
   * @returns The text, with a final line terminator.
   */
  render(gauges: readonly Gauge[]): string;
}
