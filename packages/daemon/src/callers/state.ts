/** @fileoverview Making the records of the callers' side. */

import type {AttemptId, MemberId, RequestId} from '@jackdawfall/core';

import type {IncomingResponse} from './types.js';

/**
 * Starts the record of an answer.
 *
 * @param attempt - The attempt it belongs to.
 * @param request - The request the attempt serves.
 * @param from - The member that runs the attempt.
 * @param bodyCredit - Bytes of body that may be under way at once.
 * @returns The record, with nothing received yet.
 */
export function createIncomingResponse(
  attempt: AttemptId,
  request: RequestId,
  from: MemberId,
  bodyCredit: number,
): IncomingResponse {
  return {
    attempt,
    request,
    from,
    head: null,
    chunks: [],
    ended: false,
    received: 0,
    delivered: 0,
    creditOwed: 0,
    bodyCredit,
    bodySent: 0,
  };
}
