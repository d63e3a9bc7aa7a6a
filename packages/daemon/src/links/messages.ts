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
