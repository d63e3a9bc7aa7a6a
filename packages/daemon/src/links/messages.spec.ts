/** @fileoverview Tests of which parts of the daemon handle a message. */

import test from 'ava';

import type {AttemptId, Message} from '@jackdawfall/core';

import {receiversOf} from './messages.js';
import type {MessageReceiver} from './messages.js';

const attempt = 'h1#1/1' as AttemptId;
const bytes = new Uint8Array(1);

const CASES: ReadonlyArray<{
  message: Message;
  receivers: readonly MessageReceiver[];
}> = [
  {
    message: {kind: 'head', attempt, status: 200, headers: []},
    receivers: ['callers', 'reducer'],
  },
  {message: {kind: 'data', attempt, bytes}, receivers: ['callers']},
  // The attempt is complete for the reducer before its response is delivered.
  {
    message: {kind: 'end', attempt, outstanding: 0, workMs: 0, expectedMs: 0},
    receivers: ['reducer', 'callers'],
  },
  {message: {kind: 'cancel', attempt}, receivers: ['reducer']},
];

for (const {message, receivers} of CASES) {
  test(`${message.kind}: ${receivers.join(', ')}`, t => {
    t.deepEqual(receiversOf(message), receivers);
  });
}
