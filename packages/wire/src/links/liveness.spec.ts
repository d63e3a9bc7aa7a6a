/** @fileoverview Tests of the liveness of a link, interval by interval. */

import test from 'ava';
import type {AttemptId, Message, Version} from '@jackdawfall/core';
import {Liveness} from './liveness.js';
import type {LivenessAction} from './liveness.js';

type Step =
  | {readonly sent: Message}
  | {readonly received: Message}
  | 'heard'
  | 'wrote'
  | LivenessAction;

const attempt = '1' as AttemptId;
const PULL: Message = {kind: 'pull', after: 0 as Version};
const CREDIT: Message = {kind: 'credit', attempt, bytes: 1};
const BODY: Message = {
  kind: 'body',
  attempt,
  bytes: new Uint8Array(),
  ends: true,
};
const END: Message = {
  kind: 'end',
  attempt,
  outstanding: 0,
  workMs: 0,
  expectedMs: 0,
};
const CANCEL: Message = {kind: 'cancel', attempt};
const NEVER: Message = {kind: 'fate', attempt, state: 'never'};
const RUNNING: Message = {kind: 'fate', attempt, state: 'running'};
const INQUIRE: Message = {kind: 'inquire', attempt, to: 'b#1' as never};

const CASES: readonly {name: string; steps: readonly Step[]}[] = [
  {
    name: 'an idle link has no heartbeats and is closed',
    steps: ['nothing', 'nothing', 'nothing', 'nothing', 'nothing', 'idle'],
  },
  {
    name: 'the link is lost when a required frame does not arrive',
    steps: [{sent: PULL}, 'nothing', 'nothing', 'nothing', 'silent'],
  },
  {
    name: 'any frame ends the wait for a required one',
    steps: [{sent: PULL}, 'nothing', 'nothing', 'heard', 'nothing', 'nothing'],
  },
  {
    name: 'a message that requires a frame gets a ping if nothing else is sent',
    steps: ['heard', {received: PULL}, 'ping', 'wrote', 'nothing'],
  },
  {
    name: 'no ping follows when another frame was sent',
    steps: ['heard', {received: BODY}, 'wrote', 'nothing'],
  },
  {
    name: 'neutral messages require no frame',
    steps: [{sent: CREDIT}, 'heard', {received: CREDIT}, 'nothing', 'nothing'],
  },
  {
    name: 'a silent link with an open attempt is probed, then lost',
    steps: [{sent: INQUIRE}, 'nothing', 'probe', 'probe', 'silent'],
  },
  {
    name: 'the serving side of an open attempt probes the link as well',
    steps: [
      'heard',
      {received: INQUIRE},
      'wrote',
      'nothing',
      'probe',
      'heard',
      'nothing',
      'probe',
    ],
  },
  {
    name: 'a link with traffic is not probed',
    steps: [{sent: INQUIRE}, 'nothing', 'heard', 'nothing', 'heard', 'nothing'],
  },
  ...[END, CANCEL, NEVER].map(message => ({
    name: `${message.kind} ends an attempt`,
    steps: [
      {sent: INQUIRE},
      'heard',
      {received: message},
      'nothing',
      'nothing',
    ] as const,
  })),
  {
    name: 'a fate of running does not end an attempt',
    steps: [{sent: INQUIRE}, 'heard', {received: RUNNING}, 'nothing', 'probe'],
  },
];

for (const {name, steps} of CASES) {
  test(name, t => {
    const liveness = new Liveness({maxSilentIntervals: 3, maxIdleIntervals: 5});
    for (const [at, step] of steps.entries()) {
      if (typeof step === 'object') {
        if ('sent' in step) liveness.messageSent(step.sent);
        else liveness.messageReceived(step.received);
      } else if (step === 'heard') liveness.frameReceived();
      else if (step === 'wrote') liveness.frameWritten();
      else t.is(liveness.tick(), step, `step ${at}`);
    }
  });
}
