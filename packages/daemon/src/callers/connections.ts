/**
 * @fileoverview Connections of callers: which requests wait on each, when
 * one closes after a response, and which ones are closed since nothing moves on
 * them or others need the room. No request behind a closing response is passed
 * on, since its own response could not be sent. Whatever ends a connection that
 * still works, the responses to earlier requests are sent before.
 */

import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {sizeOfHead} from './body.js';
import type {PendingRequest} from './types.js';

/**
 * Maximum number of requests that wait on one connection for their responses;
 * each holds its head.
 */
const MAX_PIPELINED = 64;
/**
 * Time beyond the idle time after which a connection on which nothing moves is
 * closed; requests and kept connections end by their own times before.
 */
const IDLE_RESERVE_MS = 2000;
/** Time without progress after which a connection gives way to others. */
const STALLED_MS = 1000;
/**
 * Time for which bytes that still arrive are discarded after the last response:
 * a connection that closes with unread bytes is reset, and the caller may lose
 * that response.
 */
const DISCARD_MS = 500;
/** Share of the connections that give way at once. */
const CLOSED_SHARE = 1 / 16;

interface ConnectionState {
  readonly socket: Socket;
  /** Response to the request that arrived last, or null before the first. */
  latest: ServerResponse | null;
  /** Whether the connection closes after that response. */
  closing: boolean;
  /** Number of requests that have arrived. */
  requests: number;
  /** Number of responses that have not been sent in full. */
  unsent: number;
  /** Size of the heads that arrived behind requests without a response. */
  pipelinedBytes: number;
  /**
   * Text of the response to a request that isn't read, which is written after
   * all others and may be empty; null as long as requests are read.
   */
  lastResponse: string | null;
  readonly pending: Set<PendingRequest>;
  /** Bytes received and taken by the caller when it was last looked at. */
  movedBytes: number;
  /** Monotonic time by which they had changed last, in milliseconds. */
  progressedMs: number;
}

/**
 * What to do with a request. `excess`: too many wait on its connection, or all
 * that wait behind others are too large. `ignored`: the connection closes after an
 * earlier response.
 */
export type RequestAdmission = 'accepted' | 'excess' | 'ignored';

/** Tracks the connections of callers and their pending requests. */
export class CallerConnections {
  private readonly states = new Map<Socket, ConnectionState>();
  private closesAfterResponses = false;
  /** Size of all heads that arrived behind requests without a response. */
  private pipelinedBytes = 0;

  /**
   * @param onClose - Called with each pending request whose connection closes.
   * @param maxPipelinedBytes - Maximum size of the heads that wait behind
   *     earlier requests of their connections. Node keeps each until its response
   *     is sent, also if the request was rejected at once.
   */
  constructor(
    private readonly onClose: (pending: PendingRequest) => void,
    private readonly maxPipelinedBytes: number,
  ) {}

  /** @returns The number of open connections. */
  get size(): number {
    return this.states.size;
  }

  /**
   * Records a connection that was opened.
   *
   * @param socket - The connection.
   */
  open(socket: Socket): void {
    const state: ConnectionState = {
      socket,
      latest: null,
      closing: false,
      requests: 0,
      unsent: 0,
      pipelinedBytes: 0,
      lastResponse: null,
      pending: new Set(),
      movedBytes: 0,
      progressedMs: performance.now(),
    };
    this.states.set(socket, state);
    // A pipelined request behind another one gets no `close` event on its own
    // response.
    socket.once('close', () => {
      this.states.delete(socket);
      this.addPipelined(state, -state.pipelinedBytes);
      for (const each of state.pending) this.onClose(each);
    });
  }

  /**
   * Closes the connections on which nothing moves: without a request that is
   * being served, or with a response that the caller doesn't take.
   *
   * @param idleMs - Time after which they are closed, in milliseconds.
   * @returns The number of bytes that wait for callers.
   */
  closeIdle(idleMs: number): number {
    const now = performance.now();
    let waitingBytes = 0;
    for (const state of this.states.values()) {
      recordProgress(state, now);
      waitingBytes += state.socket.writableLength;
      const unmovedMs = now - state.progressedMs;
      if (unmovedMs < idleMs + IDLE_RESERVE_MS || isServed(state)) continue;
      state.socket.destroy();
    }
    return waitingBytes;
  }

  /**
   * Closes connections to make room for others, those on which nothing has moved
   * for the longest time first. Connections with a request that is being served
   * stay open, unless the caller doesn't take the response.
   *
   * @param unreadOnly - Whether only those are closed whose callers don't take
   *     their responses.
   * @returns The number of connections that were closed.
   */
  closeStalled(unreadOnly: boolean): number {
    const now = performance.now();
    const stalled: ConnectionState[] = [];
    for (const state of this.states.values()) {
      recordProgress(state, now);
      const isUnread = state.socket.writableLength > 0;
      if (now - state.progressedMs < STALLED_MS || isServed(state)) continue;
      if (isUnread || !unreadOnly) stalled.push(state);
    }
    stalled.sort((a, b) => a.progressedMs - b.progressedMs);
    const count = Math.ceil(this.states.size * CLOSED_SHARE);
    const closed = stalled.slice(0, count);
    for (const {socket} of closed) {
      this.states.delete(socket);
      socket.destroy();
    }
    return closed.length;
  }

