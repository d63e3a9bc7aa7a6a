/**
 * @fileoverview Reads the complete bodies of callers' requests, limited in
 * size for each request and for the whole process.
 */

import type {IncomingMessage} from 'node:http';

import {failure} from '@jackdawfall/core';
import type {Failure} from '@jackdawfall/core';

/** A request body, or why it could not be read. */
export type BodyResult =
  | {readonly kind: 'complete'; readonly bytes: Buffer}
  | {readonly kind: 'rejected'; readonly failure: Failure}
  /** The caller closed the connection before the end of the body. */
  | {readonly kind: 'aborted'};

/** Limits the memory that all request bodies of this process take. */
export class BodyBudget {
  private reservedBytes = 0;

  /** @param maxBytes - Maximum size of all request bodies together. */
  constructor(private readonly maxBytes: number) {}

  /**
   * Reserves memory for more bytes.
   *
   * @param bytes - Number of bytes.
   * @returns Whether they were reserved; false if the budget is exhausted.
   */
  reserve(bytes: number): boolean {
    if (this.reservedBytes + bytes > this.maxBytes) return false;
    this.reservedBytes += bytes;
    return true;
  }

  /**
   * Releases reserved memory.
   *
   * @param bytes - Number of bytes that are no longer needed.
   */
  release(bytes: number): void {
    this.reservedBytes -= bytes;
  }
}

/**
 * Reads the body of a request.
 *
 * @param incoming - The request.
 * @param maxBytes - Maximum size of this body.
 * @param budget - Memory budget of the process. The bytes of a complete body
 *     stay reserved until the caller of this function releases them.
 * @returns The body, or why it could not be read.
 */
export function readBody(
  incoming: IncomingMessage,
  maxBytes: number,
  budget: BodyBudget,
): Promise<BodyResult> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let settled = false;
    const finish = (body: BodyResult) => {
      if (settled) return;
      settled = true;
      incoming.removeAllListeners('data');
      if (body.kind !== 'complete') budget.release(bytes);
      resolve(body);
    };
    incoming.on('data', (chunk: Buffer) => {
      const rejection = checkSize(
        bytes + chunk.length,
        chunk.length,
        maxBytes,
        budget,
      );
      if (rejection !== null) {
        finish({kind: 'rejected', failure: rejection});
        incoming.resume();
        return;
      }
      bytes += chunk.length;
      chunks.push(chunk);
    });
    incoming.once('end', () =>
      finish({kind: 'complete', bytes: Buffer.concat(chunks)}),
    );
    incoming.once('error', () => finish({kind: 'aborted'}));
    incoming.once('close', () => finish({kind: 'aborted'}));
  });
}

/** Reserves memory for a chunk, unless a limit is exceeded. */
function checkSize(
  total: number,
  added: number,
  maxBytes: number,
  budget: BodyBudget,
): Failure | null {
  if (total > maxBytes) {
    return failure('body-too-large', 'not-run', `more than ${maxBytes} bytes`);
  }
  if (!budget.reserve(added)) {
    return failure('overloaded', 'not-run', 'too many bodies at once');
  }
  return null;
}
