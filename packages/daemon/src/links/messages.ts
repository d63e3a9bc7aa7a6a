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

/** Parts of the daemon that handle a message. */
export type MessageReceiver = 'executor' | 'callers' | 'reducer';

/**
 * Receivers of the messages about an attempt, in order; all other messages are
 * for the reducer alone. It comes last, since its effects refer to what the
 * others hold, except for the end of a response: the front end may deliver the
 * whole response at once, and the reducer would otherwise cancel the attempt as
 * one that still runs. Body bytes and flow-control credit cause no decision, so
 * the reducer doesn't see them.
 */
const RECEIVERS: Readonly<
  Partial<Record<Message['kind'], readonly MessageReceiver[]>>
> = {
  dispatch: ['executor', 'reducer'],
  body: ['executor'],
  credit: ['executor', 'callers'],
  head: ['callers', 'reducer'],
  data: ['callers'],
  end: ['reducer', 'callers'],
};
const REDUCER_ONLY: readonly MessageReceiver[] = ['reducer'];

/**
 * Returns which parts handle a message, in order.
 *
 * @param message - Any message.
 * @returns The parts, in order.
 */
export function receiversOf(message: Message): readonly MessageReceiver[] {
  return RECEIVERS[message.kind] ?? REDUCER_ONLY;
}

/**
 * Returns whether a message is for the origin of an attempt.
 *
 * @param message - Any message.
 * @returns True for the kinds of `ResponseMessage`.
 */
export function isResponseMessage(
  message: Message,
): message is ResponseMessage {
  return receiversOf(message).includes('callers');
}

/**
 * Returns whether a message is for the executing daemon of an attempt.
 *
 * @param message - Any message.
 * @returns True for the kinds of `AttemptMessage`.
 */
export function isAttemptMessage(message: Message): message is AttemptMessage {
  return receiversOf(message).includes('executor');
}
