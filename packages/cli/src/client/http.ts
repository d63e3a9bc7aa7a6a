/** @fileoverview Sending one command to one daemon over HTTP. */

import {request as openRequest} from 'node:http';
import type {ClientRequest, IncomingMessage} from 'node:http';

import type {Command, CommandResult} from '@jackdawfall/core';
import {formatFaults, parseDocument} from '@jackdawfall/core';

import {resultSchema} from './schema.js';
import type {ClientSettings} from './types.js';

/** Maximum size of a response. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_UNAVAILABLE = 503;

/**
 * Sends one command to one daemon.
 *
 * @param daemon - Address of its operators port, as `ip:port`.
 * @param command - The command.
 * @param settings - Timeouts, and the signal that aborts the request.
 * @returns The daemon's result. `unavailable` if it was never reached;
 * `unknown` if it may have received the command.
 */
export function sendCommand(
  daemon: string,
  command: Command,
  settings: ClientSettings,
): Promise<CommandResult> {
  return new Promise(resolve => {
    const request = openRequest(`http://${daemon}/commands`, {
      method: 'POST',
      agent: false,
      headers: {'content-type': 'application/json'},
      signal: settings.signal,
    });
    const isConnected = watchTimeouts(request, settings);
    const fail = (error: Error): void => {
      const kind = isConnected() ? 'unknown' : 'unavailable';
      resolve({kind, detail: error.message});
      request.destroy();
    };
    request.on('error', fail);
    request.on('response', response => {
      readResponse(response).then(
        text => resolve(parseResult(response.statusCode ?? 0, text)),
        fail,
      );
    });
    request.end(JSON.stringify(command));
  });
}

/**
 * Aborts the request when it takes too long. Returns a function that
 * returns whether the connection was ever open.
 */
function watchTimeouts(
  request: ClientRequest,
  {connectTimeoutMs, timeoutMs}: ClientSettings,
): () => boolean {
  let connected = false;
  const end = (what: string, afterMs: number): void => {
    request.destroy(new Error(`${what} within ${afterMs} ms`));
  };
  const connecting = setTimeout(
    () => end('no connection', connectTimeoutMs),
    connectTimeoutMs,
  );
  const answering = setTimeout(() => end('no answer', timeoutMs), timeoutMs);
  request.on('socket', socket => {
    socket.once('connect', () => {
      connected = true;
      clearTimeout(connecting);
    });
  });
  request.once('close', () => {
    clearTimeout(connecting);
    clearTimeout(answering);
  });
  return () => connected;
}

async function readResponse(response: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of response) {
    chunks.push(chunk as Buffer);
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_RESPONSE_BYTES) throw new Error('the answer is too long');
  }
  return Buffer.concat(chunks).toString('utf8');
}

function parseResult(status: number, text: string): CommandResult {
  const said = `HTTP ${status} ${text.slice(0, 200)}`.trimEnd();
  if (status === HTTP_BAD_REQUEST) return {kind: 'rejected', detail: said};
  if (status === HTTP_UNAVAILABLE) return {kind: 'unavailable', detail: said};
  if (status !== HTTP_OK) return {kind: 'unknown', detail: said};
  const read = parseDocument(text, resultSchema);
  if (read.kind === 'ok') return read.value;
  const detail = `unreadable answer:\n${formatFaults(read.faults)}`;
  return {kind: 'unknown', detail};
}
