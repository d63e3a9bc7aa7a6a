/** @fileoverview Table of the responses to callers by kind of error. */

import type {ErrorKind, ErrorKindInfo, Failure, RunState} from './types.js';

/**
 * The response for each kind of error. ERRORS.md in the docs is generated from
 * this table.
 */
export const ERROR_RESPONSES: Readonly<Record<ErrorKind, ErrorKindInfo>> = {
  'bad-request': response(400, 'The request could not be understood.'),
  unauthenticated: response(401, 'No tenant holds this API key.'),
  'unknown-service': response(404, 'No service matches this method and path.'),
  'key-missing': response(400, 'The request carries no key.'),
  'key-too-long': response(400, 'The key is longer than allowed.'),
  'body-too-large': response(413, 'The body is larger than allowed.'),
  'header-too-large': response(431, 'The headers are larger than allowed.'),
  'header-timeout': response(408, 'The headers stopped arriving.', true),
  'body-timeout': response(408, 'The body stopped arriving.', true),
  'quota-exceeded': response(429, 'The quota of the tenant is used up.', true),
  'no-owner': response(503, 'No server owns this key at the moment.', true),
  'no-server': response(503, 'No server offers this service now.', true),
  overloaded: response(503, 'Every suitable server is busy.', true),
  'deadline-exceeded': response(504, 'The deadline passed.'),
  'server-refused': response(503, 'The backend server refused.', true),
  'server-lost': response(502, 'The backend server was lost.'),
  'link-lost': response(502, 'The link to the owner was lost.'),
  'lease-lost': response(503, 'The owner lost its lease.', true),
  cancelled: response(499, 'The caller cancelled the request.'),
  'idempotency-mismatch': response(
    422,
    'This idempotency key was used for another request.',
  ),
  stopping: response(503, 'This daemon is stopping.', true),
  'configuration-stale': response(
    503,
    'This daemon may have missed that an API key was revoked.',
    true,
  ),
  internal: response(500, 'The daemon met an internal error.'),
};

/**
 * Builds a failure.
 *
 * @param kind - The kind of error.
 * @param run - Whether the request ran.
 * @param detail - Explanation for people, without secrets.
 * @returns The failure.
 */
export function failure(
  kind: ErrorKind,
  run: RunState,
  detail: string,
): Failure {
  return {kind, run, detail};
}

function response(
  status: number,
  text: string,
  retryable = false,
): ErrorKindInfo {
  return {status, text, retryable};
}
