/**
 * @fileoverview Built-in HTTP client of the store: the table service and the
 * object store of the platform. The outcome of a call without a complete reply
 * is `unknown`: it may have taken effect.
 */

import type {StoreCall, StoreReply} from '@jackdawfall/core';
import {NO_ERA, parseEra} from '@jackdawfall/core';
import {z} from 'zod';

import type {Store} from '../adapters/types.js';
import {HttpClient} from '../http/client.js';
import type {HttpRequest} from '../http/client.js';

const ROW_SCHEMA = z.object({
  key: z.string(),
  revision: z.number().int(),
  value: z.string(),
});

const REPLY_SCHEMA = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('committed'), revision: z.number().int()}),
  z.object({kind: z.literal('conflict'), rows: z.array(ROW_SCHEMA)}),
  z.object({kind: z.literal('rows'), rows: z.array(ROW_SCHEMA)}),
]);

/** Client of the store; uses its next address after a failed call. */
export class StoreClient implements Store {
  private readonly httpClient: HttpClient;
  private addressIndex = 0;

  /**
   * @param addresses - Addresses of the store, each `ip:port`.
   * @param signal - Aborts all calls.
   */
  constructor(
    private readonly addresses: readonly string[],
    signal: AbortSignal,
  ) {
    this.httpClient = new HttpClient(signal);
  }

  /**
   * Makes one call, without retries.
   *
   * @param call - The call.
   * @param timeoutMs - Time to wait for the reply, in milliseconds.
   * @returns The reply; `unknown` if a write may have taken effect.
   */
  async call(call: StoreCall, timeoutMs: number): Promise<StoreReply> {
    const httpRequest = toHttpRequest(call);
    const address = this.addresses[this.addressIndex % this.addresses.length];
    try {
      const response = await this.httpClient.fetch(
        address,
        httpRequest,
        timeoutMs,
      );
      const reply = toStoreReply(call, response.status, response.text);
      const era = parseEra(response.headers['store-era']);
      return era === NO_ERA ? reply : {...reply, era};
    } catch (error) {
      this.addressIndex++;
      return replyFromError(error);
    }
  }
}

function toHttpRequest(call: StoreCall): HttpRequest {
  switch (call.kind) {
    case 'commit':
      return post('/table/commit', call.transaction);
    case 'read':
      return post('/table/read', call.query);
    case 'getObject':
      return {method: 'GET', path: objectPath(call.name), body: null};
    case 'putObject':
      return {method: 'PUT', path: objectPath(call.name), body: call.body};
  }
}

function post(path: string, body: unknown): HttpRequest {
  return {method: 'POST', path, body: JSON.stringify(body)};
}

function objectPath(name: string): string {
  return `/objects/${encodeURIComponent(name)}`;
}

function toStoreReply(
  call: StoreCall,
  status: number,
  text: string,
): StoreReply {
  if (status === 429 || status === 503) {
    return {kind: 'refused', detail: `status ${status}`};
  }
  switch (call.kind) {
    case 'commit':
    case 'read':
      return parseTableReply(text, status);
    case 'getObject':
      if (status === 404) return {kind: 'object', body: null};
      if (status === 200) return {kind: 'object', body: text};
      return {kind: 'unknown', detail: `status ${status}`};
    case 'putObject':
      if (status === 204) return {kind: 'stored'};
      return {kind: 'unknown', detail: `status ${status}`};
  }
}

function parseTableReply(text: string, status: number): StoreReply {
  try {
    return REPLY_SCHEMA.parse(JSON.parse(text));
  } catch {
    return {kind: 'unknown', detail: `unreadable reply, status ${status}`};
  }
}

/**
 * Classifies a call that got no reply.
 *
 * @param error - The error of the HTTP request.
 * @returns `refused` if the connection was refused, so that the call can't
 *     have taken effect; otherwise `unknown`.
 */
export function replyFromError(error: unknown): StoreReply {
  const detail = error instanceof Error ? error.message : String(error);
  const code = (error as {code?: string}).code;
  if (code === 'ECONNREFUSED') return {kind: 'refused', detail};
  return {kind: 'unknown', detail};
}
