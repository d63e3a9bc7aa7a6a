/** @fileoverview Reading the whole text of a message. */

import type {IncomingMessage} from 'node:http';

/**
 * Reads the body of a message.
 *
 * @param incoming - The message.
 * @param maxBytes - Most bytes that are read.
 * @returns The body as text.
 * @throws Error if it is larger, or ends before it is whole.
 */
export async function readBodyText(
  incoming: IncomingMessage,
  maxBytes: number,
): Promise<string> {
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of incoming) {
    const buffer = part as Buffer;
    bytes += buffer.length;
    if (bytes > maxBytes) throw new Error('body too large');
    parts.push(buffer);
  }
  if (!incoming.complete) throw new Error('body cut short');
  return Buffer.concat(parts).toString('utf8');
}