  /**
   * Closes each connection from now on after the response to the latest request
   * on it.
   */
  closeAfterResponses(): void {
    this.closesAfterResponses = true;
  }

  /**
   * Records a request that has arrived.
   *
   * @param socket - Its connection.
   * @param outgoing - Its response.
   * @returns What to do with it.
   */
  addRequest(socket: Socket, outgoing: ServerResponse): RequestAdmission {
    const state = this.states.get(socket);
    if (state === undefined || state.closing) return 'ignored';
    const bytes = state.unsent === 0 ? 0 : sizeOfHead(outgoing.req);
    const hasRoom = this.pipelinedBytes + bytes <= this.maxPipelinedBytes;
    if (state.pending.size >= MAX_PIPELINED || !hasRoom) return 'excess';
    this.addPipelined(state, bytes);
    state.latest = outgoing;
    state.requests += 1;
    state.unsent += 1;
    outgoing.once('finish', () => {
      if (this.states.get(socket) !== state) return;
      state.unsent -= 1;
      this.addPipelined(state, -bytes);
      closeIfAnswered(state);
    });
    return 'accepted';
  }

  /**
   * Returns whether requests on a connection are passed on.
   *
   * @param socket - The connection.
   * @returns False if it closes after an earlier response, or has closed.
   */
  takesRequests(socket: Socket): boolean {
    return this.states.get(socket)?.closing === false;
  }

  /**
   * Returns how many requests have arrived on a connection.
   *
   * @param socket - The connection.
   * @returns Their number.
   */
  requestCount(socket: Socket): number {
    return this.states.get(socket)?.requests ?? 0;
  }

  /**
   * Takes no more requests from a connection and closes it after the responses
   * to those that have arrived.
   *
   * @param socket - The connection.
   * @param lastResponse - The response to what comes next, as text. It isn't sent
   *     if that is the rest of a request that has arrived, or if an earlier
   *     response closes the connection.
   * @returns The number of responses that are sent before.
   */
  closeAfterPending(socket: Socket, lastResponse: string): number {
    const state = this.states.get(socket);
    if (state === undefined || state.closing) return 0;
    const isBody = state.latest !== null && !state.latest.req.complete;
    state.closing = true;
    state.lastResponse = isBody ? '' : lastResponse;
    setImmediate(() => discardInput(socket));
    closeIfAnswered(state);
    return state.unsent;
  }

  /**
   * Decides whether the connection closes after a response; called before its
   * head is written.
   *
   * @param outgoing - The response.
   */
  prepareHead(outgoing: ServerResponse): void {
    const state = this.states.get(outgoing.req.socket);
    if (state === undefined || state.latest !== outgoing) return;
    if (this.closesAfterResponses) outgoing.shouldKeepAlive = false;
    if (!outgoing.shouldKeepAlive) state.closing = true;
  }

  /**
   * Watches the connection of a request until the request has ended.
   *
   * @param request - The request.
   */
  watch(request: PendingRequest): void {
    this.states.get(request.outgoing.req.socket)?.pending.add(request);
  }

  /**
   * Stops watching the connection for a request that has ended.
   *
   * @param request - The request.
   */
  remove(request: PendingRequest): void {
    const {socket} = request.outgoing.req;
    if (socket) this.states.get(socket)?.pending.delete(request);
  }

  private addPipelined(state: ConnectionState, bytes: number): void {
    state.pipelinedBytes += bytes;
    this.pipelinedBytes += bytes;
  }
}

/** Closes a connection that takes no more requests once all are answered. */
function closeIfAnswered({
  socket,
  unsent,
  lastResponse,
}: ConnectionState): void {
  if (lastResponse === null || unsent > 0 || !socket.writable) return;
  socket.end(lastResponse);
  const timer = setTimeout(() => socket.destroy(), DISCARD_MS);
  socket.once('close', () => clearTimeout(timer));
}

/**
 * Discards what arrives on a connection from now on. Node's server would keep
 * each further request until the earlier ones are answered. The end of the
 * connection is still noticed.
 */
function discardInput(socket: Socket): void {
  socket.removeAllListeners('data');
  socket.on('data', () => undefined);
}

function recordProgress(state: ConnectionState, nowMs: number): void {
  const {bytesRead, bytesWritten, writableLength} = state.socket;
  const movedBytes = bytesRead + bytesWritten - writableLength;
  if (movedBytes === state.movedBytes) return;
  state.movedBytes = movedBytes;
  state.progressedMs = nowMs;
}

/** Whether a request waits for its response, and not for its caller. */
function isServed({pending, socket}: ConnectionState): boolean {
  return pending.size > 0 && socket.writableLength === 0;
}
