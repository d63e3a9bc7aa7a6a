/** @fileoverview Beats of a link, step by step. */

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
const END: Message = {kind: 'end', attempt, outstanding: 0};
const CANCEL: Message = {kind: 'cancel', attempt};
const NEVER: Message = {kind: 'fate', attempt, state: 'never'};
const RUNNING: Message = {kind: 'fate', attempt, state: 'running'};
const INQUIRE: Message = {kind: 'inquire', attempt, to: 'b#1' as never};

const CASES: readonly {name: string; steps: readonly Step[]}[] = [
  {
    name: 'an unused link costs nothing and ends',
    steps: ['nothing', 'nothing', 'nothing', 'nothing', 'nothing', 'unused'],
  },
  {
    name: 'an awaited sign that does not come loses the link',
    steps: [{sent: PULL}, 'nothing', 'nothing', 'nothing', 'silent'],
  },
  {
    name: 'an awaited sign that comes ends the wait',
    steps: [{sent: PULL}, 'nothing', 'nothing', 'heard', 'nothing', 'nothing'],
  },
  {
    name: 'a message without an answer is answered by a ping',
    steps: ['heard', {received: PULL}, 'ping', 'wrote', 'nothing'],
  },
  {
    name: 'an answer makes the ping needless',
    steps: ['heard', {received: BODY}, 'wrote', 'nothing'],
  },
  {
    name: 'plain messages oblige nobody',
    steps: [{sent: CREDIT}, 'heard', {received: CREDIT}, 'nothing', 'nothing'],
  },
  {
    name: 'an open attempt is probed and at last lost',
    steps: [{sent: INQUIRE}, 'nothing', 'probe', 'probe', 'silent'],
  },
  {
    name: 'an open attempt is watched by the side that serves it too',
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
    name: 'traffic makes probes needless',
    steps: [{sent: INQUIRE}, 'nothing', 'heard', 'nothing', 'heard', 'nothing'],
  },
  ...[END, CANCEL, NEVER].map(message => ({
    name: `${message.kind} settles an attempt`,
    steps: [
      {sent: INQUIRE},
      'heard',
      {received: message},
      'nothing',
      'nothing',
    ] as const,
  })),
  {
    name: 'a running attempt is not settled',
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
