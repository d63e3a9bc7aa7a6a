/** @fileoverview Tests of what waits for a link. */

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
const PLACE = '127.0.0.1:1' as Address;
const OPEN_MS = 30;

function setUp(isOpen: boolean) {
  const sent: Message[] = [];
  const unsent: AttemptId[] = [];
  const connects: MemberId[] = [];
  const port = {
    isOpen: () => isOpen,
    connect: (to: MemberId) => void connects.push(to),
    send: (_to: MemberId, _address: Address, message: Message) =>
      void sent.push(message),
  };
  const events = {unsent: (attempt: AttemptId) => void unsent.push(attempt)};
  return {outbox: new Outbox(port, events, OPEN_MS), sent, unsent, connects};
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
  readonly unsent: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: 'an open link takes messages at once',
    isOpen: true,
    address: PLACE,
    then: 'opened',
    sent: 3,
    unsent: [],
  },
  {
    name: 'messages wait for the link and keep their order',
    isOpen: false,
    address: PLACE,
    then: 'opened',
    sent: 3,
    unsent: [],
  },
  {
    name: 'a link that does not open leaves attempts unsent',
    isOpen: false,
    address: PLACE,
    then: 'lost',
    sent: 0,
    unsent: ['a', 'b'],
  },
  {
    name: 'a link that stays opening too long leaves attempts unsent',
    isOpen: false,
    address: PLACE,
    then: 'wait',
    sent: 0,
    unsent: ['a', 'b'],
  },
  {
    name: 'without an address and a link, attempts are unsent at once',
    isOpen: false,
    address: null,
    then: 'opened',
    sent: 0,
    unsent: ['a', 'b'],
  },
];

for (const {name, isOpen, address, then, sent, unsent} of CASES) {
  test(name, async t => {
    const set = setUp(isOpen);
    for (const message of [dispatch('a'), cancel('a'), dispatch('b')]) {
      set.outbox.send(PEER, address, message);
    }
    if (then === 'opened') set.outbox.opened(PEER);
    if (then === 'lost') set.outbox.lost(PEER);
    await new Promise(resolve => setTimeout(resolve, 2 * OPEN_MS));
    set.outbox.opened(PEER);
    t.is(set.sent.length, sent);
    t.deepEqual(set.unsent, [...unsent] as AttemptId[]);
    if (sent > 0) {
      t.deepEqual(
        set.sent.map(message => message.kind),
        ['dispatch', 'cancel', 'dispatch'],
      );
    }
  });
}
