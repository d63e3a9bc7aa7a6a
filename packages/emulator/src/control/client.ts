/** @fileoverview HTTP client of the emulator's tools and processes. */

import {request as httpRequest} from 'node:http';

import {readText} from './logic.js';

const MAX_RESPONSE_BYTES = 256 * 1024 * 1024;
const DEFAULT_TIMEOUT_MS = 5000;

/** A complete HTTP response. */
export interface HttpResponse {
  readonly status: number;
  readonly body: string;
}

/**
 * Sends a POST request with a JSON body.
 *
 * @param url - URL to send it to.
 * @param body - Any value that can be written as JSON.
 * @param timeoutMs - Time after which the request fails, in milliseconds.
 * @returns The complete response.
 * @throws {Error} If no complete response came in time.
 */
export function post(
  url: string,
  body: unknown,
  timeoutMs: number = DEFAULT_TIMEOUT_MS,
): Promise<HttpResponse> {
  return call('POST', url, JSON.stringify(body), timeoutMs);
}

/**
 * Sends a GET request.
 *
 * @param url - URL to read.
 * @param timeoutMs - Time after which the request fails, in milliseconds.
 * @returns The complete response.
 * @throws {Error} If no complete response came in time.
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
        readText(response, MAX_RESPONSE_BYTES).then(
          text => resolve({status: response.statusCode ?? 0, body: text}),
          reject,
        );
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}
