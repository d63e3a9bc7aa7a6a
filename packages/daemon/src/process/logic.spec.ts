/** @fileoverview Tests of requests to stop at every moment of a process. */

import {EventEmitter} from 'node:events';

import {mergeTuning} from '@jackdawfall/core';
import type {StoreReply} from '@jackdawfall/core';
import test from 'ava';

import type {Adapters} from '../adapters/types.js';
import {CALLER_PROTOCOL} from '../callers/protocol.js';
import {SERVER_PROTOCOL} from '../runs/protocol.js';
import type {Settings} from '../settings/types.js';
import {runProcess} from './logic.js';
import {ProcessSignals} from './signals.js';

const ENDPOINT = {ip: '127.0.0.1', port: 0};
/** Time for a process without requests and without a store to stop. */
const STOPPED_WITHIN_MS = 1000;
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

type Moment =
  'ports are opened' | 'adapters start' | 'it has started' | 'it stops';

interface Case {
  readonly moment: Moment;
  readonly signals: readonly string[];
}

const CASES: readonly Case[] = [
  {moment: 'ports are opened', signals: ['SIGTERM']},
  {moment: 'ports are opened', signals: ['SIGHUP', 'SIGTERM', 'SIGTERM']},
  {moment: 'adapters start', signals: ['SIGTERM']},
  {moment: 'adapters start', signals: ['SIGINT', 'SIGHUP', 'SIGTERM']},
  {moment: 'it has started', signals: ['SIGTERM']},
  {moment: 'it has started', signals: ['SIGHUP', 'SIGINT']},
  {moment: 'it stops', signals: ['SIGTERM']},
  {moment: 'it stops', signals: ['SIGINT', 'SIGHUP', 'SIGTERM']},
];

// Guards against a request to stop during the start that is never heard, so
// that only SIGKILL ends the process.
for (const {moment, signals} of CASES) {
  test(`${signals.join(', ')} while ${moment}: the process stops`, async t => {
    const source = new EventEmitter();
    const send = () => signals.forEach(name => source.emit(name));
    const ended = startAndSend(source, moment, send).then(() => 'ended');
    const late = new Promise(resolve =>
      setTimeout(resolve, STOPPED_WITHIN_MS, 'still running'),
    );
    t.is(await Promise.race([ended, late]), 'ended');
  });
}

/** Runs a process and calls `send` at a moment of it. */
async function startAndSend(
  source: EventEmitter,
  moment: Moment,
  send: () => void,
): Promise<void> {
  const running = runProcess({
    settings: SETTINGS,
    signals: new ProcessSignals(source),
    haveSettingsChanged: () => Promise.resolve(false),
    createAdapters: () => ({
      store: UNREACHABLE_STORE,
      callers: CALLER_PROTOCOL,
      servers: SERVER_PROTOCOL,
      async start() {
        if (moment === 'adapters start') send();
        await new Promise(setImmediate);
      },
    }),
  });
  if (moment === 'ports are opened') send();
  await new Promise(resolve => setTimeout(resolve, 100));
  switch (moment) {
    case 'ports are opened':
    case 'adapters start':
      break;
    case 'it has started':
      send();
      break;
    case 'it stops':
      source.emit('SIGTERM');
      send();
      break;
  }
  await running;
}

const UNREACHABLE_STORE: Adapters['store'] = {
  call: () =>
    Promise.resolve<StoreReply>({kind: 'refused', detail: 'unreachable'}),
};
