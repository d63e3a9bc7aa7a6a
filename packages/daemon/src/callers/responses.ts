/**
 * @fileoverview Answers on their way to callers: each goes, whole and in
 * order, to the request it belongs to, or nowhere.
 */

import type {ServerResponse} from 'node:http';

import type {AttemptId, Header, MemberId, RequestId} from '@jackdawfall/core';

import {toHeaderRecord} from '../http/headers.js';
import type {ErrorResponse} from '../adapters/types.js';
import type {IncomingResponse, PendingRequest} from './types.js';

/** Bytes of an answer that are held back until the answer is whole. */
const HELD_BACK_BYTES = 64 * 1024;

/** What happens as answers move on. */
export interface ResponseEvents {
  /** Bytes were taken by the caller; the sender may send as many more. */
  credit(to: MemberId, attempt: AttemptId, bytes: number): void;
  /** The caller has its whole answer. */
  answered(request: RequestId): void;
}

/** Moves answers from attempts to callers. */
export class ResponseRelay {
  /**
   * @param events - Told of progress.
   * @param creditBytes - Bytes taken before credit is given back.
   */
  constructor(
    private readonly events: ResponseEvents,
    private readonly creditBytes: number,
  ) {}

  /**
   * Takes the head of an answer. A second head of the same attempt restarts
   * the answer; what the caller already has is passed over.
   *
   * @param incoming - The answer's record.
   * @param status - HTTP status.
   * @param headers - End-to-end headers.
   */
  head(
    incoming: IncomingResponse,
    status: number,
    headers: readonly Header[],
  ): void {
    incoming.head = {status, headers};
    incoming.chunks.length = 0;
    incoming.received = 0;
    incoming.ended = false;
  }

  /**
   * Takes a part of an answer's body.
   *
   * @param incoming - The answer's record.
   * @param bytes - The part.
   * @param pending - The request, when this answer is the chosen one.
   */
  data(
    incoming: IncomingResponse,
    bytes: Uint8Array,
    pending: PendingRequest | null,
  ): void {
    const start = incoming.received;
    incoming.received += bytes.length;
    const known = Math.min(
      bytes.length,
      Math.max(0, incoming.delivered - start),
    );
    if (known > 0) this.giveBack(incoming, known);
    if (known === bytes.length) return;
    incoming.chunks.push(known === 0 ? bytes : bytes.subarray(known));
    if (pending !== null) this.flush(incoming, pending);
  }

  /**
   * Takes the end of an answer.
   *
   * @param incoming - The answer's record.
   * @param pending - The request, when this answer is the chosen one.
   */
  end(incoming: IncomingResponse, pending: PendingRequest | null): void {
    incoming.ended = true;
    if (pending !== null) this.flush(incoming, pending);
  }

  /**
   * Starts to hand an answer to the caller. A short answer is held back until
   * it is whole, so that one which is cut becomes an error answer.
   *
   * @param incoming - The chosen answer; its head has arrived.
   * @param pending - The request.
   */
  relay(incoming: IncomingResponse, pending: PendingRequest): void {
    const {head} = incoming;
    if (head === null || pending.outgoing.headersSent) return;
    pending.outgoing.on('drain', () => this.flush(incoming, pending));
    this.flush(incoming, pending);
  }

  private flush(incoming: IncomingResponse, pending: PendingRequest): void {
    const {outgoing} = pending;
    if (outgoing.destroyed || incoming.head === null) return;
    if (!incoming.ended && incoming.received <= HELD_BACK_BYTES) return;
    if (!outgoing.headersSent) writeHead(pending, incoming.head);
    if (incoming.ended && incoming.delivered === 0) {
      this.finish(incoming, pending, Buffer.concat(incoming.chunks));
      return;
    }
    while (incoming.chunks.length > 0 && !outgoing.writableNeedDrain) {
      const part = incoming.chunks.shift() as Uint8Array;
      outgoing.write(part);
      incoming.delivered += part.length;
      this.giveBack(incoming, part.length);
    }
    if (incoming.chunks.length > 0 || !incoming.ended) return;
    this.finish(incoming, pending, Buffer.alloc(0));
  }

  private finish(
    incoming: IncomingResponse,
    pending: PendingRequest,
    last: Buffer,
  ): void {
    const {outgoing, request} = pending;
    if (outgoing.writableEnded) return;
    incoming.chunks.length = 0;
    incoming.delivered += last.length;
    outgoing.end(last);
    this.events.answered(request);
  }

  private giveBack(incoming: IncomingResponse, bytes: number): void {
    incoming.creditOwed += bytes;
    if (incoming.creditOwed < this.creditBytes) return;
    this.events.credit(incoming.from, incoming.attempt, incoming.creditOwed);
    incoming.creditOwed = 0;
  }
}

/**
 * Writes an error to a caller, or cuts an answer that has begun.
 *
 * @param outgoing - Where the answer goes.
 * @param answer - The answer in the caller's protocol.
 */
export function writeFailure(
  outgoing: ServerResponse,
  answer: ErrorResponse,
): void {
  if (outgoing.headersSent) {
    outgoing.destroy();
    return;
  }
  const {status, headers, body} = answer;
  outgoing.writeHead(status, {
    ...headers,
    'content-length': Buffer.byteLength(body),
  });
  outgoing.end(body);
}

function writeHead(
  pending: PendingRequest,
  head: {status: number; headers: readonly Header[]},
): void {
  const record = toHeaderRecord(head.headers);
  Object.assign(record, pending.addedHeaders);
  pending.outgoing.writeHead(head.status, record);
}
