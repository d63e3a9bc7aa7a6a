/** @fileoverview Recent latencies of one service, for percentiles. */

const LEAST_MS = 0.1;
const GROWTH = 1.15;
const BUCKETS = 110;
/** Total at which all counts are halved, so that old samples fade. */
const HALVE_AT = 2000;

/** A histogram with exponential buckets and fading counts. */
export class LatencyHistogram {
  private readonly counts = new Float64Array(BUCKETS);
  private total = 0;

  /** Weight of the samples held. */
  get sampleCount(): number {
    return this.total;
  }

  /**
   * Adds a sample.
   *
   * @param latencyMs - The latency.
   */
  add(latencyMs: number): void {
    this.counts[bucketOf(latencyMs)] += 1;
    this.total += 1;
    if (this.total >= HALVE_AT) this.halve();
  }

  /**
   * Estimates a percentile from above.
   *
   * @param share - For example 0.95.
   * @returns Milliseconds; 0 without samples.
   */
  percentile(share: number): number {
    if (this.total === 0) return 0;
    let left = this.total * share;
    for (let index = 0; index < BUCKETS; index++) {
      left -= this.counts[index];
      if (left <= 0) return LEAST_MS * GROWTH ** (index + 1);
    }
    return LEAST_MS * GROWTH ** BUCKETS;
  }

  private halve(): void {
    for (let index = 0; index < BUCKETS; index++) this.counts[index] /= 2;
    this.total /= 2;
  }
}

function bucketOf(latencyMs: number): number {
  const ratio = Math.max(latencyMs, LEAST_MS) / LEAST_MS;
  const index = Math.floor(Math.log(ratio) / Math.log(GROWTH));
  return Math.min(BUCKETS - 1, index);
}
