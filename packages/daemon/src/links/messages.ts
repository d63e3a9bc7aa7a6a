/** @fileoverview Which side of the runner takes which message. */

import type {Message} from '@jackdawfall/core';

/** Messages from the member that runs an attempt to the one that sent it. */
export type ResponseMessage = Extract<
  Message,
  {kind: 'head' | 'data' | 'end' | 'credit'}
>;

/** Messages from the member that sends an attempt to the one that runs it. */
export type AttemptMessage = Extract<
  Message,
  {kind: 'dispatch' | 'body' | 'credit'}
>;

const ANSWER_KINDS: ReadonlySet<Message['kind']> = new Set([
  'head',
  'data',
  'end',
  'credit',
]);

const RUN_KINDS: ReadonlySet<Message['kind']> = new Set([
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
 * Tells whether a message belongs to an answer.
 *
 * @param message - Any message.
 * @returns True for the kinds of `AnswerMessage`.
 */
export function isResponseMessage(
  message: Message,
): message is ResponseMessage {
  return ANSWER_KINDS.has(message.kind);
}

/**
 * Tells whether a message belongs to a run.
 *
 * @param message - Any message.
 * @returns True for the kinds of `RunMessage`.
 */
export function isAttemptMessage(message: Message): message is AttemptMessage {
  return RUN_KINDS.has(message.kind);
}

/**
 * Tells whether a message only moves bytes, which decides nothing.
 *
 * @param message - Any message.
 * @returns True for messages that the reducer does not see.
 */
export function isStreamMessage(message: Message): boolean {
  return STREAM_KINDS.has(message.kind);
}
