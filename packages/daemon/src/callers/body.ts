/**
 * @fileoverview Reads the complete bodies of callers' requests, limited in
 * size for each request and by the memory budget of the process. A body that
 * stops arriving gives way to others.
 */

import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

import {failure, selectBodyToRefuse} from '@jackdawfall/core';
import type {Failure, MemoryBudget, UnfinishedBody} from '@jackdawfall/core';

import {ByteBlocks, heldBytesFor} from '../http/byte_blocks.js';

/** A request body, or why it could not be read. */
export type BodyResult =
  | {
      readonly kind: 'complete';
      readonly bytes: ByteBlocks;
      /** Reserved for the request; whoever gets it releases it. */
      readonly heldBytes: number;
    }
  | {readonly kind: 'rejected'; readonly failure: Failure}
  /** The caller closed the connection before the end of the body. */
  | {readonly kind: 'aborted'};

/** Why a body is not read to its end. */
export type BodyRefusal =
  'too-large' | 'no-room' | 'gave-way' | 'stalled' | 'malformed';

/** Estimated memory of a request besides its head and body, in bytes. */
const REQUEST_OVERHEAD_BYTES = 2048;
/** Headers are held as received and as forwarded. */
const COPIES_OF_HEAD = 2;

/** A body that is being read. */
interface ArrivingBody extends UnfinishedBody {
  readonly incoming: IncomingMessage;
  heldBytes: number;
  progressedMs: number;
  refuse(refusal: BodyRefusal, detail: string): void;
}

/** Reads the bodies of all requests of a process. */
export class BodyReader {
  private readonly arriving = new Set<ArrivingBody>();

  /**
   * @param budget - Memory budget of the process.
   * @param onRefused - Called with the reason for each body that is refused.
   */
  constructor(
    private readonly budget: MemoryBudget,
    private readonly onRefused: (refusal: BodyRefusal) => void,
  ) {}

  /**
   * Decides whether a body can be read, before any of it is.
   *
   * @param incoming - The request.
   * @param maxBytes - Maximum size of this body.
   * @returns Why it can't be read, or null.
   */
  check(incoming: IncomingMessage, maxBytes: number): Failure | null {
    const length = announcedLength(incoming);
    if (length > maxBytes) return this.reject('too-large', detailOf(maxBytes));
    let roomBytes = this.budget.freeBytes;
    for (const {heldBytes} of this.arriving) roomBytes += heldBytes;
    if (heldBytesFor(length) <= roomBytes) return null;
    return this.reject('no-room', 'too many bodies at once');
  }

  /**
   * Reads the body of a request.
   *
   * @param incoming - The request.
   * @param maxBytes - Maximum size of this body.
   * @returns The body, or why it could not be read.
   */
  read(incoming: IncomingMessage, maxBytes: number): Promise<BodyResult> {
    return new Promise(resolve => {
      const bytes = new ByteBlocks();
      const body: ArrivingBody = {
        incoming,
        heldBytes: 0,
        progressedMs: performance.now(),
        refuse: (refusal, detail) =>
          finish({kind: 'rejected', failure: this.reject(refusal, detail)}),
      };
      const onData = (chunk: Buffer): void => {
        body.progressedMs = performance.now();
        const length = bytes.length + chunk.length;
        if (length > maxBytes) body.refuse('too-large', detailOf(maxBytes));
        else if (this.reserve(body, headBytes + heldBytesFor(length))) {
          bytes.append(chunk);
        } else body.refuse('no-room', 'too many bodies at once');
      };
      const finish = (result: BodyResult): void => {
        if (!this.arriving.delete(body)) return;
        incoming.off('data', onData);
        if (result.kind !== 'complete') this.release(body.heldBytes);
        resolve(result);
      };
      const headBytes = sizeOfHead(incoming);
      this.arriving.add(body);
      incoming.on('error', () => finish({kind: 'aborted'}));
      incoming.once('close', () => finish({kind: 'aborted'}));
      if (!this.reserve(body, headBytes)) {
        body.refuse('no-room', 'too many requests at once');
        return;
      }
      incoming.on('data', onData);
      incoming.once('end', () => {
        const {heldBytes} = body;
        finish({kind: 'complete', bytes, heldBytes});
      });
    });
  }

  /**
   * Releases the memory of a complete body.
   *
   * @param bytes - Its `heldBytes`.
   */
  release(bytes: number): void {
    this.budget.add('bodies', -bytes);
  }

  /**
   * Refuses the bodies of which nothing has arrived for some time.
   *
   * @param idleMs - That time, in milliseconds.
   */
  refuseStalled(idleMs: number): void {
    const stalledSinceMs = performance.now() - idleMs;
    for (const body of [...this.arriving]) {
      if (body.progressedMs > stalledSinceMs) continue;
      body.refuse('stalled', `nothing arrived for ${idleMs} ms`);
    }
  }

  /**
   * Refuses the body that is arriving on a connection, if there is one.
   *
   * @param socket - The connection.
   * @param detail - What is wrong with the body.
   */
  refuseMalformed(socket: Socket, detail: string): void {
    for (const body of this.arriving) {
      const {incoming} = body;
      if (incoming.socket !== socket || incoming.complete) continue;
      body.refuse('malformed', detail);
    }
  }

  /** Raises the memory of a body; others give way if need be. */
  private reserve(body: ArrivingBody, heldBytes: number): boolean {
    const added = heldBytes - body.heldBytes;
    if (added === 0) return true;
    while (!this.budget.reserve('bodies', added)) {
      const others = [...this.arriving].filter(each => each !== body);
      const refused = selectBodyToRefuse(others, heldBytes, performance.now());
      if (refused === null) return false;
      refused.refuse('gave-way', 'it gave way to others');
    }
    body.heldBytes = heldBytes;
    return true;
  }

  private reject(refusal: BodyRefusal, detail: string): Failure {
    this.onRefused(refusal);
    switch (refusal) {
      case 'too-large':
        return failure('body-too-large', 'not-run', detail);
      case 'stalled':
        return failure('body-timeout', 'not-run', detail);
      case 'malformed':
        return failure('bad-request', 'not-run', detail);
      case 'no-room':
      case 'gave-way':
        return failure('overloaded', 'not-run', detail);
    }
  }
}

/**
 * Returns the length that a request announces for its body.
 *
 * @param incoming - The request.
 * @returns The number of bytes; 0 without a body or for one in chunks.
 */
export function announcedLength(incoming: IncomingMessage): number {
  return Number(incoming.headers['content-length'] ?? 0);
}

function detailOf(maxBytes: number): string {
  return `more than ${maxBytes} bytes`;
}

/**
 * Estimates the memory of a request besides its body.
 *
 * @param incoming - The request.
 * @returns The number of bytes.
 */
export function sizeOfHead(incoming: IncomingMessage): number {
  const {rawHeaders, url = ''} = incoming;
  let bytes = url.length;
  for (const each of rawHeaders) bytes += each.length;
  return REQUEST_OVERHEAD_BYTES + bytes * COPIES_OF_HEAD;
}
