/** @fileoverview Reserves free ports, also against other runs of this tool. */

import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';

import {listen} from '../control/logic.js';

/** The blocks are below the system's range for outgoing connections. */
const FIRST_PORT = 12_000;
const PORTS_PER_BLOCK = 64;
const BLOCKS = 312;
const MAX_TRIES = 1000;

/** Thrown when no free ports were found. */
export class NoPortError extends Error {
  override readonly name = 'NoPortError';
}

/**
 * Reserves free loopback ports in one block. This process listens on the first
 * port of the block until the abort, so no other run reserves the block.
 *
 * @param count - Number of ports, less than the size of a block.
 * @param signal - Releases the block when aborted.
 * @returns The ports, on which nothing listens.
 * @throws {NoPortError} When no block is free.
 */
export async function reservePorts(
  count: number,
  signal: AbortSignal,
): Promise<number[]> {
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const first = FIRST_PORT + randomInt(BLOCKS) * PORTS_PER_BLOCK;
    const ports = Array.from({length: count}, (_, i) => first + 1 + i);
    const holding = new AbortController();
    if (!(await canListen(first, holding.signal))) continue;
    if (await areFree(ports)) {
      signal.addEventListener('abort', () => holding.abort());
      return ports;
    }
    holding.abort();
  }
  throw new NoPortError(`no block with ${count} free ports`);
}

async function areFree(ports: readonly number[]): Promise<boolean> {
  for (const port of ports) {
    const trial = new AbortController();
    const free = await canListen(port, trial.signal);
    trial.abort();
    if (!free) return false;
  }
  return true;
}

async function canListen(port: number, signal: AbortSignal): Promise<boolean> {
  try {
    await listen(createServer().unref(), port, signal);
    return true;
  } catch {
    return false;
  }
}
