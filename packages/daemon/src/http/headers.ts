/** @fileoverview Which headers go on from one hop to the next. */

import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';

import type {Header} from '@jackdawfall/core';

const PREFIX = 'x-jackdawfall-';

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Finds a header that a message carries once.
 *
 * @param incoming - The message.
 * @param name - Name in lower case.
 * @returns The value, or null if it is absent or a list.
 */
export function headerOf(
  incoming: IncomingMessage,
  name: string,
): string | null {
  const value = incoming.headers[name];
  return typeof value === 'string' ? value : null;
}

/**
 * Lists the headers that go on to the next hop. Headers in the system's own
 * name are dropped, so that no caller can pretend to be a daemon.
 *
 * @param headers - Headers as Node's parser gives them.
 * @returns Headers in lower case, in their order.
 */
export function endToEndHeaders(headers: IncomingHttpHeaders): Header[] {
  const named = connectionHeaders(headers.connection);
  const kept: Header[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || !goesOn(name, named)) continue;
    const values = Array.isArray(value) ? value : [value];
    for (const each of values) kept.push({name, value: each});
  }
  return kept;
}

/**
 * Turns headers into the form Node's writers take.
 *
 * @param headers - Headers, repeated ones next to each other or not.
 * @returns Values by name; repeated headers as lists.
 */
export function toHeaderRecord(
  headers: readonly Header[],
): Record<string, string | string[]> {
  const record: Record<string, string | string[]> = {};
  for (const {name, value} of headers) {
    const before = record[name];
    if (before === undefined) record[name] = value;
    else record[name] = [before, value].flat();
  }
  return record;
}

function goesOn(name: string, named: ReadonlySet<string>): boolean {
  if (HOP_BY_HOP.has(name) || named.has(name)) return false;
  return !name.startsWith(PREFIX);
}

function connectionHeaders(value: string | undefined): ReadonlySet<string> {
  const names = (value ?? '').split(',').map(name => name.trim().toLowerCase());
  return new Set(names);
}
