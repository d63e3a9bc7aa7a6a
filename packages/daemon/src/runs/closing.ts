/**
 * @fileoverview Answers that end with their connection. A reset that arrives
 * together with the last bytes is reported as an ordinary end of the stream;
 * only a further write shows the difference.
 */

import type {IncomingMessage} from 'node:http';

/** Ignored by a server that has closed its side in good order. */
const HARMLESS_BYTES = '\r\n';

/**
 * Tells whether only the end of the connection marks the end of an answer.
 *
 * @param incoming - The answer's head.
 * @returns True if it has neither a length nor chunks.
 */
export function endsAtConnectionClose(incoming: IncomingMessage): boolean {
  const {headers, statusCode = 0} = incoming;
  if (statusCode === 204 || statusCode === 304) return false;
  if (headers['content-length'] !== undefined) return false;
  return headers['transfer-encoding'] === undefined;
}

/**
 * Watches for the end of an answer's connection; to be called with its head.
 *
 * @param incoming - The answer.
 * @returns Resolves once the connection has ended: true if it was closed in
 *     good order, false if it was reset.
 */
export function waitForCleanClose(incoming: IncomingMessage): Promise<boolean> {
  const {socket} = incoming;
  return new Promise(resolve => {
    socket.once('error', () => resolve(false));
    // Before the listeners that close this side.
    socket.prependOnceListener('end', () => {
      socket.write(HARMLESS_BYTES, error => resolve(!error));
    });
  });
}
