/**
 * @fileoverview The platform's table service and object store over HTTP. A
 * call that got no whole reply is `unknown`: it may have taken effect.
 */

import {Agent, request} from 'node:http';
import type {IncomingMessage} from 'node:http';

import type {StoreCall, StoreReply} from '@jackdawfall/core';
import {z} from 'zod';

const MAX_REPLY_BYTES = 64 * 1024 * 1024;
const MAX_SOCKETS = 8;

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

/** One HTTP exchange with the platform. */
interface Exchange {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body: string | null;
}

/** Client of the platform; keeps connections and replaces silent ones. */
export class Platform {
  private agent = new Agent({keepAlive: true, maxSockets: MAX_SOCKETS});
  private next = 0;

  /**
   * @param addresses - `ip:port` of the platform's servers, at least one.
   * @param signal - Cancels every open call.
   */
  constructor(
    private readonly addresses: readonly string[],
    private readonly signal: AbortSignal,
  ) {}

  /**
   * Makes one call. Never rejects.
   *
   * @param call - What to read or write.
   * @param timeoutMs - Time after which the reply no longer counts.
   * @returns The reply; `unknown` when there was none.
   */
  async call(call: StoreCall, timeoutMs: number): Promise<StoreReply> {
    const exchange = exchangeOf(call);
    const address = this.addresses[this.next % this.addresses.length];
    try {
      const {status, text} = await this.exchange(address, exchange, timeoutMs);
      return replyOf(call, status, text);
    } catch (error) {
      this.next++;
      this.replaceConnections();
      return lost(error);
    }
  }

  private replaceConnections(): void {
    const old = this.agent;
    this.agent = new Agent({keepAlive: true, maxSockets: MAX_SOCKETS});
    for (const sockets of Object.values(old.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  private exchange(
    address: string,
    exchange: Exchange,
    timeoutMs: number,
  ): Promise<{status: number; text: string}> {
    return new Promise((resolve, reject) => {
      const outgoing = request(
        `http://${address}${exchange.path}`,
        {method: exchange.method, agent: this.agent, signal: this.signal},
        incoming => {
          readText(incoming)
            .then(text => resolve({status: incoming.statusCode ?? 0, text}))
            .catch(reject)
            .finally(() => clearTimeout(late));
        },
      );
      const late = setTimeout(
        () => outgoing.destroy(new Error('no reply in time')),
        timeoutMs,
      );
      outgoing.on('error', error => {
        clearTimeout(late);
        reject(error);
      });
      outgoing.end(exchange.body ?? undefined);
    });
  }
}

function exchangeOf(call: StoreCall): Exchange {
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

function post(path: string, body: unknown): Exchange {
  return {method: 'POST', path, body: JSON.stringify(body)};
}

function objectPath(name: string): string {
  return `/objects/${encodeURIComponent(name)}`;
}

async function readText(incoming: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of incoming) {
    const buffer = part as Buffer;
    bytes += buffer.length;
    if (bytes > MAX_REPLY_BYTES) throw new Error('reply too large');
    parts.push(buffer);
  }
  return Buffer.concat(parts).toString('utf8');
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

function lost(error: unknown): StoreReply {
  const detail = error instanceof Error ? error.message : String(error);
  const code = (error as {code?: string}).code;
  if (code === 'ECONNREFUSED') return {kind: 'refused', detail};
  return {kind: 'unknown', detail};
}
