/** @fileoverview The table from error kind to answer. */

import type {ErrorResponse, ErrorKind, Failure, RunState} from './types.js';

/** The one table that turns a kind of error into a caller's answer. */
export const ERROR_RESPONSES: Readonly<Record<ErrorKind, ErrorResponse>> = {
  'bad-request': answer(400, 'The request could not be understood.'),
  'unknown-service': answer(404, 'No service matches this method and path.'),
  'key-missing': answer(400, 'The request carries no key.'),
  'key-too-long': answer(400, 'The key is longer than allowed.'),
  'body-too-large': answer(413, 'The body is larger than allowed.'),
  'header-too-large': answer(431, 'The headers are larger than allowed.'),
  'no-owner': answer(503, 'No server owns this key at the moment.', true),
  'no-server': answer(503, 'No server offers this service now.', true),
  overloaded: answer(503, 'Every suitable server is busy.', true),
  'deadline-exceeded': answer(504, 'The deadline passed.'),
  'server-refused': answer(503, 'The backend server refused.', true),
  'server-lost': answer(502, 'The backend server was lost.'),
  'link-lost': answer(502, 'The link to the owner was lost.'),
  'lease-lost': answer(503, 'The owner lost its lease.', true),
  cancelled: answer(499, 'The caller cancelled the request.'),
  'idempotency-mismatch': answer(
    422,
    'This idempotency key was used for another request.',
  ),
  stopping: answer(503, 'This daemon is stopping.', true),
  internal: answer(500, 'The daemon met an internal error.'),
};

/**
 * Builds a failure.
 *
 * @param kind - The kind of error.
 * @param run - Whether the request ran.
 * @param detail - Detail for people.
 * @returns The failure.
 */
export function failure(
  kind: ErrorKind,
  run: RunState,
  detail: string,
): Failure {
  return {kind, run, detail};
}

function answer(
  status: number,
  text: string,
  retryable = false,
): ErrorResponse {
  return {status, text, retryable};
}
