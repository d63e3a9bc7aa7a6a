/** @fileoverview Making the records of the callers' side. */

import type {AttemptId, MemberId, RequestId} from '@jackdawfall/core';

import type {Incoming} from './types.js';

/**
 * Starts the record of an answer.
 *
 * @param attempt - The attempt it belongs to.
 * @param request - The request the attempt serves.
 * @param from - The member that runs the attempt.
 * @param bodyCredit - Bytes of body that may be under way at once.
 * @returns The record, with nothing received yet.
 */
export function createIncoming(
  attempt: AttemptId,
  request: RequestId,
  from: MemberId,
  bodyCredit: number,
): Incoming {
  return {
    attempt,
    request,
    from,
    head: null,
    parts: [],
    ended: false,
    received: 0,
    handed: 0,
    owed: 0,
    bodyCredit,
    bodySent: 0,
  };
}
