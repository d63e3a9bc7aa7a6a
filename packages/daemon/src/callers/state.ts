/** @fileoverview Creates the state of responses from attempts. */

import type {AttemptId, MemberId, RequestId} from '@jackdawfall/core';

import {ByteQueue} from '../http/byte_blocks.js';
import type {IncomingResponse} from './types.js';

/**
 * Creates the state of a response of which nothing has been received.
 *
 * @param attempt - The attempt that the response belongs to.
 * @param request - The request of the attempt.
 * @param from - The member that runs the attempt.
 * @param bodyCredit - Number of request body bytes that may be in flight.
 * @returns The new state.
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
    unwritten: new ByteQueue(),
    ended: false,
    interrupted: false,
    received: 0,
    delivered: 0,
    creditOwed: 0,
    bodyCredit,
    bodySent: 0,
  };
}
