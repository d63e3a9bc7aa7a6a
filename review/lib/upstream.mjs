/**
 * @fileoverview Stand-in for an upstream (a backend server) of a service whose
 * keys aren't divided: a number of slots, a short queue, heartbeats to the
 * daemon on its machine. What a sound one wouldn't do is done only by the hooks
 * that a case sets.
 */

import {randomBytes} from 'node:crypto';
import {createServer, request as httpRequest} from 'node:http';

const QUEUE = 4;
const IDLE_CLOSE_MS = 10_000;
const ACKNOWLEDGE_MS = 1000;

/** An upstream; `start` makes it listen, `announce` begins its heartbeats. */
export class Upstream {
  running = 0;
  waiting = [];
  sequence = 0;
  state = 'ready';
  coldUntilMs = 0;
  id = `i-${randomBytes(4).toString('hex')}`;
  born = Date.now();
  /** Hook: whether to shed a request. */
  sheds = () => false;
  /** Hook: called before a request is looked at, with its socket. */
  onArrival = () => undefined;
  /** Hook: writes the answer itself and returns true, or returns false. */
  answers = () => false;

  /**
   * @param machine - Its machine: addresses, zone, service, slots.
   * @param options - Work time, heartbeat interval, and the record.
   */
  constructor(machine, {workMs, heartbeatMs, record}) {
    Object.assign(this, {machine, workMs, heartbeatMs, record});
  }

  async start() {
    this.server = createServer((request, response) => {
      void this.serve(request, response);
    });
    this.server.keepAliveTimeout = IDLE_CLOSE_MS;
    this.server.on('clientError', (error, socket) => {
      const {code, rawPacket} = error;
      const bytes = rawPacket?.toString('latin1').slice(0, 200);
      this.record('not a request', {machine: this.machine.name, code, bytes});
      socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n');
    });
    const {ip, port} = this.machine.application;
    await new Promise(resolve => this.server.listen(port, ip, resolve));
  }

  stop() {
    clearInterval(this.beats);
    this.server.close();
    this.server.closeAllConnections();
  }

  announce() {
    void this.beat();
    this.beats = setInterval(() => void this.beat(), this.heartbeatMs);
  }

  stopBeats() {
    clearInterval(this.beats);
  }

  /** The next heartbeat; its text may be sent later. */
  nextBeat() {
    this.sequence += 1;
    const coldMs = Math.max(0, this.coldUntilMs - performance.now());
    return JSON.stringify({
      service: this.machine.service,
      address: `${this.machine.application.ip}:${this.machine.application.port}`,
      zone: this.machine.zone,
      version: 'v1',
      slots: this.machine.slots,
      state: this.state,
      cold_remaining_s: coldMs / 1000,
      sequence: this.sequence,
      born: this.born,
    });
  }

  beat(text = this.nextBeat()) {
    return this.call('PUT', text);
  }

  leave() {
    return this.call('DELETE', '');
  }

  /** Calls the daemon of its machine; returns the status, 0 without one. */
  call(method, text) {
    const {ip, port} = this.machine.control;
    return new Promise(resolve => {
      const outgoing = httpRequest(
        {
          host: ip,
          port,
          method,
          path: `/jackdawfall/instances/${this.id}`,
          headers: {'content-type': 'application/json'},
          agent: false,
          timeout: ACKNOWLEDGE_MS,
        },
        incoming => {
          incoming.resume();
          incoming.on('end', () => resolve(incoming.statusCode));
        },
      );
      outgoing.on('timeout', () => outgoing.destroy());
      outgoing.on('error', () => resolve(0));
      outgoing.end(text);
    });
  }

  async serve(request, response) {
    const chunks = [];
    const attempt = request.headers['attempt-id'] ?? null;
    this.onArrival(request);
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    if (request.url === '/health') {
      response.writeHead(this.state === 'ready' ? 200 : 503, {
        'instance-id': this.id,
        'server-load': this.load(),
        'cold-ms': String(
          Math.max(0, Math.round(this.coldUntilMs - performance.now())),
        ),
      });
      response.end();
      return;
    }
    const expected = request.headers['expected-instance'];
    const {name} = this.machine;
    const {method, url} = request;
    const body = Buffer.concat(chunks).toString();
    const instance = this.id;
    const arrival = {attempt, machine: name, method, url, instance, body};
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {
        'instance-id': this.id,
        'attempt-id': attempt,
      });
      response.end();
      return;
    }
    this.record('arrived', arrival);
    const full =
      this.running >= this.machine.slots && this.waiting.length >= QUEUE;
    if (full || this.sheds(request)) {
      this.record('shed', arrival);
      response.writeHead(503, {'not-executed': '1', 'attempt-id': attempt});
      response.end();
      return;
    }
    if (this.running >= this.machine.slots) {
      await new Promise(resolve => this.waiting.push(resolve));
    }
    if (request.socket.destroyed) {
      this.waiting.shift()?.();
      return;
    }
    await this.run(request, response, arrival);
  }

  async run(request, response, arrival) {
    this.running += 1;
    this.record('runs', arrival);
    const gone = new AbortController();
    response.once('close', () => gone.abort());
    const workMs =
      typeof this.workMs === 'function' ? this.workMs(request) : this.workMs;
    const complete = await work(workMs, gone.signal);
    this.running -= 1;
    this.waiting.shift()?.();
    this.record(complete ? 'done' : 'dropped', arrival);
    if (!complete) return;
    if (this.answers(request, response)) return;
    const body = `done ${arrival.attempt}\n`;
    response.writeHead(200, {
      'attempt-id': arrival.attempt,
      'server-stamp': `${this.id}.${arrival.attempt}`,
      'server-load': this.load(),
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  }

  load() {
    return [this.running, this.waiting.length, this.machine.slots].join(',');
  }
}

/** Returns false if the connection closed before the work was done. */
function work(ms, signal) {
  return new Promise(resolve => {
    const timer = setTimeout(() => resolve(true), ms);
    signal.addEventListener('abort', () => {
      clearTimeout(timer);
      resolve(false);
    });
  });
}
