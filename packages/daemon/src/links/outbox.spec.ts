/** @fileoverview Tests of messages that wait for a link to open. */

import test from 'ava';

import type {
  Address,
  AttemptId,
  Dispatch,
  MemberId,
  Message,
} from '@jackdawfall/core';

import {Outbox} from './outbox.js';

const PEER = 'h1#1' as MemberId;
const ADDRESS = '127.0.0.1:1' as Address;
const LINK_TIMEOUT_MS = 30;

function createHarness(isOpen: boolean) {
  const sent: Message[] = [];
  const notSent: AttemptId[] = [];
  const connects: MemberId[] = [];
  const port = {
    isOpen: () => isOpen,
    connect: (to: MemberId) => void connects.push(to),
    send: (_to: MemberId, _address: Address, message: Message) =>
      void sent.push(message),
  };
  const events = {
    dispatchNotSent: (attempt: AttemptId) => void notSent.push(attempt),
  };
  return {
    outbox: new Outbox(port, events, LINK_TIMEOUT_MS),
    sent,
    notSent,
    connects,
  };
}

function dispatch(attempt: string): Message {
  return {kind: 'dispatch', attempt} as Dispatch;
}

function cancel(attempt: string): Message {
  return {kind: 'cancel', attempt: attempt as AttemptId};
}

interface Case {
  readonly name: string;
  readonly isOpen: boolean;
  readonly address: Address | null;
  readonly then: 'opened' | 'lost' | 'wait';
  readonly sent: number;
  readonly notSent: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: 'messages are sent immediately over an open link',
    isOpen: true,
    address: ADDRESS,
    then: 'opened',
    sent: 3,
    notSent: [],
  },
  {
    name: 'messages wait for the link to open and keep their order',
    isOpen: false,
    address: ADDRESS,
    then: 'opened',
    sent: 3,
    notSent: [],
  },
  {
    name: 'attempts are reported as not sent when the link fails to open',
    isOpen: false,
    address: ADDRESS,
    then: 'lost',
    sent: 0,
    notSent: ['a', 'b'],
  },
  {
    name: 'attempts are reported as not sent if no link opens in time',
    isOpen: false,
    address: ADDRESS,
    then: 'wait',
    sent: 0,
    notSent: ['a', 'b'],
  },
  {
    name: 'without address and link, attempts are immediately reported as not sent',
    isOpen: false,
    address: null,
    then: 'opened',
    sent: 0,
    notSent: ['a', 'b'],
  },
];

for (const {name, isOpen, address, then, sent, notSent} of CASES) {
  test(name, async t => {
    const harness = createHarness(isOpen);
    for (const message of [dispatch('a'), cancel('a'), dispatch('b')]) {
      harness.outbox.send(PEER, address, message);
    }
    if (then === 'opened') harness.outbox.flushQueue(PEER);
    if (then === 'lost') harness.outbox.failQueue(PEER);
    await new Promise(resolve => setTimeout(resolve, 2 * LINK_TIMEOUT_MS));
    harness.outbox.flushQueue(PEER);
    t.is(harness.sent.length, sent);
    t.deepEqual(harness.notSent, [...notSent] as AttemptId[]);
    if (sent > 0) {
      t.deepEqual(
        harness.sent.map(message => message.kind),
        ['dispatch', 'cancel', 'dispatch'],
      );
    }
  });
}
