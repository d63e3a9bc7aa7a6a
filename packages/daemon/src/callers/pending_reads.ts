/** @fileoverview Waiting for the event loop to read what has arrived. */

import {setImmediate} from 'node:timers/promises';

/**
 * Waits until the event loop has read what has arrived by now, the end of a
 * connection included. It takes two iterations of the event loop, since the end
 * of a connection is read one iteration after its last bytes.
 *
 * @returns A promise that resolves then.
 */
export async function waitForPendingReads(): Promise<void> {
  await setImmediate();
  await setImmediate();
}
