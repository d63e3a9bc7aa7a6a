/** @fileoverview Results of checking callers' and backend servers' records. */

/** A violation of a guarantee. */
export interface Violation {
  readonly kind:
    /** The caller was told that the request did not run, but it did. */
    | 'not-run-but-ran'
    /** A request that isn't idempotent ran more than once. */
    | 'run-twice'
    /** The caller got a response, but no server finished the request. */
    | 'lost'
    /** The caller got an unexpected status or the response to another request. */
    | 'wrong-answer'
    /** The caller got no response. */
    | 'hung'
    /** Runs on one slice by two servers overlapped. */
    | 'two-servers'
    /** Two servers held one slice at the same time. */
    | 'two-holders'
    /** A run on a slice had an older generation than a run before it. */
    | 'generation-back'
    /** A server got more requests than its capacity. */
    | 'over-limit'
    /** A server got a new request long after it had announced its shutdown. */
    | 'late-work';
  readonly detail: string;
}

/** A time for which two servers held the same slice. */
export interface SharedHold {
  readonly service: string;
  readonly slice: number;
  /** Monotonic times, in milliseconds. */
  readonly fromMs: number;
  readonly untilMs: number;
  /** The server that held it first, and the other one. */
  readonly holders: ReadonlyArray<{
    readonly host: string;
    readonly instance: string;
    /** Its latest grants, releases and ends, with times since `fromMs`. */
    readonly history: readonly string[];
  }>;
}

/** What backend servers that check grants recorded, in numbers. */
export interface HoldCounts {
  /** Calls that granted slices. */
  readonly grants: number;
  /** Such calls that were refused. */
  readonly refused: number;
  readonly releases: number;
  /** Slices that went from one server to another. */
  readonly moves: number;
}

/** Result of checking callers' records against servers' records. */
export interface Verdict {
  readonly requests: number;
  readonly done: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly hung: number;
  readonly runTwice: number;
  readonly lost: number;
  readonly overLimit: number;
  readonly holds: HoldCounts;
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
   * the first one that follows an unannounced warm-up.
   */
  readonly relapseMs: number;
}
