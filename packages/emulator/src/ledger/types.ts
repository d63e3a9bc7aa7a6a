/** @fileoverview The joined record of callers and backend servers. */

/** Something that must never happen, and did. */
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

/** The result of joining callers' records with servers' notes. */
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

/** What a run allows beyond the rules that always hold. */
export interface Allowance {
  /** Callers of a frozen daemon may be left without an answer. */
  readonly hung: boolean;
  /** Time from the first sign of an unannounced cold start to its notice. */
  readonly relapseMs: number;
}
