/** @fileoverview Small tools that every emulator process shares. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Server as NetServer} from 'node:net';
import {createHash} from 'node:crypto';
import {setTimeout as sleepFor} from 'node:timers/promises';

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** All load goes to this address. */
export const LOOPBACK = '127.0.0.1';

/** A source of numbers in [0, 1). */
export type Random = () => number;

/** Raised when a body is longer than its reader accepts. */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError';
}

/**
 * Makes a seeded source of randomness.
 *
 * @param seed - The same seed gives the same numbers.
 * @returns The source.
 */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/**
 * Reads a whole body as text.
 *
 * @param stream - Where the body comes from.
 * @param maxBytes - Longest body accepted.
 * @returns The text.
 * @throws {BodyTooLargeError} When the body is longer than `maxBytes`.
 */
export async function readText(
  stream: IncomingMessage,
  maxBytes: number,
): Promise<string> {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of stream as AsyncIterable<Buffer>) {
    size += part.length;
    if (size > maxBytes) throw new BodyTooLargeError(`over ${maxBytes} bytes`);
    parts.push(part);
  }
  return Buffer.concat(parts).toString('utf8');
}

/**
 * Starts listening on loopback and closes the server on abort.
 *
 * @param server - An HTTP or TCP server.
 * @param port - The port, or 0 for any free one.
 * @param signal - Closes the server and its connections.
 * @returns The real port.
 */
export async function listen(
  server: Server | NetServer,
  port: number,
  signal: AbortSignal,
): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, LOOPBACK, resolve);
  });
  signal.addEventListener('abort', () => {
    server.close();
    if ('closeAllConnections' in server) server.closeAllConnections();
  });
  const address = server.address();
  if (address === null || typeof address === 'string') return port;
  return address.port;
}

/**
 * Answers with a JSON body.
 *
 * @param response - The answer to fill.
 * @param status - HTTP status code.
 * @param body - Any value that JSON can carry.
 */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/**
 * Computes the checksum with which callers verify an answer.
 *
 * @param text - A body.
 * @returns A short hexadecimal digest.
 */
export function checksum(text: string): string {
  return createHash('sha1').update(text).digest('hex').slice(0, 16);
}

/**
 * Waits; an abort ends the wait early without an error.
 *
 * @param ms - Time in milliseconds.
 * @param signal - Ends the wait.
 */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  try {
    await sleepFor(ms, undefined, {signal});
  } catch {
    // Aborted: the caller looks at the signal.
  }
}
