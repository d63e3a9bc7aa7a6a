/** @fileoverview Filters and converts HTTP headers for forwarding. */

import {validateHeaderName, validateHeaderValue} from 'node:http';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';

import type {Header} from '@jackdawfall/core';

/** Prefix of the headers that daemons add for backend servers. */
const RESERVED_PREFIX = 'x-jackdawfall-';

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
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

/** What Node refuses to write in the path of a request. */
const INVALID_PATH_CHARACTERS = /[^\u0021-\u00ff]/;
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/**
 * Returns whether a path can be forwarded. Node's parser accepts paths that its
 * client throws on.
 *
 * @param path - Path of a request.
 * @returns Whether all its characters are valid.
 */
export function isValidPath(path: string): boolean {
  return !INVALID_PATH_CHARACTERS.test(path);
}

/**
 * Returns whether a status is that of a final response. Node's parser accepts
 * any three digits, and its server throws on those below 100.
 *
 * @param status - Status of a response.
 * @returns Whether it is from 200 to 599.
 */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}

/**
 * Returns whether headers can be forwarded. Node's parser accepts a space at
 * the end of a name, which its writer throws on.
 *
 * @param headers - Headers as received.
 * @returns Whether all names and values are valid.
 */
export function areValidHeaders(headers: readonly Header[]): boolean {
  try {
    for (const {name, value} of headers) {
      validateHeaderName(name);
      validateHeaderValue(name, value);
    }
    return true;
  } catch {
    return false;
  }
}

/**
 * Returns the value of a header that has a single value.
 *
 * @param incoming - The HTTP message.
 * @param name - Header name in lower case.
 * @returns The value, or null if the header is absent or has several values.
 */
export function headerOf(
  incoming: IncomingMessage,
  name: string,
): string | null {
  const value = incoming.headers[name];
  return typeof value === 'string' ? value : null;
}

/**
 * Lists the end-to-end headers, which are forwarded to the next hop. Headers
 * with the reserved prefix are dropped, so that no caller can impersonate a
 * daemon.
 *
 * @param headers - Headers as parsed by Node.
 * @returns Headers with lower-case names, in their original order.
 */
export function endToEndHeaders(headers: IncomingHttpHeaders): Header[] {
  const connectionNamed = headersNamedByConnection(headers.connection);
  const kept: Header[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || !isEndToEnd(name, connectionNamed)) continue;
    const values = Array.isArray(value) ? value : [value];
    for (const each of values) kept.push({name, value: each});
  }
  return kept;
}

/**
 * Converts a header list to the record that Node's HTTP API takes.
 *
 * @param headers - Headers; a name may occur several times.
 * @returns Values by name; repeated headers become arrays.
 */
export function toHeaderRecord(
  headers: readonly Header[],
): Record<string, string | string[]> {
  const record: Record<string, string | string[]> = {};
  for (const {name, value} of headers) {
    const existing = record[name];
    if (existing === undefined) record[name] = value;
    else record[name] = [existing, value].flat();
  }
  return record;
}

function isEndToEnd(
  name: string,
  connectionNamed: ReadonlySet<string>,
): boolean {
  if (HOP_BY_HOP_HEADERS.has(name) || connectionNamed.has(name)) return false;
  return !name.startsWith(RESERVED_PREFIX);
}

/** Header names listed by `Connection` are hop-by-hop too (RFC 9110, 7.6.1). */
function headersNamedByConnection(
  value: string | undefined,
): ReadonlySet<string> {
  const names = (value ?? '').split(',').map(name => name.trim().toLowerCase());
  return new Set(names);
}
