/**
 * @fileoverview Keeps responses of backend servers for replay, limited in size
 * for each response and in total; the oldest complete ones are dropped first.
 */

import type {ReceivedAttempt, ResponseHead, KeptResponse} from './types.js';

/** Maximum size of one kept response and of all of them, in bytes. */
export interface KeptResponseLimits {
  readonly responseBytes: number;
  readonly totalBytes: number;
}

/** The kept responses, in order of their start. */
export class KeptResponses {
  private readonly entries = new Set<ReceivedAttempt>();
  private total = 0;

  /** @param limits - Size limits. */
  constructor(private readonly limits: KeptResponseLimits) {}

  /**
   * Starts to keep the response of an attempt.
   *
   * @param received - The attempt.
   */
  start(received: ReceivedAttempt): void {
    received.kept = {head: null, chunks: [], bytes: 0, complete: false};
    this.entries.add(received);
  }

  /**
   * Stores the head of a response.
   *
   * @param received - The attempt.
   * @param head - Status and headers.
   */
  head(received: ReceivedAttempt, head: ResponseHead): void {
    if (received.kept !== null) received.kept.head = head;
  }

  /**
   * Stores a chunk of a response body. Drops the response if it is too large.
   *
   * @param received - The attempt.
   * @param bytes - The next chunk.
   */
  data(received: ReceivedAttempt, bytes: Uint8Array): void {
    const {kept} = received;
    if (kept === null) return;
    kept.bytes += bytes.length;
    this.total += bytes.length;
    if (kept.bytes > this.limits.responseBytes) {
      this.drop(received);
      return;
    }
    kept.chunks.push(bytes);
    this.dropOldest();
  }

  /**
   * Marks a response as complete.
   *
   * @param received - The attempt.
   */
  end(received: ReceivedAttempt): void {
    if (received.kept !== null) received.kept.complete = true;
  }

  /**
   * Drops a kept response.
   *
   * @param received - The attempt.
   */
  drop(received: ReceivedAttempt): void {
    const {kept} = received;
    if (kept === null) return;
    this.total -= kept.bytes;
    received.kept = null;
    this.entries.delete(received);
  }

  private dropOldest(): void {
    for (const received of this.entries) {
      if (this.total <= this.limits.totalBytes) return;
      if (isComplete(received.kept)) this.drop(received);
    }
  }
}

function isComplete(kept: KeptResponse | null): boolean {
  return kept !== null && kept.complete;
}
