/**
 * @fileoverview Faults of responses that a backend server injects: refusals
 * without need, late copies of refusals, invalid status lines, heads that are
 * cut, and late, repeated or missing answers to grants and releases. Seeded,
 * for scenarios, soak and benches.
 */

import type {ServerState} from './state.js';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Status line that a parser accepts, but that no valid response has. */
const INVALID_STATUS_LINE = 'HTTP/1.1 020 OK\r\n';
const CUT_HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: appl';

/** Injects the faults that a `spoil` command has switched on. */
export class ResponseFaults {
  /** The latest refusal on each connection, as it was sent. */
  private readonly refusals = new WeakMap<Socket, string>();
  /** The latest answer to a grant or release on each connection. */
  private readonly answers = new WeakMap<Socket, string>();

  /** @param state - The server. */
  constructor(private readonly state: ServerState) {}

  /** @returns Whether to refuse the next request without need. */
  refuses(): boolean {
    return this.draw(this.state.spoilt.refuse);
  }

  /**
   * Keeps a refusal for a late copy.
   *
   * @param socket - Its connection.
   * @param headers - Its headers.
   */
  keepRefusal(socket: Socket, headers: Readonly<Record<string, string>>): void {
    const lines = Object.entries(headers).map(
      ([name, value]) => `${name}: ${value}\r\n`,
    );
    const head = ['HTTP/1.1 503 Service Unavailable\r\n', ...lines].join('');
    this.refusals.set(socket, `${head}content-length: 0\r\n\r\n`);
  }

  /**
   * Sends the latest refusal on a connection once more, where the response to
   * the next request is expected.
   *
   * @param socket - The connection, on which a request has arrived.
   */
  repeatRefusal(socket: Socket): void {
    const refusal = this.refusals.get(socket);
    if (refusal === undefined) return;
    if (!this.draw(this.state.spoilt.repeatRefusal)) return;
    this.refusals.delete(socket);
    socket.write(refusal);
  }

  /** @returns Time by which to send an answer late, in milliseconds. */
  answerDelayMs(): number {
    return this.drawDelayMs(this.state.spoilt.lateAnswer);
  }

  /**
   * @returns Time by which to carry out a grant late and without an answer, in
   *     milliseconds; 0 to do neither.
   */
  grantDelayMs(): number {
    return this.drawDelayMs(this.state.spoilt.lateGrant);
  }

  /**
   * Keeps an answer to a grant or release for a late copy.
   *
   * @param socket - Its connection.
   * @param status - Its status line.
   */
  keepAnswer(socket: Socket, status: string): void {
    const head = `HTTP/1.1 ${status}\r\n`;
    this.answers.set(socket, `${head}content-length: 0\r\n\r\n`);
  }

  /**
   * Sends the latest answer to a grant or release on a connection once more,
   * where the response to the next call is expected.
   *
   * @param socket - The connection, on which a call has arrived.
   */
  repeatAnswer(socket: Socket): void {
    const answer = this.answers.get(socket);
    if (answer === undefined) return;
    if (!this.draw(this.state.spoilt.repeatAnswer)) return;
    this.answers.delete(socket);
    socket.write(answer);
  }

  /**
   * Sends an invalid response in place of a valid one.
   *
   * @param response - The response, of which nothing has been sent.
   * @returns Whether it did so.
   */
  spoil(response: ServerResponse): boolean {
    const {socket} = response;
    if (socket === null) return false;
    if (this.draw(this.state.spoilt.invalidStatus)) {
      socket.end(`${INVALID_STATUS_LINE}content-length: 0\r\n\r\n`);
      return true;
    }
    if (this.draw(this.state.spoilt.cutHead)) {
      socket.end(CUT_HEAD);
      return true;
    }
    return false;
  }

  private drawDelayMs(share: number): number {
    const {random, spoilt} = this.state;
    return this.draw(share) ? random() * spoilt.lateByMs : 0;
  }

  private draw(share: number): boolean {
    return share > 0 && this.state.random() < share;
  }
}
