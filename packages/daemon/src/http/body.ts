/** @fileoverview Reads the complete body of an HTTP message as text. */

import type {IncomingMessage} from 'node:http';

/**
 * Reads the body of an HTTP request or response.
 *
 * @param incoming - The message to read.
 * @param maxBytes - Maximum size of the body in bytes.
 * @returns The body, decoded as UTF-8.
 * @throws Error if the body is larger than `maxBytes` or is truncated.
 */
export async function readBodyText(
  incoming: IncomingMessage,
  maxBytes: number,
): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of incoming) {
    const buffer = chunk as Buffer;
    size += buffer.length;
    if (size > maxBytes) throw new Error('body too large');
    chunks.push(buffer);
  }
  if (!incoming.complete) throw new Error('body cut short');
  return Buffer.concat(chunks).toString('utf8');
}
