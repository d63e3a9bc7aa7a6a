/** @fileoverview Announces a backend server to the daemon on the same host. */

import type {ServerState} from './state.js';
import type {Announcement} from '@jackdawfall/core';

import {post} from '../control/client.js';
import {LOOPBACK, sleep} from '../control/logic.js';

const ANNOUNCE_INTERVAL_MS = 500;
const ANNOUNCE_TIMEOUT_MS = 400;

/**
 * Announces the server periodically until it stops. Failures are ignored.
 *
 * @param state - The server.
 * @param port - Port on which it accepts requests.
 * @param signal - Stops the announcements.
 */
export async function announcePeriodically(
  state: ServerState,
  port: number,
  signal: AbortSignal,
): Promise<void> {
  const {announceTo} = state.options;
  if (announceTo === '') return;
  while (!signal.aborted) {
    if (state.announces) await announce(state, port);
    await sleep(ANNOUNCE_INTERVAL_MS, signal);
  }
}

async function announce(state: ServerState, port: number): Promise<void> {
  const {options} = state;
  const announcement = {
    instance: state.instance,
    service: options.service,
    address: `${LOOPBACK}:${port}`,
    slots: options.slots,
    connections: options.connections,
    checksGrants: options.checksGrants,
    leaving: state.leavingSinceMs !== null,
  } as Announcement;
  try {
    const url = `http://${options.announceTo}/announce`;
    await post(url, announcement, ANNOUNCE_TIMEOUT_MS);
  } catch {
    // The daemon is not reachable; the next announcement tries again.
  }
}
