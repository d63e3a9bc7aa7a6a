/** @fileoverview Opens the ports on which the process listens. */

import type {Server} from 'node:net';

import {ACCEPT_QUEUE_LENGTH} from '../callers/accept_queue.js';
import type {Endpoint} from '../settings/types.js';

/** The process could not listen on a port. */
export class ListenError extends Error {
  override readonly name = 'ListenError';

  /**
   * @param purpose - What the port is for.
   * @param endpoint - Address and port.
   * @param cause - The system's error.
   */
  constructor(purpose: string, endpoint: Endpoint, cause: unknown) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    super(
      `can't listen for ${purpose} at ${formatEndpoint(endpoint)}: ${detail}`,
    );
  }
}

/**
 * Listens for callers. The kernel accepts no connections beyond a short queue:
 * in a long one they would wait until their callers have given up.
 *
 * @param server - The server.
 * @param endpoint - IP address and port.
 * @throws ListenError if the port can't be opened.
 */
export function listenForCallers(
  server: Server,
  endpoint: Endpoint,
): Promise<void> {
  return listen('callers', server, endpoint, ACCEPT_QUEUE_LENGTH);
}

/**
 * Listens on an endpoint.
 *
 * @param purpose - What the port is for.
 * @param server - The server.
 * @param endpoint - IP address and port.
 * @param backlog - Maximum number of connections that wait to be accepted; the
 *     system's default if undefined.
 * @throws ListenError if the port can't be opened.
 */
export function listen(
  purpose: string,
  server: Server,
  endpoint: Endpoint,
  backlog?: number,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', error =>
      reject(new ListenError(purpose, endpoint, error)),
    );
    server.listen(endpoint.port, endpoint.ip, backlog, resolve);
  });
}

/**
 * Formats an endpoint.
 *
 * @param endpoint - IP address and port.
 * @returns `ip:port`.
 */
export function formatEndpoint(endpoint: Endpoint): string {
  return `${endpoint.ip}:${endpoint.port}`;
}
