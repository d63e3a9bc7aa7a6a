/**
 * @fileoverview Writes calls for slice grants and releases. The time to live of a
 * grant is computed when it is written, since waiting for a connection uses up
 * part of the lease.
 */

import type {ClientRequest} from 'node:http';

import {timeLeftMs} from '@jackdawfall/core';
import type {Effect, Event, Instant, SliceGrant} from '@jackdawfall/core';

import type {GrantOutcome, ServerConnections} from '../adapters/types.js';
import {readClocks} from '../loop/logic.js';

/** Shorter grants are not sent: they would expire before they can be used. */
const MIN_TTL_MS = 20;

/** Headers of a request whose body is written once the server asks for it. */
export const ASKING_HEADERS = {expect: '100-continue'} as const;

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
 * Builds the event that reports a grant.
 *
 * @param effect - The effect that sent it.
 * @param grant - The grant.
 * @param outcome - What became of it.
 * @returns The event.
 */
export function toGrantEvent(
  effect: Extract<Effect, {kind: 'grantSlices'}>,
  grant: SliceGrant,
  outcome: GrantOutcome,
): Event {
  const {service, round} = effect;
  if (outcome === 'confirmed') {
    return {kind: 'slicesGranted', service, grant, round};
  }
  const written = outcome === 'unconfirmed';
  return {kind: 'sliceGrantFailed', grant, written, round};
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
  const writeBody = (): void => endOrAbort(outgoing, body);
  outgoing.once('socket', socket => {
    if (!socket.connecting) writeBody();
    else socket.once('connect', () => void setImmediate(writeBody));
  });
}

/** Ends a request with its body, or aborts it if there is none any more. */
function endOrAbort(outgoing: ClientRequest, body: () => string | null): void {
  if (outgoing.destroyed || outgoing.writableEnded) return;
  const text = body();
  if (text !== null) outgoing.end(text);
  else outgoing.destroy(new NotWrittenError('nothing was written'));
}

/**
 * Announcements after a call that was given up which show that the server runs:
 * one may have been on its way before.
 */
const ANNOUNCEMENTS_OF_RUNNING = 2;

/**
 * Writes the bodies of calls once the server asks for them by 100 (Continue). A
 * server that stands still then finds no grant as it continues. HTTP lets a
 * server ignore the expectation: one that has never asked, but announced itself
 * since it was first called, may get the body after some time.
 */
export class BodySender {
  private readonly asking = new WeakSet<ServerConnections>();
  /** Announcements at the first call to each server. */
  private readonly announced = new WeakMap<ServerConnections, number>();

  /**
   * @param askTimeoutMs - Time after which a server that doesn't ask gets the
   *     body, or null if every server asks.
   */
  constructor(private readonly askTimeoutMs: number | null) {}

  /**
   * Sends the body of a request with `ASKING_HEADERS` once the server asks.
   *
   * @param server - Connections to the server.
   * @param outgoing - A request of which nothing has been written.
   * @param body - Creates the body; if it returns null, the request is aborted.
   */
  sendWhenAsked(
    server: ServerConnections,
    outgoing: ClientRequest,
    body: () => string | null,
  ): void {
    const write = (): void => endOrAbort(outgoing, body);
    outgoing.flushHeaders();
    outgoing.once('continue', () => {
      this.asking.add(server);
      // A response that came along belongs to an earlier request.
      setImmediate(write);
    });
    const {askTimeoutMs} = this;
    if (askTimeoutMs === null || !this.ignoresExpectation(server)) return;
    const writeLate = (): void => {
      const late = setTimeout(write, askTimeoutMs);
      outgoing.once('close', () => clearTimeout(late));
    };
    outgoing.once('socket', socket => {
      if (socket.connecting) socket.once('connect', writeLate);
      else writeLate();
    });
  }

  private ignoresExpectation(server: ServerConnections): boolean {
    if (this.asking.has(server)) return false;
    const {announcements} = server;
    const before = this.announced.get(server) ?? announcements;
    this.announced.set(server, before);
    return announcements - before >= ANNOUNCEMENTS_OF_RUNNING;
  }
}
