/**
 * @fileoverview Stand-in for an upstream of the users' pages: runs requests,
 * holds granted keys and sends heartbeats to the daemon beside it.
 */

import {createServer, request} from 'node:http';

const HEARTBEAT_TIMEOUT_MS = 1000;

/** A sound upstream; `answer` decides what it does with a request. */
export class UpstreamStandIn {
  /**
   * @param {object} options - `id`, `service`, `zone`, `ip`, `port`, `control`,
   *     `heartbeatMs`, `slots`, `sharded`, `onEvent` and `answer`.
   */
  constructor(options) {
    this.options = options;
    this.born = Date.now();
    this.sequence = 0;
    this.state = 'ready';
    this.holds = [];
    this.running = 0;
    /** Monotonic time until which it is cold, in milliseconds. */
    this.coldUntilMs = 0;
    this.server = createServer({keepAliveTimeout: 10_000});
    // A request whose connection ends before its body is in has no answer.
    const handle = (incoming, outgoing) => {
      this.handle(incoming, outgoing).catch(() => outgoing.destroy());
    };
    this.server.on('request', handle);
    this.server.on('checkContinue', (incoming, outgoing) => {
      outgoing.writeContinue();
      handle(incoming, outgoing);
    });
  }

  get address() {
    return `${this.options.ip}:${this.options.port}`;
  }

  get coldRemainingS() {
    return Math.max(0, this.coldUntilMs - performance.now()) / 1000;
  }

  listen() {
    const {ip, port, heartbeatMs} = this.options;
    this.timer = setInterval(() => void this.sendHeartbeat(), heartbeatMs);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, resolve);
    });
  }

  /** Ends as in a crash and starts again, cold, under another id. */
  async crash(downMs, coldMs) {
    this.close();
    this.options.id = `${this.options.id}x`;
    await new Promise(resolve => setTimeout(resolve, downMs));
    this.born = Date.now();
    this.sequence = 0;
    this.holds = [];
    this.coldUntilMs = performance.now() + coldMs;
    await this.listen();
    await this.sendHeartbeat();
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Sends a heartbeat; resolves to the status of the answer, or to null. */
  sendHeartbeat() {
    const {id, service, zone, slots} = this.options;
    this.sequence += 1;
    return this.call('PUT', `/jackdawfall/instances/${id}`, {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots,
      state: this.state,
      cold_remaining_s: this.coldRemainingS,
      sequence: this.sequence,
      born: this.born,
    });
  }

  call(method, path, body) {
    const [host, port] = this.options.control.split(':');
    return new Promise(resolve => {
      const outgoing = request(
        {method, path, host, port, agent: false, timeout: HEARTBEAT_TIMEOUT_MS},
        incoming => {
          incoming.resume();
          resolve(incoming.statusCode);
        },
      );
      outgoing.on('timeout', () => outgoing.destroy());
      outgoing.on('error', () => resolve(null));
      outgoing.setHeader('content-type', 'application/json');
      outgoing.end(JSON.stringify(body));
    });
  }

  async handle(incoming, outgoing) {
    const path = incoming.url ?? '';
    if (path === '/jackdawfall/grant' || path === '/jackdawfall/release') {
      this.handleKeys(path, JSON.parse(await readText(incoming)), outgoing);
      return;
    }
    if (path === '/health') {
      this.answerHealth(outgoing);
      return;
    }
    const attempt = incoming.headers['attempt-id'];
    const expected = incoming.headers['expected-instance'];
    const {id, answer, onEvent} = this.options;
    const common = {'attempt-id': attempt};
    if (attempt === undefined) {
      outgoing.writeHead(400, {'not-executed': '1'}).end();
    } else if (expected !== undefined && expected !== id) {
      const headers = {...common, 'instance-id': id, 'not-executed': '1'};
      outgoing.writeHead(421, headers).end();
    } else if (!this.holdsKeyOf(incoming)) {
      outgoing.writeHead(421, {...common, 'not-executed': '1'}).end();
    } else {
      onEvent({event: 'run', attempt, upstream: id, path});
      this.running += 1;
      outgoing.once('close', () => (this.running -= 1));
      const stamp = `${id}.${attempt}`;
      const headers = {...common, 'server-stamp': stamp};
      await answer({incoming, outgoing, headers, upstream: this});
    }
  }

  answerHealth(outgoing) {
    const {id, slots} = this.options;
    const status = this.state === 'ready' ? 200 : 503;
    outgoing.writeHead(status, {
      'instance-id': id,
      'server-load': `${this.running},0,${slots}`,
      'cold-ms': String(Math.round(this.coldRemainingS * 1000)),
    });
    outgoing.end();
  }

  holdsKeyOf(incoming) {
    if (!this.options.sharded) return true;
    const key = Number(incoming.headers['shard-key']);
    const now = performance.now();
    return this.holds.some(
      each => each.from <= key && key <= each.target && now < each.until,
    );
  }

  handleKeys(path, {from, target, fence, hold_s}, outgoing) {
    const overlaps = this.holds.filter(
      each => each.from <= target && from <= each.target,
    );
    if (path.endsWith('release')) {
      this.holds = this.holds.filter(each => !overlaps.includes(each));
      outgoing.writeHead(200, {handover: 'ab12'}).end();
      return;
    }
    if (overlaps.some(each => each.fence > fence)) {
      outgoing.writeHead(409).end();
      return;
    }
    this.holds = this.holds.filter(each => !overlaps.includes(each));
    const until = performance.now() + hold_s * 1000;
    this.holds.push({from, target, fence, until});
    outgoing.writeHead(200).end();
  }
}

/** Reads a whole body. */
export async function readText(incoming) {
  const chunks = [];
  for await (const chunk of incoming) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}
