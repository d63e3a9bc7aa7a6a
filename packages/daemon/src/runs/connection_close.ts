/**
 * @fileoverview Detects truncation of responses whose end is marked only by
 * the end of the connection. Node reports a reset that arrives together with
 * the last bytes as a normal end of the stream; a write to the socket fails
 * after a reset and so shows the difference.
 */

import type {IncomingMessage} from 'node:http';

/** Written as a probe; a server that has closed the connection ignores it. */
const PROBE_BYTES = '\r\n';

/**
 * Returns whether only the end of the connection marks the end of a response.
 *
 * @param incoming - The response.
 * @returns True if it has a body without a length or chunked encoding.
 */
export function endsAtConnectionClose(incoming: IncomingMessage): boolean {
  const {headers, statusCode = 0} = incoming;
  if (statusCode === 204 || statusCode === 304) return false;
  if (headers['content-length'] !== undefined) return false;
  const encodings = headers['transfer-encoding'] ?? '';
  return !/(^|,)\s*chunked\s*$/i.test(encodings);
}

/**
 * Waits for the end of a response's connection. Must be called when the head
 * of the response arrives, before the connection can end.
 *
 * @param incoming - The response.
 * @returns Resolves when the connection has ended: to true if it was closed
 *     normally, to false if it was reset.
 */
export function waitForCleanClose(incoming: IncomingMessage): Promise<boolean> {
  const {socket} = incoming;
  return new Promise(resolve => {
    socket.once('error', () => resolve(false));
    // Runs before Node's own listeners, which close this side of the socket.
    socket.prependOnceListener('end', () => {
      socket.write(PROBE_BYTES, error => resolve(!error));
    });
  });
}
