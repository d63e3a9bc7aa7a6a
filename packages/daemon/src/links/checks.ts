/**
 * @fileoverview Checks messages of other daemons that become HTTP messages: a
 * daemon of another version may send what Node's writers refuse by an exception,
 * or a status that no caller may get.
 */

import {METHODS} from 'node:http';

import {NO_VERSION} from '@jackdawfall/core';
import type {Message} from '@jackdawfall/core';

import {areValidHeaders, isFinalStatus, isValidPath} from '../http/headers.js';

/** A message that is not passed on. */
export type InvalidMessage = Extract<Message, {kind: 'head' | 'dispatch'}>;

const KNOWN_METHODS: ReadonlySet<string> = new Set(METHODS);

/**
 * Returns the message if it can't be passed on.
 *
 * @param message - Any message.
 * @returns The message, or null if it can be passed on.
 */
export function findInvalid(message: Message): InvalidMessage | null {
  if (message.kind === 'head') {
    const {status, headers} = message;
    return isFinalStatus(status) && areValidHeaders(headers) ? null : message;
  }
  if (message.kind !== 'dispatch') return null;
  const {method, path, headers} = message;
  const isValid =
    KNOWN_METHODS.has(method) && isValidPath(path) && areValidHeaders(headers);
  return isValid ? null : message;
}

/**
 * Returns the failure of the attempt that an invalid message belongs to. One
 * with an invalid response has run; one with an invalid request never will.
 *
 * @param message - The invalid message.
 * @param outstanding - Number of attempts that run here.
 * @returns The failure, for the daemon that the attempt came from.
 */
export function toFailure(
  message: InvalidMessage,
  outstanding: number,
): Extract<Message, {kind: 'failed'}> {
  const {attempt} = message;
  const common = {kind: 'failed', attempt, owner: null, workMs: 0} as const;
  const version = NO_VERSION;
  switch (message.kind) {
    case 'head': {
      const detail = `invalid response with status ${message.status}`;
      const failed = {error: 'server-lost', run: 'unknown', detail} as const;
      return {...common, ...failed, version, outstanding: 0};
    }
    case 'dispatch': {
      const detail = 'invalid method, path or header';
      const failed = {error: 'bad-request', run: 'not-run', detail} as const;
      return {...common, ...failed, version, outstanding};
    }
  }
}
