/** @fileoverview The budget of retries and the wait before each. */

const GOLDEN_RATIO = 0.6180339887498949;

/** Settings of the retry policy. */
export interface RetryPolicy {
  /** First wait, in milliseconds. */
  readonly backoffMs: number;
  /** Longest wait, in milliseconds. */
  readonly maxBackoffMs: number;
  /** Retries that may be saved up. */
  readonly retryBurst: number;
  /** The same for all daemons together; 0 is no bound. */
  readonly sharedRetryBurst: number;
}

/** Retries and hedges a daemon may still make; a share of its requests. */
export class RetryBudget {
  private tokens: number;

  /** @param burst - Retries that may be saved up. */
  constructor(private readonly burst: number) {
    this.tokens = burst;
  }

  /** Retries that can be made now. */
  get available(): number {
    return Math.floor(this.tokens);
  }

  /**
   * Adds the share that one new request earns.
   *
   * @param share - Retries for each request, 0 to 1.
   * @param burst - Retries that may be saved up at this time.
   */
  deposit(share: number, burst = this.burst): void {
    this.tokens = Math.min(burst, this.tokens + share);
  }

  /**
   * Takes one retry from the budget.
   *
   * @returns False if none is left.
   */
  tryWithdraw(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}

/**
 * Divides what all daemons together may save up.
 *
 * @param policy - Bounds for one daemon and for all; 0 is no bound for all.
 * @param daemons - Live daemons.
 * @returns Retries that one daemon may save up, at least 1.
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
 * Finds the wait before a retry: exponential, with full jitter above half.
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
 * Derives further uniform values from the one that came with an input.
 *
 * @param random - Uniform in [0, 1).
 * @param index - Which value.
 * @returns Uniform in [0, 1).
 */
export function deriveRandom(random: number, index: number): number {
  return (random + index * GOLDEN_RATIO) % 1;
}
