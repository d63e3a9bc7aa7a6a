/** @fileoverview Helpers that all emulator processes share. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Server as NetServer} from 'node:net';
import {createHash} from 'node:crypto';
import {setTimeout as sleepFor} from 'node:timers/promises';

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Loopback address, on which the processes of the emulator listen. */
export const LOOPBACK = '127.0.0.1';
const NS_PER_MS = 1e6;

/** Returns a random number in [0, 1). */
export type Random = () => number;

/** Thrown if a body is longer than its reader accepts. */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError';
}

/**
 * Creates a seeded random number generator.
 *
 * @param seed - The same seed gives the same numbers.
 * @returns The generator.
 */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/**
 * Reads the monotonic clock that all processes of this machine share.
 *
 * @returns Milliseconds.
 */
export function monotonicNow(): number {
  return Number(process.hrtime.bigint()) / NS_PER_MS;
}

/**
 * Reads a whole body as text.
 *
 * @param stream - The request or response with the body.
 * @param maxBytes - Maximum size of the body, in bytes.
 * @returns The text.
 * @throws {BodyTooLargeError} If the body is longer than `maxBytes`.
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
 * Starts a server on the loopback address and closes it on abort.
 *
 * @param server - An HTTP or TCP server.
 * @param port - The port, or 0 for any free port.
 * @param signal - Closes the server and its connections.
 * @returns The port it listens on.
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
 * Sends a response with a JSON body.
 *
 * @param response - The response to write.
 * @param status - HTTP status code.
 * @param body - Any value that can be written as JSON.
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
 * Computes the checksum with which callers verify the body of a response.
 *
 * @param text - A body.
 * @returns The first 16 hexadecimal digits of the SHA-1 digest.
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
    // The sleep was aborted; the caller checks the signal.
  }
}
