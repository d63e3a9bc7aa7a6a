/** @fileoverview Types shared by the path bench and its workers. */

/** Load on one address: requests at a fixed rate. */
export interface LoadOptions {
  /** `ip:port`. */
  readonly target: string;
  readonly paths: readonly string[];
  readonly perSecond: number;
  readonly durationMs: number;
}

/** Measurements of one caller. */
export interface LoadResult {
  readonly done: number;
  readonly failed: number;
  /** Status and text of one failure, or empty if there was none. */
  readonly failure: string;
  readonly p50Us: number;
  readonly p99Us: number;
}
