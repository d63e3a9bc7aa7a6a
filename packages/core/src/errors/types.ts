/** @fileoverview Kinds of errors and what a caller is told about each. */

/**
 * Whether a failed request ran: `not-run` is certain, `unknown` means that it
 * may have run or may still be running.
 */
export type RunState = 'not-run' | 'unknown';

/** Every kind of error that a caller can receive. */
export type ErrorKind =
  | 'bad-request'
  | 'unauthenticated'
  | 'unknown-service'
  | 'key-missing'
  | 'key-too-long'
  | 'body-too-large'
  | 'header-too-large'
  | 'header-timeout'
  | 'body-timeout'
  | 'quota-exceeded'
  | 'no-owner'
  | 'no-server'
  | 'overloaded'
  | 'deadline-exceeded'
  | 'server-refused'
  | 'server-lost'
  | 'link-lost'
  | 'lease-lost'
  | 'cancelled'
  | 'idempotency-mismatch'
  | 'stopping'
  | 'configuration-stale'
  | 'internal';

/**
 * Status, text and retry advice of one kind of error; a caller receives all of
 * them.
 */
export interface ErrorKindInfo {
  /** HTTP status code. */
  readonly status: number;
  /** Meaning, in one sentence for people. */
  readonly text: string;
  /**
   * Whether an immediate retry can succeed. Whether it is safe depends on `run`
   * and on the request being idempotent.
   */
  readonly retryable: boolean;
}

/** A failed request: its kind and whether it ran. */
export interface Failure {
  readonly kind: ErrorKind;
  readonly run: RunState;
  /** Explanation for people, without secrets. */
  readonly detail: string;
  /**
   * When the caller should try again, in milliseconds from now; null if no
   * further try can be served by its deadline. Absent: not decided.
   */
  readonly retryAfterMs?: number | null;
}
