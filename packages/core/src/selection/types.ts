/** @fileoverview Statistics that an origin keeps of servers and services. */

import type {CostTable} from '../costs/types.js';
import type {AttemptId, MemberId, ServiceName} from '../ids/types.js';
import type {LatencyHistogram} from './histogram.js';

/** What this daemon has observed of one server. */
export interface ServerStats {
  /**
   * Attempts that have not ended, with the monotonic time they were sent at;
   * oldest first.
   */
  readonly outstanding: Map<AttemptId, number>;
  /** Attempts that wait or run at the server, as its daemon last reported. */
  reportedOutstanding: number;
  /** Monotonic time of that report. */
  reportedAt: number;
  /**
   * Estimate of the latency that rises immediately and falls slowly
   * (peak-sensitive moving average); 0 before the first sample.
   */
  latencyMs: number;
  /** Monotonic time of its latest change. */
  latencyUpdatedAt: number;
  /** Expected run times of open attempts at the usual speed, in milliseconds. */
  readonly sentCosts: Map<AttemptId, number>;
  /** Work of the server as it last reported, see `WorkReport`. */
  reportedWorkMs: number;
  /** Monotonic time of that report; -Infinity before the first. */
  workReportedAt: number;
  /** Its run times as a multiple of the mean over all servers. */
  slowness: number;
  /** Monotonic time until which other servers are preferred. */
  penalizedUntil: number;
}

/** Latencies of one service as observed by this daemon. */
export interface ServiceStats {
  readonly histogram: LatencyHistogram;
  /** Moving average, in milliseconds; 0 before the first sample. */
  meanMs: number;
}

/** State of the selection of servers. */
export interface SelectionState {
  readonly servers: Map<MemberId, ServerStats>;
  readonly services: Map<ServiceName, ServiceStats>;
  /** Expected run times, learned from the reports of all servers. */
  readonly costs: CostTable;
}
