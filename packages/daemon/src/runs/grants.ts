/** @fileoverview Writing grants with the time to live of that moment. */

import type {ClientRequest} from 'node:http';

import {timeLeftMs} from '@jackdawfall/core';
import type {Instant} from '@jackdawfall/core';

import {readClocks} from '../loop/logic.js';

/** Shorter grants are not written: they would lapse before they are used. */
const LEAST_TTL_MS = 20;

/** Nothing was written: what the body depends on has run out. */
class NothingLeftError extends Error {
  override readonly name = 'NothingLeftError';
}

/**
 * Finds the time to live of a grant that is written now.
 *
 * @param until - End of the lease.
 * @returns Whole milliseconds, or null when too little is left.
 */
export function timeToLiveMs(until: Instant): number | null {
  const leftMs = Math.floor(timeLeftMs(until, readClocks()));
  return leftMs < LEAST_TTL_MS ? null : leftMs;
}

/**
 * Ends a request with a body that is made once its connection is open.
 *
 * @param outgoing - A request of which nothing is written yet.
 * @param body - Makes the body; null destroys the request.
 */
export function endOnceConnected(
  outgoing: ClientRequest,
  body: () => string | null,
): void {
  const end = (): void => {
    if (outgoing.destroyed) return;
    const text = body();
    if (text !== null) outgoing.end(text);
    else outgoing.destroy(new NothingLeftError('the lease has run out'));
  };
  outgoing.once('socket', socket => {
    if (socket.connecting) socket.once('connect', end);
    else end();
  });
}
