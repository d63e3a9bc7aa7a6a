/** @fileoverview Small HTTP calls of the emulator's own tools. */

import {request as httpRequest} from 'node:http';

import {readText} from './logic.js';

const MAX_ANSWER_BYTES = 256 * 1024 * 1024;
const DEFAULT_TIMEOUT_MS = 5000;

/** A whole answer. */
export interface HttpResponse {
  readonly status: number;
  readonly body: string;
}

/**
 * Sends a JSON body.
 *
 * @param url - Where to.
 * @param body - Any value that JSON can carry.
 * @param timeoutMs - Time after which the call fails.
 * @returns The whole answer.
 * @throws {Error} When no whole answer came in time.
 */
export function post(
  url: string,
  body: unknown,
  timeoutMs: number = DEFAULT_TIMEOUT_MS,
): Promise<HttpResponse> {
  return call('POST', url, JSON.stringify(body), timeoutMs);
}

/**
 * Reads an address.
 *
 * @param url - What to read.
 * @param timeoutMs - Time after which the call fails.
 * @returns The whole answer.
 * @throws {Error} When no whole answer came in time.
 */
export function get(
  url: string,
  timeoutMs: number = DEFAULT_TIMEOUT_MS,
): Promise<HttpResponse> {
  return call('GET', url, '', timeoutMs);
}

function call(
  method: string,
  url: string,
  body: string,
  timeoutMs: number,
): Promise<HttpResponse> {
  return new Promise((resolve, reject) => {
    const request = httpRequest(
      url,
      {
        method,
        agent: false,
        signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        },
      },
      response => {
        readText(response, MAX_ANSWER_BYTES).then(
          text => resolve({status: response.statusCode ?? 0, body: text}),
          reject,
        );
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}
