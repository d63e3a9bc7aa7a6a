/** @fileoverview Helpers that append effects of ownership. */

import type {CallId, MemberId, WriteId} from '../ids/types.js';
import type {LogEventName} from '../log_events/catalogue.js';
import type {CommandResult} from '../loop/types.js';
import type {ControlMessage} from '../messages/types.js';
import type {StoreCall} from '../store/types.js';
import type {CallPurpose, OwnershipContext} from './state.js';

/**
 * Sends a message to another member in the map; does nothing for any other id.
 *
 * @param context - Context of the current input.
 * @param to - The receiver.
 * @param message - The message.
 */
export function send(
  context: OwnershipContext,
  to: MemberId,
  message: ControlMessage,
): void {
  const member = context.state.map.members.get(to);
  if (member === undefined || to === context.state.self) return;
  const address = member.address;
  context.effects.push({kind: 'send', to, address, message});
}

/**
 * Calls the store and records what the reply is for.
 *
 * @param context - Context of the current input.
 * @param purpose - What the reply is for.
 * @param request - The call.
 * @returns The call's id.
 */
export function callStore(
  context: OwnershipContext,
  purpose: CallPurpose,
  request: StoreCall,
): CallId {
  const {state, effects} = context;
  const call = state.nextCall as CallId;
  state.nextCall += 1;
  state.pendingCalls.set(call, {purpose, issuedBy: state.self});
  const timeoutMs = state.settings.tuning.store.timeoutMs;
  effects.push({kind: 'callStore', call, request, timeoutMs});
  return call;
}

/**
 * Writes a log event.
 *
 * @param context - Context of the current input.
 * @param event - Name of the event.
 * @param fields - Its fields.
 */
export function log(
  context: OwnershipContext,
  event: LogEventName,
  fields: Readonly<Record<string, string | number | boolean>>,
): void {
  context.effects.push({kind: 'log', event, fields});
}

/**
 * Replies to an operator's command.
 *
 * @param context - Context of the current input.
 * @param token - Identifies the reply.
 * @param result - Its result.
 */
export function reply(
  context: OwnershipContext,
  token: number,
  result: CommandResult,
): void {
  context.effects.push({kind: 'reply', token, result});
}

/**
 * Reports a violated invariant.
 *
 * @param context - Context of the current input.
 * @param invariant - Name of the invariant.
 * @param detail - What was seen.
 */
export function reportViolation(
  context: OwnershipContext,
  invariant: string,
  detail: string,
): void {
  context.effects.push({kind: 'panic', invariant, detail});
}

/**
 * Creates the id of a write to the store.
 *
 * @param context - Context of the current input.
 * @returns An id that no other write has.
 */
export function newWriteId(context: OwnershipContext): WriteId {
  const {state} = context;
  const id = `${state.self}/${state.nextWrite}` as WriteId;
  state.nextWrite += 1;
  return id;
}
