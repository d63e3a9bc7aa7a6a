/**
 * @fileoverview Clients that follow the users' pages: each attempt has its own
 * id and a deadline, and connections are kept open.
 */

import {randomBytes} from 'node:crypto';
import {Agent, request} from 'node:http';

const IDLE_MS = 10_000;

/** Clients on one machine. */
export class Clients {
  agent = new Agent({keepAlive: true, maxSockets: 60, timeout: IDLE_MS});

  /**
   * @param fleet - The deployment, which keeps the record.
   * @param machine - The machine on which they run.
   */
  constructor(fleet, machine) {
    Object.assign(this, {fleet, machine});
  }

  /**
   * Sends one client attempt.
   *
   * @param options - `host`, `path`, `method`, `deadlineMs`, `body`, `headers`.
   * @returns The attempt's id and how it ended.
   */
  send({host, path, method, deadlineMs, body = '', headers = {}}) {
    const attempt = randomBytes(8).toString('hex');
    const {ip, port} = this.machine.outbound;
    const sent = this.fleet.record('sent', {
      attempt,
      machine: this.machine.name,
      method,
      path,
    });
    return new Promise(resolve => {
      let kept = false;
      const finish = end => {
        clearTimeout(timer);
        const event = {attempt, machine: this.machine.name, kept, ...end};
        this.fleet.record('answered', event);
        resolve({...event, sentAt: sent.at});
      };
      const outgoing = request(
        {
          host: ip,
          port,
          method,
          path,
          agent: this.agent,
          headers: {
            ...headers,
            host,
            'attempt-id': attempt,
            'deadline-ms': String(deadlineMs),
            'content-length': Buffer.byteLength(body),
          },
        },
        incoming => {
          let text = '';
          incoming.on('data', bytes => (text += bytes));
          incoming.on('error', () => finish({status: 0, cut: true}));
          incoming.on('end', () =>
            finish({
              status: incoming.statusCode,
              retryAfter: incoming.headers['retry-after'],
              stamp: incoming.headers['server-stamp'],
              text: text.slice(0, 200),
            }),
          );
        },
      );
      outgoing.on('socket', () => (kept = outgoing.reusedSocket));
      const timer = setTimeout(() => {
        outgoing.removeAllListeners('error');
        outgoing.on('error', () => undefined);
        outgoing.destroy();
        finish({status: 0, deadline: true});
      }, deadlineMs);
      outgoing.on('error', error => finish({status: 0, cut: error.code}));
      outgoing.end(body);
    });
  }

  close() {
    this.agent.destroy();
  }
}

/**
 * Starts a load: calls a function so many times a second until stopped.
 *
 * @param perSecond - Rate.
 * @param each - Called with a counter.
 * @returns A function that stops the load.
 */
export function startLoad(perSecond, each) {
  let count = 0;
  const startedMs = performance.now();
  const timer = setInterval(() => {
    const due = ((performance.now() - startedMs) / 1000) * perSecond;
    while (count < due) each(count++);
  }, 5);
  return () => clearInterval(timer);
}
