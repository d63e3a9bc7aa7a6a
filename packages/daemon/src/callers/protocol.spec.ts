/** @fileoverview Tests of the built-in error responses. */

import test from 'ava';

import {CALLER_PROTOCOL} from './protocol.js';

const CASES: ReadonlyArray<{
  retryAfterMs?: number | null;
  retryAfter: string | undefined;
}> = [
  // Where the origin decided no wait, responses stay as they were.
  {retryAfter: undefined},
  {retryAfterMs: null, retryAfter: undefined},
  {retryAfterMs: 87.6, retryAfter: '0.088'},
];

for (const {retryAfter, ...wait} of CASES) {
  test(`a wait of ${wait.retryAfterMs} ms: retry-after ${retryAfter}`, t => {
    const failed = {kind: 'overloaded', run: 'not-run', detail: ''} as const;
    const response = CALLER_PROTOCOL.answerOf(
      'r' as never,
      {...failed, ...wait},
      1000,
    );
    const headers: Record<string, string | undefined> = response.headers;
    t.is(headers['retry-after'], retryAfter);
  });
}
