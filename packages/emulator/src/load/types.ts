/** @fileoverview Callers' load: options, and records of requests. */

/** One kind of request in the mix. */
export interface LoadRoute {
  readonly name: string;
  readonly service: string;
  /** Share of requests, relative to the other routes. */
  readonly weight: number;
  readonly method: string;
  /** Path with `{key}`, for example `/finder/{key}`. */
  readonly path: string;
  /** Time after which the caller gives up, in milliseconds. */
  readonly timeoutMs: number;
}

/** How requests arrive. */
export type Arrivals =
  /** Open loop: at a fixed rate, independent of responses. */
  | {readonly kind: 'open'; readonly perSecond: number}
  /** Closed loop: each caller sends again after its response. */
  | {readonly kind: 'closed'; readonly callers: number};

/** Options of a load. */
export interface LoadOptions {
  /** `ip:port` of daemons, which requests are sent to in turn. */
  readonly targets: readonly string[];
  readonly arrivals: Arrivals;
  readonly durationMs: number;
  readonly maxRequests: number;
  readonly seed: number;
  readonly keys: number;
  /** Exponent of the Zipf distribution of keys; 0 is uniform. */
  readonly zipf: number;
  readonly routes: readonly LoadRoute[];
  /** Size of request bodies, in bytes. */
  readonly bodyBytes: number;
}

/** Outcome of a request as its caller knows it. */
export type Outcome = 'done' | 'not-run' | 'unknown' | 'hung' | 'wrong-answer';

/** Record of one request at its caller. */
export interface CallRecord {
  readonly request: string;
  readonly route: string;
  readonly service: string;
  readonly key: string;
  readonly idempotent: boolean;
  readonly target: string;
  /** Wall clock, in milliseconds. */
  readonly sentMs: number;
  /** Wall clock, in milliseconds. */
  readonly endedMs: number;
  readonly outcome: Outcome;
  /** HTTP status, or 0 without a response. */
  readonly status: number;
  readonly detail: string;
}

/** Latency of successful requests, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}
