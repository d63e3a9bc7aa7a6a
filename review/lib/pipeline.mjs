/**
 * @fileoverview A client that sends several requests on one connection before
 * the first of them is answered.
 */

import {connect} from 'node:net';

/** Time after the deadline for which the client still reads. */
const READ_ON_MS = 500;
const POLL_MS = 50;

class Pipeline {
  closed = false;
  text = '';

  constructor(socket) {
    this.socket = socket;
    socket.on('data', bytes => {
      this.text += bytes.toString('latin1');
      this.wake?.();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.closed = true;
      this.wake?.();
    });
  }

  /** Sends the requests at once; returns the status of each, 0 without one. */
  async exchange(requests, deadlineMs) {
    this.socket.write(requests.join(''));
    const until = performance.now() + deadlineMs + READ_ON_MS;
    const ends = [];
    while (ends.length < requests.length) {
      const status = this.take();
      if (status !== null) {
        ends.push(status);
        continue;
      }
      if (this.closed || performance.now() > until) break;
      await new Promise(resolve => {
        this.wake = resolve;
        setTimeout(resolve, POLL_MS);
      });
    }
    if (performance.now() > until) this.socket.destroy();
    while (ends.length < requests.length) ends.push(0);
    return ends;
  }

  /** Takes one complete answer from what has arrived. */
  take() {
    const end = this.text.indexOf('\r\n\r\n');
    if (end < 0) return null;
    const head = this.text.slice(0, end);
    const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
    if (this.text.length < end + 4 + length) return null;
    this.text = this.text.slice(end + 4 + length);
    return Number(head.slice(9, 12));
  }
}

/**
 * Opens a connection to the daemon of a machine.
 *
 * @param machine - The machine.
 * @returns The connection, or null if none can be opened.
 */
export function openPipeline({outbound: {ip, port}}) {
  return new Promise(resolve => {
    const socket = connect(port, ip);
    socket.once('error', () => resolve(null));
    socket.once('connect', () => {
      socket.removeAllListeners('error');
      resolve(new Pipeline(socket));
    });
  });
}
