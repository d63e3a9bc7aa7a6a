/** @fileoverview The built-in HTTP interface for callers. */

import {ERROR_RESPONSES} from '@jackdawfall/core';

import {endToEndHeaders, headerOf} from '../http/headers.js';
import type {CallerProtocol} from '../adapters/types.js';

const MS_PER_SECOND = 1000;
const TIMEOUT_HEADER = 'x-timeout-ms';
const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** Reads requests and renders error responses in the built-in format. */
export const CALLER_PROTOCOL: CallerProtocol = {
  headersOf: incoming => endToEndHeaders(incoming.headers),
  apiKeyOf: () => null,
  headersFor: headers => headers,
  timeoutMsOf(incoming) {
    const requestedMs = Number(headerOf(incoming, TIMEOUT_HEADER) ?? NaN);
    return Number.isFinite(requestedMs) && requestedMs > 0 ? requestedMs : null;
  },
  requestNameOf: () => null,
  idempotencyKeyOf: incoming => headerOf(incoming, IDEMPOTENCY_KEY_HEADER),
  answerOf(request, failure) {
    const {status, text, retryable} = ERROR_RESPONSES[failure.kind];
    const {kind, run, detail, retryAfterMs} = failure;
    return {
      status,
      headers: {
        'content-type': 'application/json',
        'x-request-id': request,
        'x-run': run,
        ...retryAfterHeader(retryAfterMs ?? null),
      },
      body: JSON.stringify({kind, run, request, text, detail, retryable}),
    };
  },
  addedHeaders: request => ({'x-request-id': request}),
};

/** Seconds, with fractions. */
function retryAfterHeader(waitMs: number | null): Record<string, string> {
  if (waitMs === null) return {};
  return {'retry-after': (waitMs / MS_PER_SECOND).toFixed(3)};
}
