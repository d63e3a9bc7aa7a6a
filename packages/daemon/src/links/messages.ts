/**
 * @fileoverview Classifies the messages that two daemons exchange about an
 * attempt by the one that receives them: its origin, the daemon that received
 * the request from a caller, or the executing daemon, which runs it. `credit`
 * goes both ways, since the request body and the response body each have their
 * own flow control, so a daemon passes it to both its front end and its executor.
 */

import type {Message} from '@jackdawfall/core';

/** Messages from the executing daemon to the origin of an attempt. */
export type ResponseMessage = Extract<
  Message,
  {kind: 'head' | 'data' | 'end' | 'credit'}
>;

/** Messages from the origin of an attempt to the executing daemon. */
export type AttemptMessage = Extract<
  Message,
  {kind: 'dispatch' | 'body' | 'credit'}
>;

const RESPONSE_KINDS: ReadonlySet<Message['kind']> = new Set([
  'head',
  'data',
  'end',
  'credit',
]);

const ATTEMPT_KINDS: ReadonlySet<Message['kind']> = new Set([
  'dispatch',
  'body',
  'credit',
]);

const STREAM_KINDS: ReadonlySet<Message['kind']> = new Set([
  'data',
  'body',
  'credit',
]);

/**
 * Returns whether a message is for the origin of an attempt.
 *
 * @param message - Any message.
 * @returns True for the kinds of `ResponseMessage`.
 */
export function isResponseMessage(
  message: Message,
): message is ResponseMessage {
  return RESPONSE_KINDS.has(message.kind);
}

/**
 * Returns whether a message is for the executing daemon of an attempt.
 *
 * @param message - Any message.
 * @returns True for the kinds of `AttemptMessage`.
 */
export function isAttemptMessage(message: Message): message is AttemptMessage {
  return ATTEMPT_KINDS.has(message.kind);
}

/**
 * Returns whether a message only carries body bytes or flow-control credit.
 * Such messages cause no decision, so the reducer doesn't see them.
 *
 * @param message - Any message.
 * @returns True for the kinds that bypass the reducer.
 */
export function isStreamMessage(message: Message): boolean {
  return STREAM_KINDS.has(message.kind);
}

/** Parts of the daemon that handle a message. */
export type MessageReceiver = 'executor' | 'callers' | 'reducer';

/**
 * Returns which parts handle a message, in order. The reducer comes last, since
 * its effects refer to what the others hold, except for the end of a response:
 * the front end may deliver the whole response at once, and the reducer would
 * otherwise cancel the attempt as one that still runs.
 *
 * @param message - Any message.
 * @returns The parts, in order.
 */
export function receiversOf(message: Message): MessageReceiver[] {
  if (message.kind === 'end') return ['reducer', 'callers'];
  const receivers: MessageReceiver[] = [];
  if (isAttemptMessage(message)) receivers.push('executor');
  if (isResponseMessage(message)) receivers.push('callers');
  if (!isStreamMessage(message)) receivers.push('reducer');
  return receivers;
}
