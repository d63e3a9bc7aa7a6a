/**
 * @fileoverview Answers requests that are not read: heads that are late, malformed
 * or too large, malformed bodies, CONNECT, and more requests than a connection may
 * have. Node's HTTP server would otherwise respond to most of them itself, also in
 * place of the response to an earlier request of the connection.
 */

import {STATUS_CODES} from 'node:http';
import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {failure} from '@jackdawfall/core';
import type {Failure, RequestId} from '@jackdawfall/core';

import type {ErrorResponse} from '../adapters/types.js';
import type {LogFields} from '../logs/types.js';
import type {BodyReader} from './body.js';
import type {CallerConnections} from './connections.js';
import type {OverloadDetector} from './overload.js';
import {waitForPendingReads} from './pending_reads.js';

/** Why no request can be read from a connection. */
export type Unreadable =
  /** The caller has closed the connection, or the connection has failed. */
  | {readonly kind: 'disconnected'}
  /** A head is not complete within its time limit. */
  | {readonly kind: 'late'}
  /** What has arrived is not a request, or its head is too large. */
  | {readonly kind: 'invalid'; readonly failure: Failure};

const LATE_HEAD_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';
const LARGE_HEAD_CODE = 'HPE_HEADER_OVERFLOW';
/** The connection has ended inside a request. */
const EARLY_END_CODE = 'HPE_INVALID_EOF_STATE';
const PARSER_ERROR_PREFIX = 'HPE_';

/** Dependencies of `UnreadRequests`. */
export interface UnreadContext {
  readonly server: Server;
  readonly connections: CallerConnections;
  readonly bodyReader: BodyReader;
  readonly overloadDetector: OverloadDetector;
  nextRequestId(): RequestId;
  /** Returns the error response to a request that is not read. */
  respond(request: RequestId, failed: Failure): ErrorResponse;
  log(fields: LogFields): void;
}

/**
 * Answers a request that isn't read, after the responses to all earlier ones of
 * its connection, and closes the connection.
 */
export class UnreadRequests {
  /** @param context - Dependencies. */
  constructor(private readonly context: UnreadContext) {}

  /**
   * Handles the errors of the server's connections from now on.
   *
   * @param server - The server.
   */
  watch(server: Server): void {
    server.on('clientError', (error, socket) => {
      void this.handleClientError(error, socket as Socket);
    });
    server.on('connect', (_incoming, socket) => {
      this.refuseTunnel(socket as Socket);
    });
  }

  /**
   * Takes no more requests from a connection.
   *
   * @param socket - The connection.
   * @param failed - Why the next request isn't read.
   */
  refuse(socket: Socket, failed: Failure): void {
    const {connections, bodyReader} = this.context;
    if (!connections.takesRequests(socket)) return;
    const request = this.context.nextRequestId();
    const response = this.context.respond(request, failed);
    const pending = connections.closeAfterPending(
      socket,
      renderClosingResponse(response),
    );
    bodyReader.refuseMalformed(socket, failed.detail);
    this.context.log({
      request,
      connection: `${socket.remoteAddress}:${socket.remotePort}`,
      error: failed.kind,
      detail: failed.detail,
      pending,
    });
  }

  private async handleClientError(
    error: NodeJS.ErrnoException,
    socket: Socket,
  ): Promise<void> {
    const unreadable = classifyClientError(error);
    switch (unreadable.kind) {
      case 'disconnected':
        socket.destroy();
        return;
      case 'invalid':
        this.refuse(socket, unreadable.failure);
        return;
      case 'late': {
        if (await this.arrivesAfterStall(socket)) return;
        const {headersTimeout} = this.context.server;
        const detail = `the head is not complete after ${headersTimeout} ms`;
        this.refuse(socket, failure('header-timeout', 'not-run', detail));
      }
    }
  }

  /**
   * Returns whether a late head arrives after all. Node looks for late heads
   * before it reads what has arrived while the process stood still, and that
   * time is not the caller's.
   */
  private async arrivesAfterStall(socket: Socket): Promise<boolean> {
    const {connections, overloadDetector, server} = this.context;
    const arrived = connections.requestCount(socket);
    const sinceMs = performance.now() - server.headersTimeout;
    await waitForPendingReads();
    const stalledMs = overloadDetector.stalledMsSince(sinceMs);
    if (stalledMs > 0 && connections.requestCount(socket) === arrived) {
      await sleep(Math.min(stalledMs, server.headersTimeout), undefined, {
        ref: false,
      });
    }
    return connections.requestCount(socket) > arrived;
  }

  /** Refuses a CONNECT request, whose connection Node reads no longer. */
  private refuseTunnel(socket: Socket): void {
    socket.on('error', () => socket.destroy());
    socket.once('end', () => socket.destroy());
    socket.resume();
    const detail = 'CONNECT is not supported';
    this.refuse(socket, failure('bad-request', 'not-run', detail));
  }
}

/**
 * Classifies the error of a `clientError` event.
 *
 * @param error - The error.
 * @returns What it means.
 */
export function classifyClientError(error: NodeJS.ErrnoException): Unreadable {
  const {code = ''} = error;
  if (code === LATE_HEAD_CODE) return {kind: 'late'};
  if (code === EARLY_END_CODE || !code.startsWith(PARSER_ERROR_PREFIX)) {
    return {kind: 'disconnected'};
  }
  const kind = code === LARGE_HEAD_CODE ? 'header-too-large' : 'bad-request';
  return {kind: 'invalid', failure: failure(kind, 'not-run', code)};
}

/**
 * Renders the last response of a connection.
 *
 * @param response - The response.
 * @returns Its bytes in HTTP/1.1, as text.
 */
export function renderClosingResponse(response: ErrorResponse): string {
  const {status, headers, body} = response;
  const lines = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
