/**
 * @fileoverview The platform's table service and object store over HTTP. A
 * call that got no whole reply is `unknown`: it may have taken effect.
 */

import type {StoreCall, StoreReply} from '@jackdawfall/core';
import {z} from 'zod';

import type {Store} from '../adapters/types.js';
import {HttpClient} from '../http/client.js';
import type {HttpRequest} from '../http/client.js';

const ROW = z.object({
  key: z.string(),
  revision: z.number().int(),
  value: z.string(),
});

const REPLY = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('committed'), revision: z.number().int()}),
  z.object({kind: z.literal('conflict'), rows: z.array(ROW)}),
  z.object({kind: z.literal('rows'), rows: z.array(ROW)}),
]);

/** Client of the platform; goes on to its next address when one fails. */
export class PlatformStore implements Store {
  private readonly exchanges: HttpClient;
  private next = 0;

  /**
   * @param addresses - Addresses of the platform, each `ip:port`.
   * @param signal - Ends every call.
   */
  constructor(
    private readonly addresses: readonly string[],
    signal: AbortSignal,
  ) {
    this.exchanges = new HttpClient(signal);
  }

  /**
   * Makes a call, once.
   *
   * @param call - The call.
   * @param timeoutMs - Time after which it counts as unanswered.
   * @returns The reply; `unknown` if a write may have taken effect.
   */
  async call(call: StoreCall, timeoutMs: number): Promise<StoreReply> {
    const exchange = exchangeOf(call);
    const address = this.addresses[this.next % this.addresses.length];
    try {
      const reply = await this.exchanges.fetch(address, exchange, timeoutMs);
      return replyOf(call, reply.status, reply.text);
    } catch (error) {
      this.next++;
      return replyFromError(error);
    }
  }
}

function exchangeOf(call: StoreCall): HttpRequest {
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

function replyOf(call: StoreCall, status: number, text: string): StoreReply {
  if (status === 429 || status === 503) {
    return {kind: 'refused', detail: `status ${status}`};
  }
  switch (call.kind) {
    case 'commit':
    case 'read':
      return parseReply(text, status);
    case 'getObject':
      if (status === 404) return {kind: 'object', body: null};
      if (status === 200) return {kind: 'object', body: text};
      return {kind: 'unknown', detail: `status ${status}`};
    case 'putObject':
      if (status === 204) return {kind: 'stored'};
      return {kind: 'unknown', detail: `status ${status}`};
  }
}

function parseReply(text: string, status: number): StoreReply {
  try {
    return REPLY.parse(JSON.parse(text));
  } catch {
    return {kind: 'unknown', detail: `unreadable reply, status ${status}`};
  }
}

/**
 * Says what a call without a reply means.
 *
 * @param error - Why there is none.
 * @returns `refused` if nothing can have been done.
 */
export function replyFromError(error: unknown): StoreReply {
  const detail = error instanceof Error ? error.message : String(error);
  const code = (error as {code?: string}).code;
  if (code === 'ECONNREFUSED') return {kind: 'refused', detail};
  return {kind: 'unknown', detail};
}
