/** @fileoverview HTTP client for a service that may hang. */

import {setMaxListeners} from 'node:events';
import {Agent, request} from 'node:http';
import type {IncomingHttpHeaders} from 'node:http';

import {readBodyText} from './body.js';

/** Maximum size of a response body. */
const MAX_BODY_BYTES = 64 * 1024 * 1024;
/** Maximum number of concurrent connections to the service. */
const MAX_SOCKETS = 8;

/** An HTTP request. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body: string | null;
}

/** A complete HTTP response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

/** Pools connections and replaces the whole pool when a request fails. */
export class HttpClient {
  private agent = createAgent();

  /** @param signal - Aborts all requests. */
  constructor(private readonly signal: AbortSignal) {
    // Every request in flight adds a listener to the signal; lifting the limit
    // avoids Node's warning about a listener leak.
    setMaxListeners(0, signal);
  }

  /**
   * Sends one request, without retries.
   *
   * @param address - `ip:port` of the service.
   * @param httpRequest - The request.
   * @param timeoutMs - Maximum time until the response is complete.
   * @returns The complete response.
   * @throws Error if there is no complete response in time; the service may
   *     have processed the request nevertheless.
   */
  async fetch(
    address: string,
    httpRequest: HttpRequest,
    timeoutMs: number,
  ): Promise<HttpResponse> {
    try {
      return await this.send(address, httpRequest, timeoutMs);
    } catch (error) {
      this.replaceAgent();
      throw error;
    }
  }

  /**
   * Moves new requests to new connections, since the old ones may lead to an
   * unresponsive peer. Requests in flight keep their connections.
   */
  private replaceAgent(): void {
    const oldAgent = this.agent;
    this.agent = createAgent();
    oldAgent.maxFreeSockets = 0;
    for (const sockets of Object.values(oldAgent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  private send(
    address: string,
    httpRequest: HttpRequest,
    timeoutMs: number,
  ): Promise<HttpResponse> {
    const {method, path, headers = {}, body} = httpRequest;
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
            .finally(() => clearTimeout(timer));
        },
      );
      const timer = setTimeout(
        () => outgoing.destroy(new Error('no reply in time')),
        timeoutMs,
      );
      outgoing.on('error', error => {
        clearTimeout(timer);
        reject(error);
      });
      outgoing.end(body ?? undefined);
    });
  }
}

function createAgent(): Agent {
  return new Agent({keepAlive: true, maxSockets: MAX_SOCKETS});
}
