/** @fileoverview Results of checking callers' and backend servers' records. */

/** A violation of a guarantee. */
export interface Violation {
  readonly kind:
    | 'not-run-but-ran'
    | 'run-twice'
    | 'lost'
    | 'wrong-answer'
    | 'hung'
    | 'two-servers'
    | 'generation-back'
    | 'over-limit'
    | 'late-work';
  readonly detail: string;
}

/** Result of checking callers' records against servers' notes. */
export interface Verdict {
  readonly requests: number;
  readonly done: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly hung: number;
  readonly runTwice: number;
  readonly lost: number;
  readonly overLimit: number;
  readonly longestUnservedMs: number;
  readonly longestUnservedKey: string;
  readonly violations: readonly Violation[];
}

/** What a run tolerates. */
export interface Tolerance {
  /** Whether callers, for example of a frozen daemon, may get no response. */
  readonly hung: boolean;
  /**
   * Time, in milliseconds, for which requests over capacity are tolerated after
   * the first one that follows an unannounced cold start.
   */
  readonly relapseMs: number;
}
