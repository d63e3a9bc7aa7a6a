/**
 * @fileoverview Relays responses from attempts to callers. Each response is
 * delivered in order to the request it belongs to, with flow control.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';

import type {AttemptId, Header, MemberId, RequestId} from '@jackdawfall/core';

import {toHeaderRecord} from '../http/headers.js';
import type {ErrorResponse} from '../adapters/types.js';
import type {IncomingResponse, PendingRequest} from './types.js';

/**
 * Responses up to this size are buffered until they are complete, so that the
 * caller can still get an error response if the attempt fails before that.
 */
const MAX_BUFFERED_BYTES = 64 * 1024;

/** Time for which the rest of a refused body is discarded. */
const DISCARD_MS = 500;

/** Notifications from the relay. */
export interface ResponseEvents {
  /** Bytes were delivered; the sender may send as many more. */
  credit(to: MemberId, attempt: AttemptId, bytes: number): void;
  /** The head of a response is about to be written. */
  headWriting(outgoing: ServerResponse): void;
  /** The complete response was written to the caller. */
  delivered(request: RequestId): void;
}

/** Relays responses from attempts to callers. */
export class ResponseRelay {
  /**
   * @param events - Receives the notifications.
   * @param creditBytes - Number of delivered bytes after which credit for them
   *     is returned to the sender.
   */
  constructor(
    private readonly events: ResponseEvents,
    private readonly creditBytes: number,
  ) {}

  /**
   * Handles the head of a response. A second head for the same attempt means
   * that the response is sent again from its start; bytes that the caller
   * already has are skipped.
   *
   * @param response - State of the response.
   * @param status - HTTP status.
   * @param headers - End-to-end headers.
   */
  head(
    response: IncomingResponse,
    status: number,
    headers: readonly Header[],
  ): void {
    response.head = {status, headers};
    response.unwritten.clear();
    response.received = 0;
    response.ended = false;
    response.interrupted = false;
  }

  /**
   * Handles a chunk of a response body.
   *
   * @param response - State of the response.
   * @param bytes - The chunk.
   * @param pending - The request if this response was chosen for it, or null.
   */
  data(
    response: IncomingResponse,
    bytes: Uint8Array,
    pending: PendingRequest | null,
  ): void {
    if (response.interrupted) return;
    const start = response.received;
    response.received += bytes.length;
    const skipped = Math.min(
      bytes.length,
      Math.max(0, response.delivered - start),
    );
    if (skipped > 0) this.returnCredit(response, skipped);
    if (skipped === bytes.length) return;
    response.unwritten.push(bytes.subarray(skipped));
    if (pending !== null) this.flush(response, pending);
  }

  /**
   * Handles the end of a response.
   *
   * @param response - State of the response.
   * @param pending - The request if this response was chosen for it, or null.
   */
  end(response: IncomingResponse, pending: PendingRequest | null): void {
    if (response.interrupted) return;
    response.ended = true;
    if (pending !== null) this.flush(response, pending);
  }

  /**
   * Starts to send a response to the caller.
   *
   * @param response - The chosen response; its head has arrived.
   * @param pending - The request.
   */
  relay(response: IncomingResponse, pending: PendingRequest): void {
    const {head} = response;
    if (head === null || pending.outgoing.headersSent) return;
    pending.outgoing.on('drain', () => this.flush(response, pending));
    this.flush(response, pending);
  }

  private flush(response: IncomingResponse, pending: PendingRequest): void {
    const {outgoing} = pending;
    if (outgoing.destroyed || response.head === null) return;
    if (!response.ended && response.received <= MAX_BUFFERED_BYTES) return;
    if (!outgoing.headersSent) {
      this.events.headWriting(outgoing);
      writeHead(pending, response.head);
    }
    if (response.ended && response.delivered === 0) {
      this.finish(response, pending, response.unwritten.takeAll());
      return;
    }
    while (response.unwritten.length > 0 && !outgoing.writableNeedDrain) {
      const chunk = response.unwritten.shift();
      outgoing.write(chunk);
      response.delivered += chunk.length;
      this.returnCredit(response, chunk.length);
    }
    if (response.unwritten.length > 0 || !response.ended) return;
    this.finish(response, pending, Buffer.alloc(0));
  }

  private finish(
    response: IncomingResponse,
    pending: PendingRequest,
    rest: Buffer,
  ): void {
    const {outgoing, request} = pending;
    if (outgoing.writableEnded) return;
    response.unwritten.clear();
    response.delivered += rest.length;
    outgoing.end(rest);
    this.events.delivered(request);
  }

  private returnCredit(response: IncomingResponse, bytes: number): void {
    response.creditOwed += bytes;
    if (response.creditOwed < this.creditBytes) return;
    this.events.credit(response.from, response.attempt, response.creditOwed);
    response.creditOwed = 0;
  }
}

/**
 * Sends an error response to a caller, or closes the connection if a response
 * has already been started.
 *
 * @param outgoing - The HTTP response to write.
 * @param errorResponse - The error response.
 */
export function writeErrorResponse(
  outgoing: ServerResponse,
  errorResponse: ErrorResponse,
): void {
  if (outgoing.headersSent) {
    outgoing.destroy();
    return;
  }
  const {status, headers, body} = errorResponse;
  outgoing.writeHead(status, {
    ...headers,
    'content-length': Buffer.byteLength(body),
  });
  outgoing.end(body);
}

/**
 * Sends an error response to a request whose body is not read, and closes the
 * connection. What still arrives is discarded for a short time: a connection
 * that closes with unread bytes is reset, and the caller may lose the response.
 *
 * @param incoming - The request.
 * @param outgoing - Its response.
 * @param errorResponse - The error response.
 */
export function refuseUnread(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  errorResponse: ErrorResponse,
): void {
  const {status, headers, body} = errorResponse;
  outgoing.writeHead(status, {
    ...headers,
    connection: 'close',
    'content-length': Buffer.byteLength(body),
  });
  outgoing.write(body);
  incoming.resume();
  const end = (): void => {
    clearTimeout(timer);
    outgoing.end();
  };
  const timer = setTimeout(end, DISCARD_MS);
  incoming.once('end', end);
  incoming.once('close', end);
}

function writeHead(
  pending: PendingRequest,
  head: {status: number; headers: readonly Header[]},
): void {
  const record = toHeaderRecord(head.headers);
  Object.assign(record, pending.addedHeaders);
  pending.outgoing.writeHead(head.status, record);
}
