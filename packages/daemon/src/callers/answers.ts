/**
 * @fileoverview Answers on their way to callers: each goes, whole and in
 * order, to the request it belongs to, or nowhere.
 */

import type {ServerResponse} from 'node:http';

import type {AttemptId, Header, MemberId, RequestId} from '@jackdawfall/core';

import {toRecord} from '../bodies/headers.js';
import type {OwnAnswer} from '../edges/types.js';
import type {Incoming, Pending} from './types.js';

/** Bytes of an answer that are held back until the answer is whole. */
const HELD_BACK_BYTES = 64 * 1024;

/** What happens as answers move on. */
export interface AnswerEvents {
  /** Bytes were taken by the caller; the sender may send as many more. */
  credit(to: MemberId, attempt: AttemptId, bytes: number): void;
  /** The caller has its whole answer. */
  answered(request: RequestId): void;
}

/** Moves answers from attempts to callers. */
export class Answers {
  /**
   * @param events - Told of progress.
   * @param creditBytes - Bytes taken before credit is given back.
   */
  constructor(
    private readonly events: AnswerEvents,
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
  head(incoming: Incoming, status: number, headers: readonly Header[]): void {
    incoming.head = {status, headers};
    incoming.parts.length = 0;
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
  data(incoming: Incoming, bytes: Uint8Array, pending: Pending | null): void {
    const start = incoming.received;
    incoming.received += bytes.length;
    const known = Math.min(bytes.length, Math.max(0, incoming.handed - start));
    if (known > 0) this.giveBack(incoming, known);
    if (known === bytes.length) return;
    incoming.parts.push(known === 0 ? bytes : bytes.subarray(known));
    if (pending !== null) this.flush(incoming, pending);
  }

  /**
   * Takes the end of an answer.
   *
   * @param incoming - The answer's record.
   * @param pending - The request, when this answer is the chosen one.
   */
  end(incoming: Incoming, pending: Pending | null): void {
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
  relay(incoming: Incoming, pending: Pending): void {
    const {head} = incoming;
    if (head === null || pending.outgoing.headersSent) return;
    pending.outgoing.on('drain', () => this.flush(incoming, pending));
    this.flush(incoming, pending);
  }

  private flush(incoming: Incoming, pending: Pending): void {
    const {outgoing} = pending;
    if (outgoing.destroyed || incoming.head === null) return;
    if (!incoming.ended && incoming.received <= HELD_BACK_BYTES) return;
    if (!outgoing.headersSent) writeHead(pending, incoming.head);
    if (incoming.ended && incoming.handed === 0) {
      this.finish(incoming, pending, Buffer.concat(incoming.parts));
      return;
    }
    while (incoming.parts.length > 0 && !outgoing.writableNeedDrain) {
      const part = incoming.parts.shift() as Uint8Array;
      outgoing.write(part);
      incoming.handed += part.length;
      this.giveBack(incoming, part.length);
    }
    if (incoming.parts.length > 0 || !incoming.ended) return;
    this.finish(incoming, pending, Buffer.alloc(0));
  }

  private finish(incoming: Incoming, pending: Pending, last: Buffer): void {
    const {outgoing, request} = pending;
    if (outgoing.writableEnded) return;
    incoming.parts.length = 0;
    incoming.handed += last.length;
    outgoing.end(last);
    this.events.answered(request);
  }

  private giveBack(incoming: Incoming, bytes: number): void {
    incoming.owed += bytes;
    if (incoming.owed < this.creditBytes) return;
    this.events.credit(incoming.from, incoming.attempt, incoming.owed);
    incoming.owed = 0;
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
  answer: OwnAnswer,
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
  pending: Pending,
  head: {status: number; headers: readonly Header[]},
): void {
  const record = toRecord(head.headers);
  Object.assign(record, pending.addedHeaders);
  pending.outgoing.writeHead(head.status, record);
}
