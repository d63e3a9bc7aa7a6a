/**
 * @fileoverview Limits for bytes from a backend server that belong to no
 * response body. A server in trouble may send such bytes without end.
 */

import type {ClientRequest, IncomingMessage} from 'node:http';

import type {Run} from './types.js';

/** Maximum number of informational (1xx) responses to one request. */
const MAX_INFORMATIONAL = 16;
/** Maximum number of bytes that are read of a body that nobody needs. */
const MAX_DISCARDED_BYTES = 64 * 1024;
/** Maximum time for reading such a body. */
const MAX_DISCARD_MS = 500;
/** Maximum number of bytes besides the body, however short it is. */
const MAX_OVERHEAD_BYTES = 64 * 1024;
/** Maximum number of bytes besides the body for each of its bytes. */
const MAX_OVERHEAD_RATIO = 8;

/**
 * Fails a request that gets too many informational responses.
 *
 * @param outgoing - The request.
 */
export function limitInformational(outgoing: ClientRequest): void {
  let count = 0;
  outgoing.on('information', () => {
    count += 1;
    if (count > MAX_INFORMATIONAL) {
      outgoing.destroy(new Error('too many informational responses'));
    }
  });
}

/**
 * Reads the rest of a body that nobody needs, so that its connection can be
 * used again, or closes the connection if the body is long or slow.
 *
 * @param outgoing - The request.
 * @param incoming - Its response.
 */
export function discardBody(
  outgoing: ClientRequest,
  incoming: IncomingMessage,
): void {
  let size = 0;
  const timer = setTimeout(() => outgoing.destroy(), MAX_DISCARD_MS);
  incoming.on('data', (bytes: Buffer) => {
    size += bytes.length;
    if (size > MAX_DISCARDED_BYTES) outgoing.destroy();
  });
  incoming.once('close', () => clearTimeout(timer));
}

/**
 * Fails a request whose response, of which only the head matters, is too long,
 * in its head, its body or anything else.
 *
 * @param outgoing - The request.
 */
export function limitResponse(outgoing: ClientRequest): void {
  let size = 0;
  const count = (bytes: Buffer): void => {
    size += bytes.length;
    if (size <= MAX_DISCARDED_BYTES) return;
    outgoing.destroy(new Error('the response is too long'));
  };
  outgoing.once('socket', socket => {
    socket.on('data', count);
    outgoing.once('close', () => socket.off('data', count));
  });
}

/**
 * Returns whether the server sent far more bytes than the body of its response,
 * for example a chunk header that doesn't end.
 *
 * @param run - The run.
 * @returns Whether no valid response can be expected.
 */
export function hasExcessBytes(run: Run): boolean {
  const {outgoing, bytesReadBefore, bodyBytes} = run;
  const bytesRead = outgoing.socket?.bytesRead ?? 0;
  const overhead = bytesRead - bytesReadBefore - bodyBytes;
  return overhead > MAX_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * bodyBytes;
}
