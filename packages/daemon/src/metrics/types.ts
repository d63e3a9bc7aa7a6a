/** @fileoverview What a daemon measures. */

import type {HistogramName} from '@jackdawfall/core';

/** Things that are counted from the start of the process. */
export type CounterName =
  | 'requests'
  | 'failures'
  | 'storeCalls'
  | 'linksOpened'
  | 'linksLost'
  | 'logEvents';

/** A value read at the moment of rendering. */
export interface Gauge {
  /** Name in snake case, with its unit. */
  readonly name: string;
  readonly help: string;
  readonly value: number;
}

/** The measurements of one daemon. */
export interface Metrics {
  /**
   * Records a latency.
   *
   * @param histogram - What was measured.
   * @param valueMs - The latency in milliseconds.
   */
  record(histogram: HistogramName, valueMs: number): void;
  /**
   * Counts something.
   *
   * @param counter - What is counted.
   * @param label - Its kind, from a small closed set; empty for none.
   * @param by - How many.
   */
  count(counter: CounterName, label?: string, by?: number): void;
  /**
   * Renders everything as Prometheus text.
   *
   * @param gauges - Values read now.
   * @returns The text, with its final line end.
   */
  render(gauges: readonly Gauge[]): string;
}
