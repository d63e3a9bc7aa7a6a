/**
 * @fileoverview Reading callers' requests: the body is read whole, within
 * bounds for each request and for the process.
 */

import type {IncomingMessage} from 'node:http';

import {failure} from '@jackdawfall/core';
import type {Failure} from '@jackdawfall/core';

/** A body, or why it was not taken. */
export type BodyResult =
  | {readonly kind: 'whole'; readonly bytes: Buffer}
  | {readonly kind: 'refused'; readonly failure: Failure}
  /** The caller hung up before the end. */
  | {readonly kind: 'gone'};

/** Bytes of bodies that the process holds at the moment, and the bound. */
export class BodyBudget {
  private held = 0;

  /** @param maxBytes - Most bytes held for all requests together. */
  constructor(private readonly maxBytes: number) {}

  /**
   * Takes room for more bytes.
   *
   * @param bytes - How many.
   * @returns False when there is no room; nothing is taken then.
   */
  reserve(bytes: number): boolean {
    if (this.held + bytes > this.maxBytes) return false;
    this.held += bytes;
    return true;
  }

  /**
   * Gives room back.
   *
   * @param bytes - How many bytes are no longer held.
   */
  release(bytes: number): void {
    this.held -= bytes;
  }
}

/**
 * Reads a request's body.
 *
 * @param incoming - The request.
 * @param maxBytes - Most bytes of one body.
 * @param budget - Room of the process; bytes of a whole body stay taken.
 * @returns The body, or why there is none.
 */
export function readBody(
  incoming: IncomingMessage,
  maxBytes: number,
  budget: BodyBudget,
): Promise<BodyResult> {
  return new Promise(resolve => {
    const parts: Buffer[] = [];
    let bytes = 0;
    let settled = false;
    const finish = (body: BodyResult) => {
      if (settled) return;
      settled = true;
      incoming.removeAllListeners('data');
      if (body.kind !== 'whole') budget.release(bytes);
      resolve(body);
    };
    incoming.on('data', (part: Buffer) => {
      const refusal = refuse(
        bytes + part.length,
        part.length,
        maxBytes,
        budget,
      );
      if (refusal !== null) {
        finish({kind: 'refused', failure: refusal});
        incoming.resume();
        return;
      }
      bytes += part.length;
      parts.push(part);
    });
    incoming.once('end', () =>
      finish({kind: 'whole', bytes: Buffer.concat(parts)}),
    );
    incoming.once('error', () => finish({kind: 'gone'}));
    incoming.once('close', () => finish({kind: 'gone'}));
  });
}

function refuse(
  total: number,
  more: number,
  maxBytes: number,
  budget: BodyBudget,
): Failure | null {
  if (total > maxBytes) {
    return failure('body-too-large', 'not-run', `more than ${maxBytes} bytes`);
  }
  if (!budget.reserve(more)) {
    return failure('overloaded', 'not-run', 'too many bodies at once');
  }
  return null;
}
