/**
 * @fileoverview Clients that speak HTTP/1.1 on plain sockets, so that they see
 * which connection ends and what was complete by then.
 */

import {connect} from 'node:net';

let count = 0;
const runId = Math.random().toString(16).slice(2, 8);

/** Returns an id that no other request has. */
export function newAttemptId() {
  count += 1;
  return `${runId}${String(count).padStart(6, '0')}`;
}

/** A connection of a client; requests may be pipelined. */
export class ClientConnection {
  /** @param {{host: string, port: number}} endpoint - Where to connect. */
  constructor(endpoint, recorder) {
    this.recorder = recorder;
    this.waiting = [];
    this.buffer = Buffer.alloc(0);
    this.ended = false;
    this.closes = false;
    this.socket = connect(endpoint);
    this.socket.setNoDelay(true);
    this.socket.on('data', bytes => this.receive(bytes));
    this.socket.on('error', () => this.end());
    this.socket.on('close', () => this.end());
    this.opened = new Promise(resolve => {
      this.socket.once('connect', () => resolve(true));
      this.socket.once('close', () => resolve(false));
    });
  }

  /**
   * Sends a request.
   *
   * @returns {Promise<object>} `status` (null if the connection ended first),
   *     `headers`, `body`, and the times of sending and of the end.
   */
  send({method = 'GET', host, path, deadlineMs = 2000, headers = {}, body}) {
    const attempt = newAttemptId();
    const lines = [
      `${method} ${path} HTTP/1.1`,
      `Host: ${host}`,
      `Attempt-Id: ${attempt}`,
      `Deadline-Ms: ${deadlineMs}`,
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    ];
    if (body !== undefined) lines.push(`Content-Length: ${body.length}`);
    this.recorder.add({event: 'sent', attempt, method, path});
    const sentMs = performance.now();
    this.socket.write(`${lines.join('\r\n')}\r\n\r\n`);
    if (body !== undefined) this.socket.write(body);
    return new Promise(resolve => {
      const finish = result => {
        const ms = Math.round(performance.now() - sentMs);
        const {status, detail} = result;
        this.recorder.add({event: 'answered', attempt, status, detail, ms});
        resolve({...result, attempt, ms, sentMs});
      };
      if (this.ended) finish({status: null, detail: 'closed'});
      else this.waiting.push({finish, head: null});
    });
  }

  destroy() {
    this.socket.destroy();
  }

  receive(bytes) {
    this.buffer = Buffer.concat([this.buffer, bytes]);
    while (this.waiting.length > 0 && this.takeResponse());
  }

  takeResponse() {
    const [first] = this.waiting;
    if (first.head === null) {
      const end = this.buffer.indexOf('\r\n\r\n');
      if (end < 0) return false;
      first.head = parseHead(this.buffer.subarray(0, end).toString('latin1'));
      this.buffer = this.buffer.subarray(end + 4);
      if (first.head.headers.connection === 'close') this.closes = true;
    }
    const {head} = first;
    const body = this.takeBody(head);
    if (body === null) return false;
    this.waiting.shift();
    first.finish({...head, body});
    return true;
  }

  takeBody(head) {
    const length = head.headers['content-length'];
    if (length !== undefined) {
      if (this.buffer.length < Number(length)) return null;
      const body = this.buffer.subarray(0, Number(length));
      this.buffer = this.buffer.subarray(Number(length));
      return body;
    }
    const parts = [];
    let at = 0;
    for (;;) {
      const end = this.buffer.indexOf('\r\n', at);
      if (end < 0) return null;
      const size = parseInt(this.buffer.subarray(at, end).toString(), 16);
      if (this.buffer.length < end + 2 + size + 2) return null;
      if (size === 0) {
        this.buffer = this.buffer.subarray(end + 4);
        return Buffer.concat(parts);
      }
      parts.push(this.buffer.subarray(end + 2, end + 2 + size));
      at = end + 2 + size + 2;
    }
  }

  end() {
    if (this.ended) return;
    this.ended = true;
    for (const {finish, head} of this.waiting) {
      const detail = head === null ? 'no answer' : `${head.status} cut short`;
      finish({status: null, detail, headers: {}});
    }
    this.waiting = [];
  }
}

function parseHead(text) {
  const [line, ...rest] = text.split('\r\n');
  const headers = {};
  for (const each of rest) {
    const colon = each.indexOf(':');
    headers[each.slice(0, colon).toLowerCase()] = each.slice(colon + 1).trim();
  }
  return {status: Number(line.split(' ')[1]), headers};
}
