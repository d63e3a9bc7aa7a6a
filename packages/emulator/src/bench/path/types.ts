/** @fileoverview What the path bench and its callers tell each other. */

/** Requests at a fixed rate to one address. */
export interface PathOrder {
  /** `ip:port`. */
  readonly target: string;
  readonly paths: readonly string[];
  readonly perSecond: number;
  readonly durationMs: number;
}

/** What one caller saw. */
export interface PathResult {
  readonly done: number;
  readonly failed: number;
  /** One failure's status and text, or empty. */
  readonly failure: string;
  readonly p50Us: number;
  readonly p99Us: number;
}
