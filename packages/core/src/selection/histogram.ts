/** @fileoverview Histogram of recent latencies, for percentiles. */

/** Lower bound of the first bucket, in milliseconds. */
const MIN_MS = 0.1;
/**
 * Ratio of the upper to the lower bound of a bucket. It limits the relative
 * error of a percentile to 15 %.
 */
const BUCKET_GROWTH = 1.15;
const BUCKETS = 110;
/** Total at which all counts are halved, so that old samples lose weight. */
const HALVE_AT = 2000;

/** A histogram with exponential buckets whose counts decay. */
export class LatencyHistogram {
  private readonly counts = new Float64Array(BUCKETS);
  private total = 0;

  /** Number of samples, reduced by the decay. */
  get sampleCount(): number {
    return this.total;
  }

  /**
   * Adds a sample.
   *
   * @param latencyMs - The latency, in milliseconds.
   */
  add(latencyMs: number): void {
    this.counts[bucketOf(latencyMs)] += 1;
    this.total += 1;
    if (this.total >= HALVE_AT) this.halve();
  }

  /**
   * Estimates a percentile by the upper bound of its bucket.
   *
   * @param share - Share of samples below it, for example 0.95.
   * @returns Milliseconds; 0 without samples.
   */
  percentile(share: number): number {
    if (this.total === 0) return 0;
    let remaining = this.total * share;
    for (let index = 0; index < BUCKETS; index++) {
      remaining -= this.counts[index];
      if (remaining <= 0) return MIN_MS * BUCKET_GROWTH ** (index + 1);
    }
    return MIN_MS * BUCKET_GROWTH ** BUCKETS;
  }

  private halve(): void {
    for (let index = 0; index < BUCKETS; index++) this.counts[index] /= 2;
    this.total /= 2;
  }
}

function bucketOf(latencyMs: number): number {
  const ratio = Math.max(latencyMs, MIN_MS) / MIN_MS;
  const index = Math.floor(Math.log(ratio) / Math.log(BUCKET_GROWTH));
  return Math.min(BUCKETS - 1, index);
}
