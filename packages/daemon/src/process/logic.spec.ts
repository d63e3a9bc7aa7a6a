/** @fileoverview Tests of requests to stop at every moment of a process. */

import {mergeTuning} from '@jackdawfall/core';
import type {StoreReply} from '@jackdawfall/core';
import test from 'ava';

import type {Adapters} from '../adapters/types.js';
import {CALLER_PROTOCOL} from '../callers/protocol.js';
import {SERVER_PROTOCOL} from '../runs/protocol.js';
import type {Settings} from '../settings/types.js';
import {runProcess} from './logic.js';

const ENDPOINT = {ip: '127.0.0.1', port: 0};
/** Time for a process without requests and without a store to stop. */
const STOPPED_WITHIN_MS = 1000;
/** Time for a process to start. */
const START_MS = 100;
const SETTINGS = {
  workspace: 'w',
  host: 'a',
  zone: 'z',
  callers: ENDPOINT,
  links: ENDPOINT,
  operators: ENDPOINT,
  linkAddress: null,
  platform: {addresses: []},
  tuning: mergeTuning({logs: {level: 'error'}}),
} as unknown as Settings;

type Moment = 'ports are opened' | 'adapters start' | 'it has started';

const MOMENTS: readonly Moment[] = [
  'ports are opened',
  'adapters start',
  'it has started',
];

// Guards against a request to stop during the start that is never heard, so
// that only SIGKILL ends the process.
for (const moment of MOMENTS) {
  test(`a stop is requested while ${moment}: the process stops`, async t => {
    const ended = runAndStop(moment).then(() => 'ended');
    const late = new Promise(resolve =>
      setTimeout(resolve, STOPPED_WITHIN_MS, 'still running'),
    );
    t.is(await Promise.race([ended, late]), 'ended');
  });
}

/** Runs a process and requests its stop at a moment of it. */
async function runAndStop(moment: Moment): Promise<void> {
  const stop = new AbortController();
  const running = runProcess(SETTINGS, stop.signal, () => ({
    store: UNREACHABLE_STORE,
    callers: CALLER_PROTOCOL,
    servers: SERVER_PROTOCOL,
    async start() {
      if (moment === 'adapters start') stop.abort();
      await new Promise(setImmediate);
    },
  }));
  if (moment === 'ports are opened') stop.abort();
  await new Promise(resolve => setTimeout(resolve, START_MS));
  stop.abort();
  await running;
}

const UNREACHABLE_STORE: Adapters['store'] = {
  call: () =>
    Promise.resolve<StoreReply>({kind: 'refused', detail: 'unreachable'}),
};
