/** @fileoverview Sends one request of a caller and checks its response. */

import type {CallRecord, LoadRoute, Outcome} from './types.js';
import type {IncomingMessage} from 'node:http';
import type {Agent} from 'node:http';
import {request as httpRequest} from 'node:http';

import {checksum, readText} from '../control/logic.js';

const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
const OK = 200;
const SERVER_ERROR = 500;
const MAX_DETAIL = 400;
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'PUT', 'DELETE']);

/** A request to send. */
export interface Call {
  readonly request: string;
  readonly route: LoadRoute;
  readonly key: string;
  readonly body: string;
}

interface Result {
  readonly outcome: Outcome;
  readonly status: number;
  readonly detail: string;
}

/** Errors after which no byte of the request can have been sent. */
const NOT_CONNECTED = new Set(['ECONNREFUSED', 'EHOSTUNREACH']);

/**
 * Sends a request to the first target that accepts a connection.
 *
 * @param call - The request.
 * @param targets - `ip:port` of daemons in order of preference.
 * @param agent - Keeps connections open.
 * @returns The record of the request; never rejects.
 */
export async function sendRequest(
  call: Call,
  targets: readonly string[],
  agent: Agent,
): Promise<CallRecord> {
  const sentMs = Date.now();
  let target = '';
  let result: Result = notRun('no target');
  for (target of targets) {
    const attempted = await sendTo(call, target, agent);
    if (attempted !== null) {
      result = attempted;
      break;
    }
    result = notRun('connection refused');
  }
  return {
    request: call.request,
    route: call.route.name,
    service: call.route.service,
    key: call.key,
    idempotent: IDEMPOTENT_METHODS.has(call.route.method),
    target,
    sentMs,
    endedMs: Date.now(),
    ...result,
  };
}

/** Resolves with null if the target accepted no connection. */
function sendTo(
  call: Call,
  target: string,
  agent: Agent,
): Promise<Result | null> {
  const {route, key} = call;
  const path = route.path.replace('{key}', encodeURIComponent(key));
  const timeout = AbortSignal.timeout(route.timeoutMs);
  return new Promise(resolve => {
    const request = httpRequest(
      `http://${target}${path}`,
      {
        method: route.method,
        agent,
        signal: timeout,
        headers: {
          'x-caller-request': call.request,
          'content-length': Buffer.byteLength(call.body),
        },
      },
      response => {
        classifyResponse(call, response).then(resolve, (error: unknown) =>
          resolve(classifyError(error, timeout)),
        );
      },
    );
    request.on('error', (error: NodeJS.ErrnoException) => {
      if (NOT_CONNECTED.has(error.code ?? '')) resolve(null);
      else resolve(classifyError(error, timeout));
    });
    request.end(call.body);
  });
}

function notRun(detail: string): Result {
  return {outcome: 'not-run', status: 0, detail};
}

function classifyError(error: unknown, timeout: AbortSignal): Result {
  const outcome = timeout.aborted ? 'hung' : 'unknown';
  return {outcome, status: 0, detail: String(error)};
}

async function classifyResponse(
  call: Call,
  response: IncomingMessage,
): Promise<Result> {
  const text = await readText(response, MAX_RESPONSE_BYTES);
  const status = response.statusCode ?? 0;
  if (!response.complete) {
    return {outcome: 'unknown', status, detail: 'answer cut short'};
  }
  if (status === OK) return classifyBody(call, status, text);
  const run = response.headers['x-run'];
  if (run === 'not-run' || run === 'unknown') {
    return {outcome: run, status, detail: text.slice(0, MAX_DETAIL)};
  }
  const outcome = status >= SERVER_ERROR ? 'unknown' : 'wrong-answer';
  return {outcome, status, detail: text.slice(0, MAX_DETAIL)};
}

function classifyBody(call: Call, status: number, text: string): Result {
  const answer = parseObject(text);
  const matches =
    answer.request === call.request &&
    answer.key === call.key &&
    answer.checksum === checksum(call.body);
  if (matches) return {outcome: 'done', status, detail: ''};
  return {outcome: 'wrong-answer', status, detail: text.slice(0, MAX_DETAIL)};
}

function parseObject(text: string): Record<string, unknown> {
  try {
    const value: unknown = JSON.parse(text);
    if (typeof value !== 'object' || value === null) return {};
    return value as Record<string, unknown>;
  } catch {
    return {};
  }
}
