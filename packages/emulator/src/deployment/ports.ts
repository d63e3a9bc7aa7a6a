/** @fileoverview Allots free ports in blocks that no other run takes. */

import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';

import {listen} from '../control/logic.js';

/** Below the range from which the system takes ports for connections. */
const FIRST_PORT = 12_000;
const PORTS_PER_BLOCK = 64;
const BLOCKS = 312;
const MAX_TRIES = 1000;

/** Raised when no free ports were found. */
export class NoPortError extends Error {
  override readonly name = 'NoPortError';
}

/**
 * Finds free loopback ports. The first port of their block is held until the
 * abort, so that no other run takes the block in the meantime.
 *
 * @param count - How many, fewer than a block has.
 * @param signal - Gives the block back.
 * @returns The ports, free to be listened on.
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
