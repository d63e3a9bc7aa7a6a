/** @fileoverview Allots free ports. */

import {createServer} from 'node:net';

import {listen} from '../control/logic.js';

/**
 * Finds free loopback ports; all are held until each is found, so they differ.
 *
 * @param count - How many.
 * @returns The ports, free again.
 */
export async function freePorts(count: number): Promise<number[]> {
  const holding = new AbortController();
  const tasks = Array.from({length: count}, () =>
    listen(createServer(), 0, holding.signal),
  );
  const ports = await Promise.all(tasks);
  holding.abort();
  return ports;
}
