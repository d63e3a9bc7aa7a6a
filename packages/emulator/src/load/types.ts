/** @fileoverview Callers' load: what is sent and what came of it. */

/** One kind of request in the mix. */
export interface LoadRoute {
  readonly name: string;
  readonly service: string;
  /** Share of the mix, relative to the other routes. */
  readonly weight: number;
  readonly method: string;
  /** Path with `{key}`, for example `/finder/{key}`. */
  readonly path: string;
  /** Time after which the caller gives up. */
  readonly timeoutMs: number;
}

/** How requests arrive. */
export type Arrivals =
  /** Open loop: at a fixed rate, whatever the answers do. */
  | {readonly kind: 'open'; readonly perSecond: number}
  /** Closed loop: each of so many callers waits for its answer. */
  | {readonly kind: 'closed'; readonly callers: number};

/** A load to put on a workspace. */
export interface LoadOptions {
  /** `ip:port` of daemons; callers go round them. */
  readonly targets: readonly string[];
  readonly arrivals: Arrivals;
  readonly durationMs: number;
  readonly maxRequests: number;
  readonly seed: number;
  readonly keys: number;
  /** Exponent of the Zipf distribution of keys; 0 is uniform. */
  readonly zipf: number;
  readonly routes: readonly LoadRoute[];
  /** Bytes of the body of requests that carry one. */
  readonly bodyBytes: number;
}

/** What a caller knows of its request. */
export type Outcome = 'done' | 'not-run' | 'unknown' | 'hung' | 'wrong-answer';

/** One request of a caller and what came of it. */
export interface CallRecord {
  readonly request: string;
  readonly route: string;
  readonly service: string;
  readonly key: string;
  readonly idempotent: boolean;
  readonly target: string;
  /** Wall clock, milliseconds. */
  readonly sentMs: number;
  readonly endedMs: number;
  readonly outcome: Outcome;
  /** HTTP status, or 0 when none came. */
  readonly status: number;
  readonly detail: string;
}

/** Latency of the requests that were done, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}
