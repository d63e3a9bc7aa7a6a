/**
 * @fileoverview Classifies the messages that daemons exchange about an attempt
 * by the daemon that receives them. An attempt has an origin, the daemon that
 * took the request from a caller, and an owner, the daemon that runs it.
 */

import type {Message} from '@jackdawfall/core';

/** Messages from the owner of an attempt to its origin. */
export type ResponseMessage = Extract<
  Message,
  {kind: 'head' | 'data' | 'end' | 'credit'}
>;

/** Messages from the origin of an attempt to its owner. */
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
 * Checks whether a message is part of a response.
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
 * Checks whether a message starts or continues an attempt.
 *
 * @param message - Any message.
 * @returns True for the kinds of `AttemptMessage`.
 */
export function isAttemptMessage(message: Message): message is AttemptMessage {
  return ATTEMPT_KINDS.has(message.kind);
}

/**
 * Checks whether a message only carries body bytes or flow-control credit.
 * Such messages cause no decision, so the reducer doesn't see them.
 *
 * @param message - Any message.
 * @returns True for the kinds that bypass the reducer.
 */
export function isStreamMessage(message: Message): boolean {
  return STREAM_KINDS.has(message.kind);
}
