/**
 * @fileoverview Connections of callers: which requests wait on each, and when
 * one closes after a response. No request behind a closing response is passed
 * on, since its own response could not be sent.
 */

import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import type {PendingRequest} from './types.js';

interface ConnectionState {
  /** Response to the request that arrived last. */
  latest: ServerResponse;
  /** Whether the connection closes after that response. */
  closing: boolean;
  readonly pending: Set<PendingRequest>;
}

/** Tracks the connections of callers and their pending requests. */
export class CallerConnections {
  private readonly states = new WeakMap<Socket, ConnectionState>();
  private closesAfterResponses = false;

  /**
   * @param onClose - Called with each pending request whose connection closes.
   */
  constructor(private readonly onClose: (pending: PendingRequest) => void) {}

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
   * @returns False if the connection closes after an earlier response.
   */
  addRequest(socket: Socket, outgoing: ServerResponse): boolean {
    const state = this.states.get(socket);
    if (state === undefined) {
      this.states.set(socket, this.createState(socket, outgoing));
      return true;
    }
    if (state.closing) return false;
    state.latest = outgoing;
    return true;
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

  /**
   * Watches the connection itself: a pipelined request behind another one gets
   * no `close` event on its own response.
   */
  private createState(socket: Socket, latest: ServerResponse): ConnectionState {
    const pending = new Set<PendingRequest>();
    socket.once('close', () => {
      for (const each of pending) this.onClose(each);
    });
    return {latest, closing: false, pending};
  }
}
