/**
 * @fileoverview Answers kept for replays, bounded for each answer and for all
 * together; the oldest give way.
 */

import type {ReceivedAttempt, ResponseHead, KeptResponse} from './types.js';

/** Bounds on kept answers, in bytes. */
export interface KeptResponseLimits {
  readonly answerBytes: number;
  readonly totalBytes: number;
}

/** Every answer that is kept. */
export class KeptResponses {
  private readonly holders = new Set<ReceivedAttempt>();
  private total = 0;

  /** @param bounds - Bounds in bytes. */
  constructor(private readonly bounds: KeptResponseLimits) {}

  /**
   * Starts to keep an answer.
   *
   * @param arrival - The attempt it belongs to.
   */
  start(arrival: ReceivedAttempt): void {
    arrival.kept = {head: null, chunks: [], bytes: 0, complete: false};
    this.holders.add(arrival);
  }

  /**
   * Keeps a head.
   *
   * @param arrival - The attempt.
   * @param head - Status and headers.
   */
  head(arrival: ReceivedAttempt, head: ResponseHead): void {
    if (arrival.kept !== null) arrival.kept.head = head;
  }

  /**
   * Keeps a part, or drops the answer when a bound is reached.
   *
   * @param arrival - The attempt.
   * @param bytes - The next part of the body.
   */
  data(arrival: ReceivedAttempt, bytes: Uint8Array): void {
    const {kept} = arrival;
    if (kept === null) return;
    kept.bytes += bytes.length;
    this.total += bytes.length;
    if (kept.bytes > this.bounds.answerBytes) {
      this.drop(arrival);
      return;
    }
    kept.chunks.push(bytes);
    this.trim();
  }

  /**
   * Marks an answer as whole.
   *
   * @param arrival - The attempt.
   */
  end(arrival: ReceivedAttempt): void {
    if (arrival.kept !== null) arrival.kept.complete = true;
  }

  /**
   * Drops an answer.
   *
   * @param arrival - The attempt.
   */
  drop(arrival: ReceivedAttempt): void {
    const {kept} = arrival;
    if (kept === null) return;
    this.total -= kept.bytes;
    arrival.kept = null;
    this.holders.delete(arrival);
  }

  private trim(): void {
    for (const holder of this.holders) {
      if (this.total <= this.bounds.totalBytes) return;
      if (isWhole(holder.kept)) this.drop(holder);
    }
  }
}

function isWhole(kept: KeptResponse | null): boolean {
  return kept !== null && kept.complete;
}
