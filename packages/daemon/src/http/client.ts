/** @fileoverview HTTP exchanges with a service that may go silent. */

import {setMaxListeners} from 'node:events';
import {Agent, request} from 'node:http';
import type {IncomingHttpHeaders} from 'node:http';

import {readBodyText} from './body.js';

/** Largest body that is read. */
const MAX_BODY_BYTES = 64 * 1024 * 1024;
/** Connections open at the same time. */
const MAX_SOCKETS = 8;

/** One request. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body: string | null;
}

/** A whole reply. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

/** Keeps connections, and replaces them all when an exchange fails. */
export class HttpClient {
  private agent = createAgent();

  /** @param signal - Ends every exchange. */
  constructor(private readonly signal: AbortSignal) {
    // Each exchange under way listens to it.
    setMaxListeners(0, signal);
  }

  /**
   * Makes one exchange.
   *
   * @param address - `ip:port` of the service.
   * @param exchange - The request.
   * @param timeoutMs - Time for the whole exchange.
   * @returns The whole reply.
   * @throws Error when there is none in time; the service may have acted.
   */
  async fetch(
    address: string,
    exchange: HttpRequest,
    timeoutMs: number,
  ): Promise<HttpResponse> {
    try {
      return await this.send(address, exchange, timeoutMs);
    } catch (error) {
      this.replaceConnections();
      throw error;
    }
  }

  /** What else is under way keeps its connection; nothing new uses it. */
  private replaceConnections(): void {
    const old = this.agent;
    this.agent = createAgent();
    old.maxFreeSockets = 0;
    for (const sockets of Object.values(old.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  private send(
    address: string,
    exchange: HttpRequest,
    timeoutMs: number,
  ): Promise<HttpResponse> {
    const {method, path, headers = {}, body} = exchange;
    return new Promise((resolve, reject) => {
      const outgoing = request(
        `http://${address}${path}`,
        {method, headers, agent: this.agent, signal: this.signal},
        incoming => {
          readBodyText(incoming, MAX_BODY_BYTES)
            .then(text =>
              resolve({
                status: incoming.statusCode ?? 0,
                headers: incoming.headers,
                text,
              }),
            )
            .catch(reject)
            .finally(() => clearTimeout(late));
        },
      );
      const late = setTimeout(
        () => outgoing.destroy(new Error('no reply in time')),
        timeoutMs,
      );
      outgoing.on('error', error => {
        clearTimeout(late);
        reject(error);
      });
      outgoing.end(body ?? undefined);
    });
  }
}

function createAgent(): Agent {
  return new Agent({keepAlive: true, maxSockets: MAX_SOCKETS});
}
