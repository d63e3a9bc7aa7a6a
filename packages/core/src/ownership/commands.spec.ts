/** @fileoverview Tests of what operators are told when time runs out. */

import test from 'ava';

import type {MemberId, WriteId} from '../ids/types.js';
import type {PendingAppend} from '../journal/types.js';
import type {Command, CommandResult, Effect} from '../loop/types.js';
import {DEFAULT_TUNING} from '../settings/defaults.js';
import {retryOrExpireCommands, handleCommand} from './commands.js';
import {createOwnershipState} from './state.js';
import type {OwnershipContext, OwnershipState} from './state.js';

const OWN = 'h1#1/1' as WriteId;
const OTHER = 'h1#1/2' as WriteId;
const ZONE: Command = {kind: 'zone', zone: 'a', out: true, by: 'ann'};
const END: Command = {kind: 'endMember', member: 'h2#1' as MemberId, by: 'ann'};

const CASES: ReadonlyArray<{
  what: string;
  command: Command;
  writeId: WriteId | null;
  /** The entry that is being written, if any. */
  append: {writeId: WriteId; inFlight: boolean; unresolved: boolean} | null;
  kind: CommandResult['kind'];
}> = [
  {
    what: 'never written',
    command: ZONE,
    writeId: null,
    append: null,
    kind: 'unavailable',
  },
  {
    what: 'on its way for the first time',
    command: ZONE,
    writeId: OWN,
    append: {writeId: OWN, inFlight: true, unresolved: false},
    kind: 'unknown',
  },
  {
    what: 'without a reply',
    command: ZONE,
    writeId: OWN,
    append: {writeId: OWN, inFlight: false, unresolved: true},
    kind: 'unknown',
  },
  {
    what: 'passed by another entry',
    command: ZONE,
    writeId: OWN,
    append: {writeId: OTHER, inFlight: true, unresolved: true},
    kind: 'unavailable',
  },
  {
    what: 'an end that is still pursued',
    command: END,
    writeId: null,
    append: null,
    kind: 'unknown',
  },
];

for (const {what, command, writeId, append, kind} of CASES) {
  test(`a command out of time is ${kind}: ${what}`, t => {
    const state = stateOf();
    state.pendingCommands = [{command, token: 1, expiresAt: 10, writeId}];
    state.logWriter.append = append && appendOf(append);
    const effects: Effect[] = [];
    retryOrExpireCommands(contextOf(state, effects));
    t.like(effects, [{kind: 'reply', token: 1, result: {kind}}]);
    t.is(state.pendingCommands.length, 0);
  });
}

test('no more than a bounded number of commands waits', t => {
  const effects: Effect[] = [];
  const context = contextOf(stateOf(), effects);
  for (let token = 0; token < 100; token++) handleCommand(context, ZONE, token);
  t.is(context.state.pendingCommands.length + effects.length, 100);
  t.is(context.state.pendingCommands.length, 64);
  t.like(effects[0], {kind: 'reply', result: {kind: 'unavailable'}});
});

function stateOf(): OwnershipState {
  return createOwnershipState({
    workspace: 'taipei' as never,
    host: 'h1' as never,
    zone: 'a' as never,
    address: '127.0.0.1:1' as never,
    incarnation: '1',
    tuning: DEFAULT_TUNING,
  });
}

function contextOf(state: OwnershipState, effects: Effect[]): OwnershipContext {
  const at = {monotonic: 20, wall: 20};
  return {state, at, effects} as unknown as OwnershipContext;
}

function appendOf(given: {
  writeId: WriteId;
  inFlight: boolean;
  unresolved: boolean;
}): PendingAppend {
  const {writeId, inFlight, unresolved} = given;
  return {entry: {writeId}, inFlight, unresolved} as unknown as PendingAppend;
}
