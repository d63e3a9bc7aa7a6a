/**
 * @fileoverview Computes the time to live of a slice grant when it is
 * written, since waiting for a connection uses up part of the lease.
 */

import type {ClientRequest} from 'node:http';

import {timeLeftMs} from '@jackdawfall/core';
import type {Instant} from '@jackdawfall/core';

import {readClocks} from '../loop/logic.js';

/** Shorter grants are not sent: they would expire before they can be used. */
const MIN_TTL_MS = 20;

/** A request was aborted before anything of it was written. */
class NotWrittenError extends Error {
  override readonly name = 'NotWrittenError';
}

/**
 * Computes the time to live of a grant that is written now.
 *
 * @param until - End of the lease that backs the grant.
 * @returns Whole milliseconds, or null if too little time remains.
 */
export function timeToLiveMs(until: Instant): number | null {
  const remainingMs = Math.floor(timeLeftMs(until, readClocks()));
  return remainingMs < MIN_TTL_MS ? null : remainingMs;
}

/**
 * Sends a request whose body is created once its connection is open and the ends
 * of earlier connections to the server are known.
 *
 * @param outgoing - A request of which nothing has been written.
 * @param body - Creates the body; if it returns null, the request is aborted.
 */
export function endOnceConnected(
  outgoing: ClientRequest,
  body: () => string | null,
): void {
  const writeBody = (): void => {
    if (outgoing.destroyed) return;
    const text = body();
    if (text !== null) outgoing.end(text);
    else outgoing.destroy(new NotWrittenError('nothing was written'));
  };
  outgoing.once('socket', socket => {
    if (!socket.connecting) writeBody();
    else socket.once('connect', () => void setImmediate(writeBody));
  });
}
