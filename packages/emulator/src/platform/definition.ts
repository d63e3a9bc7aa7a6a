/** @fileoverview Emulated platform: table and object store over HTTP. */

import type {PlatformState} from './state.js';
import type {PlatformOptions, PlatformPorts} from './types.js';
import type {Random} from '../control/logic.js';
import type {TableQuery, Transaction} from '@jackdawfall/core';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';

import {startControlPort} from '../control/definition.js';
import {
  listen,
  readText,
  seededRandom,
  sendJson,
  sleep,
} from '../control/logic.js';
import {admitCall, commit, executeCommand, read} from './logic.js';
import {createPlatformState} from './state.js';
import {PLATFORM_COMMANDS} from './types.js';

const MAX_BODY_BYTES = 16 * 1024 * 1024;
const OBJECTS = '/objects/';

interface Platform {
  readonly state: PlatformState;
  readonly random: Random;
  readonly signal: AbortSignal;
}

/** Sends the response of an operation that has taken effect. */
type SendReply = () => void;

/**
 * Starts an emulated platform in this process.
 *
 * @param options - Ports and seed.
 * @param signal - Stops the platform.
 * @returns The ports that it listens on.
 */
export async function startPlatform(
  options: PlatformOptions,
  signal: AbortSignal,
): Promise<PlatformPorts> {
  const state = createPlatformState();
  const platform = {state, random: seededRandom(options.seed), signal};
  const server = createServer((request, response) => {
    handle(platform, request, response).catch((error: unknown) => {
      if (response.headersSent) response.destroy();
      else sendJson(response, 400, {detail: String(error)});
    });
  });
  const port = await listen(server, options.port, signal);
  const controlPort = await startControlPort(
    {
      port: options.controlPort,
      commands: PLATFORM_COMMANDS,
      execute: command => executeCommand(state, command),
      ledger: () => ({...state.ledger, revision: state.revision}),
    },
    signal,
  );
  return {port, controlPort};
}

async function handle(
  platform: Platform,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const {state, random, signal} = platform;
  const text = await readText(request, MAX_BODY_BYTES);
  const kind = isWrite(request) ? 'write' : 'read';
  if (state.faults.outage === 'hang') {
    state.ledger.hung++;
    return;
  }
  if (state.faults.outage === 'refuse') {
    refuse(state, response, 503);
    return;
  }
  if (!admitCall(state, kind, Date.now())) {
    refuse(state, response, 429);
    return;
  }
  await sleep(state.faults.latencyMs, signal);
  const {faults} = state;
  if (kind === 'write' && random() < faults.delayedWrites) {
    state.ledger.delayedWrites++;
    await sleep(faults.delayMs, signal);
  }
  if (signal.aborted) return;
  const sendReply = performOperation(state, request, response, text);
  if (kind === 'write' && random() < faults.lostReplies) {
    state.ledger.lostReplies++;
    return;
  }
  sendReply();
}

function isWrite(request: IncomingMessage): boolean {
  return request.url === '/table/commit' || request.method === 'PUT';
}

function refuse(
  state: PlatformState,
  response: ServerResponse,
  status: number,
): void {
  state.ledger.refused++;
  sendJson(response, status, {kind: 'refused'});
}

function performOperation(
  state: PlatformState,
  request: IncomingMessage,
  response: ServerResponse,
  text: string,
): SendReply {
  const url = request.url ?? '';
  const name = `${request.method} ${url}`;
  if (name === 'POST /table/commit') {
    const outcome = commit(state, JSON.parse(text) as Transaction);
    const status = outcome.kind === 'committed' ? 200 : 409;
    return () => sendJson(response, status, outcome);
  }
  if (name === 'POST /table/read') {
    state.ledger.reads++;
    const rows = read(state, JSON.parse(text) as TableQuery);
    return () => sendJson(response, 200, {kind: 'rows', rows});
  }
  if (url.startsWith(OBJECTS)) {
    return performObjectOperation(state, request, response, text);
  }
  return () => sendJson(response, 404, {detail: `no such operation: ${name}`});
}

function performObjectOperation(
  state: PlatformState,
  request: IncomingMessage,
  response: ServerResponse,
  text: string,
): SendReply {
  const key = decodeURIComponent((request.url ?? '').slice(OBJECTS.length));
  if (request.method === 'PUT') {
    state.ledger.objectWrites++;
    state.objects.set(key, text);
    return () => response.writeHead(204).end();
  }
  state.ledger.objectReads++;
  const body = state.objects.get(key);
  if (body === undefined) {
    return () => sendJson(response, 404, {detail: `no object ${key}`});
  }
  return () =>
    response.writeHead(200, {'content-type': 'text/plain'}).end(body);
}
