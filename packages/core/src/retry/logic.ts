/** @fileoverview Retry budget and backoff. */

/** Multiples of it, modulo 1, are evenly distributed in [0, 1). */
const GOLDEN_RATIO = 0.6180339887498949;

/** Settings of the retry policy. */
export interface RetryPolicy {
  /** First wait, in milliseconds. */
  readonly backoffMs: number;
  /** Longest wait, in milliseconds. */
  readonly maxBackoffMs: number;
  /** Most retries that one daemon may save up. */
  readonly retryBurst: number;
  /** Most retries that all daemons together may save up; 0 is no bound. */
  readonly sharedRetryBurst: number;
}

/**
 * Token bucket that bounds the retries and hedges of a daemon to a share of its
 * requests. It starts full.
 */
export class RetryBudget {
  private tokens: number;

  /** @param burst - Most retries that may be saved up. */
  constructor(private readonly burst: number) {
    this.tokens = burst;
  }

  /** Retries that may be made now. */
  get available(): number {
    return Math.floor(this.tokens);
  }

  /**
   * Adds the share of a retry for one new request.
   *
   * @param share - Retries for each request, 0 to 1.
   * @param burst - Most retries that may be saved up now; a surplus is dropped.
   */
  deposit(share: number, burst = this.burst): void {
    this.tokens = Math.min(burst, this.tokens + share);
  }

  /**
   * Takes one retry from the budget, if there is one.
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
 * Finds the burst of one daemon: its part of the bound for all daemons together,
 * never above its own.
 *
 * @param policy - Bounds for one daemon and for all.
 * @param daemons - Live daemons.
 * @returns Most retries that one daemon may save up, at least 1.
 */
export function burstPerDaemon(
  policy: Pick<RetryPolicy, 'retryBurst' | 'sharedRetryBurst'>,
  daemons: number,
): number {
  const {retryBurst, sharedRetryBurst} = policy;
  if (sharedRetryBurst === 0) return retryBurst;
  const part = sharedRetryBurst / Math.max(1, daemons);
  return Math.min(retryBurst, Math.max(1, part));
}

/**
 * Finds the wait before a retry: exponential backoff with equal jitter, which is
 * uniform between half of the bound and the bound.
 *
 * @param policy - Bounds of the wait.
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
  const ceiling = Math.min(
    policy.maxBackoffMs,
    policy.backoffMs * 2 ** exponent,
  );
  return ceiling * (0.5 + random / 2);
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
