/** @fileoverview Allots free ports. */

import {randomInt} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {createServer} from 'node:net';

import {listen} from '../control/logic.js';

/** Below the range from which the system takes ports for connections. */
const FIRST_PORT = 12_000;
const PORTS = 20_000;
const MAX_TRIES = 1000;

/** Raised when no free port was found. */
export class NoPortError extends Error {
  override readonly name = 'NoPortError';
}

/**
 * Finds free loopback ports; all are held until each is found, so they differ.
 *
 * @param count - How many.
 * @returns The ports, free again.
 * @throws {NoPortError} When too few are free.
 */
export async function freePorts(count: number): Promise<number[]> {
  const holding = new AbortController();
  setMaxListeners(count, holding.signal);
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries++) {
    if (tries > MAX_TRIES) throw new NoPortError(`${count} ports wanted`);
    const port = FIRST_PORT + randomInt(PORTS);
    if (await canListen(port, holding.signal)) ports.push(port);
  }
  holding.abort();
  return ports;
}

async function canListen(port: number, signal: AbortSignal): Promise<boolean> {
  try {
    await listen(createServer(), port, signal);
    return true;
  } catch {
    return false;
  }
}
