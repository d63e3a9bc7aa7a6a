/** @fileoverview Retry budget and backoff. */

/** Multiples of it, modulo 1, are evenly distributed in [0, 1). */
const GOLDEN_RATIO = 0.6180339887498949;

/** Settings of the retry policy. */
export interface RetryPolicy {
  /** Maximum wait before the first retry, in milliseconds. */
  readonly backoffMs: number;
  /** Maximum wait before any retry, in milliseconds. */
  readonly maxBackoffMs: number;
  /** Capacity of the token bucket of one daemon, in retries. */
  readonly retryBurst: number;
  /**
   * Maximum capacity of the token buckets of all daemons together, in retries;
   * 0 means no limit.
   */
  readonly sharedRetryBurst: number;
}

/**
 * Token bucket that limits the retries and hedges of a daemon to a share of its
 * requests. One token pays for one retry or hedge. It starts full.
 */
export class RetryBudget {
  private tokens: number;

  /** @param capacity - Maximum number of tokens. */
  constructor(private readonly capacity: number) {
    this.tokens = capacity;
  }

  /** Retries that may be made now. */
  get available(): number {
    return Math.floor(this.tokens);
  }

  /**
   * Adds the tokens for one new request.
   *
   * @param share - Tokens for each request, 0 to 1.
   * @param capacity - Maximum number of tokens now; a surplus is dropped.
   */
  deposit(share: number, capacity = this.capacity): void {
    this.tokens = Math.min(capacity, this.tokens + share);
  }

  /**
   * Takes one token, if there is one.
   *
   * @returns False if there was none.
   */
  tryWithdraw(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}

/**
 * Returns the token bucket capacity of one daemon: its share of the limit for
 * all daemons together, capped by the limit for one daemon.
 *
 * @param policy - Limits for one daemon and for all.
 * @param daemons - Number of daemons that are members of the workspace.
 * @returns The capacity in tokens, at least 1.
 */
export function capacityPerDaemon(
  policy: Pick<RetryPolicy, 'retryBurst' | 'sharedRetryBurst'>,
  daemons: number,
): number {
  const {retryBurst, sharedRetryBurst} = policy;
  if (sharedRetryBurst === 0) return retryBurst;
  const share = sharedRetryBurst / Math.max(1, daemons);
  return Math.min(retryBurst, Math.max(1, share));
}

/**
 * Returns the wait before a retry: exponential backoff with equal jitter, which
 * is uniform between half of the maximum and the maximum.
 *
 * @param policy - Limits of the wait.
 * @param failures - Failures so far, at least 1.
 * @param random - Uniform in [0, 1).
 * @returns Milliseconds.
 */
export function backoffMs(
  policy: RetryPolicy,
  failures: number,
  random: number,
): number {
  const exponent = Math.min(failures - 1, 16);
  const maxMs = Math.min(policy.maxBackoffMs, policy.backoffMs * 2 ** exponent);
  return maxMs * (0.5 + random / 2);
}

/**
 * Derives further uniform values from the one that comes with an input, so that
 * the reducer stays deterministic.
 *
 * @param random - Uniform in [0, 1).
 * @param index - Index of the value.
 * @returns Uniform in [0, 1).
 */
export function deriveRandom(random: number, index: number): number {
  return (random + index * GOLDEN_RATIO) % 1;
}
