/**
 * @fileoverview Bodies of attempts on their way to the local backend server. A
 * server may read slowly: the origin of an attempt gets credit for more of its
 * body when the connection has taken what it sent before.
 */

import {originOf} from '@jackdawfall/core';
import type {MemberId, MemoryBudget, Message} from '@jackdawfall/core';

import type {ReceivedAttempt} from './types.js';

/** Interval at which bytes that wait for the server are counted. */
const COUNT_INTERVAL_MS = 500;

/** Dependencies of the bodies. */
export interface RunBodiesContext {
  transmit(to: MemberId, message: Message): void;
  readonly budget: MemoryBudget;
}

/** Holds and writes the bodies of the attempts of one executor. */
export class RunBodies {
  private countedMs = 0;

  /** @param context - Dependencies. */
  constructor(private readonly context: RunBodiesContext) {}

  /**
   * Holds a part of a body, unless the run has not begun and there is no room.
   *
   * @param received - The attempt.
   * @param bytes - The next part.
   */
  hold(received: ReceivedAttempt, bytes: Uint8Array): void {
    const {budget} = this.context;
    if (received.run !== null) budget.add('runs', bytes.length);
    else if (!budget.reserve('runs', bytes.length)) {
      received.bodyDropped = true;
      received.unwritten.clear();
      return;
    }
    received.unwritten.push(bytes);
  }

  /**
   * Writes what is held of a body to the server if the run has begun.
   *
   * @param received - The attempt.
   */
  write(received: ReceivedAttempt): void {
    const {run, unwritten, attempt} = received;
    if (run === null || run.outgoing.writableEnded) return;
    const taken = unwritten.takeAll();
    if (received.bodyEnded) {
      run.outgoing.end(taken);
    } else if (taken.length > 0) {
      const to = originOf(attempt);
      const bytes = taken.length;
      run.outgoing.write(taken, error => {
        if (error) return;
        this.context.transmit(to, {kind: 'credit', attempt, bytes});
      });
    }
  }

  /**
   * Counts the bytes that wait for the server from time to time. What arrives in
   * between is added at once, and not subtracted when it is written.
   *
   * @param attempts - The attempts.
   */
  countWaiting(attempts: Iterable<ReceivedAttempt>): void {
    const now = performance.now();
    if (now - this.countedMs < COUNT_INTERVAL_MS) return;
    this.countedMs = now;
    let bytes = 0;
    for (const {unwritten, run} of attempts) {
      bytes += unwritten.heldBytes;
      if (run !== null) bytes += run.outgoing.writableLength;
    }
    this.context.budget.set('runs', bytes);
  }
}

/**
 * Returns headers that frame the body. For some methods, Node's client writes a
 * body without any, so that it would be read as further requests.
 *
 * @param received - The attempt.
 * @returns The headers; none if the request has them.
 */
export function framingOf(received: ReceivedAttempt): Record<string, string> {
  const {unwritten, bodyEnded, dispatch} = received;
  if (dispatch.headers.some(each => each.name === 'content-length')) return {};
  if (!bodyEnded) return {'transfer-encoding': 'chunked'};
  const {length} = unwritten;
  return length === 0 ? {} : {'content-length': String(length)};
}
