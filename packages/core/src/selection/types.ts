/** @fileoverview What an origin has seen of the servers it sends work to. */

import type {AttemptId, MemberId, ServiceName} from '../ids/types.js';
import type {LatencyHistogram} from './histogram.js';

/** What this daemon has seen of one server. */
export interface ServerStats {
  /** Attempts without an outcome and when they were sent, oldest first. */
  readonly outstanding: Map<AttemptId, number>;
  /** Work at the server as it last reported, and when. */
  reportedOutstanding: number;
  reportedAt: number;
  /** Latency that follows peaks at once; 0 before the first. */
  latencyMs: number;
  latencyUpdatedAt: number;
  /** Monotonic time until which it is passed over after a refusal. */
  penalizedUntil: number;
}

/** Latencies of one service as seen from this daemon. */
export interface ServiceStats {
  readonly histogram: LatencyHistogram;
  /** Slowly moving mean, in milliseconds; 0 before the first. */
  meanMs: number;
}

/** State of the choice among servers. */
export interface SelectionState {
  readonly servers: Map<MemberId, ServerStats>;
  readonly services: Map<ServiceName, ServiceStats>;
}
