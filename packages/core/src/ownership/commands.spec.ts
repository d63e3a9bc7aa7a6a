/**
 * @fileoverview Replies to operators' commands that expire: `unavailable` only
 * if the command can't take effect any more, and `unknown` otherwise.
 */

import test from 'ava';

import type {MemberId, WriteId} from '../ids/types.js';
import type {PendingAppend} from '../log_replication/types.js';
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
  /** The entry that this daemon is appending, or null. */
  append: {writeId: WriteId; inFlight: boolean; unresolved: boolean} | null;
  kind: CommandResult['kind'];
}> = [
  {
    what: 'never appended',
    command: ZONE,
    writeId: null,
    append: null,
    kind: 'unavailable',
  },
  {
    what: 'its entry is in flight for the first time',
    command: ZONE,
    writeId: OWN,
    append: {writeId: OWN, inFlight: true, unresolved: false},
    kind: 'unknown',
  },
  {
    what: 'its entry got no reply',
    command: ZONE,
    writeId: OWN,
    append: {writeId: OWN, inFlight: false, unresolved: true},
    kind: 'unknown',
  },
  {
    what: 'another entry is being appended',
    command: ZONE,
    writeId: OWN,
    append: {writeId: OTHER, inFlight: true, unresolved: true},
    kind: 'unavailable',
  },
  {
    what: 'the eviction goes on',
    command: END,
    writeId: null,
    append: null,
    kind: 'unknown',
  },
];

for (const {what, command, writeId, append, kind} of CASES) {
  test(`an expired command is ${kind}: ${what}`, t => {
    const state = createState();
    state.pendingCommands = [{command, token: 1, expiresAt: 10, writeId}];
    state.logWriter.append = append && createAppend(append);
    const effects: Effect[] = [];
    retryOrExpireCommands(createContext(state, effects));
    t.like(effects, [{kind: 'reply', token: 1, result: {kind}}]);
    t.is(state.pendingCommands.length, 0);
  });
}

test('no more than 64 commands wait at the same time', t => {
  const effects: Effect[] = [];
  const context = createContext(createState(), effects);
  for (let token = 0; token < 100; token++) handleCommand(context, ZONE, token);
  t.is(context.state.pendingCommands.length + effects.length, 100);
  t.is(context.state.pendingCommands.length, 64);
  t.like(effects[0], {kind: 'reply', result: {kind: 'unavailable'}});
});

function createState(): OwnershipState {
  return createOwnershipState({
    workspace: 'taipei' as never,
    host: 'h1' as never,
    zone: 'a' as never,
    address: '127.0.0.1:1' as never,
    incarnation: '1',
    tuning: DEFAULT_TUNING,
  });
}

function createContext(
  state: OwnershipState,
  effects: Effect[],
): OwnershipContext {
  const at = {monotonic: 20, wall: 20};
  return {state, at, effects} as unknown as OwnershipContext;
}

function createAppend(fields: {
  writeId: WriteId;
  inFlight: boolean;
  unresolved: boolean;
}): PendingAppend {
  const {writeId, inFlight, unresolved} = fields;
  return {entry: {writeId}, inFlight, unresolved} as unknown as PendingAppend;
}
