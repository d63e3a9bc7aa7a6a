/** @fileoverview The control port that every emulator process offers. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';

import type {ZodType} from 'zod';

import {listen, readText, sendJson} from './logic.js';

const MAX_COMMAND_BYTES = 65536;

/** What a process offers on its control port. */
export interface ControlPort<Command> {
  /** Port to listen on; 0 for any free port. */
  readonly port: number;
  /** Schema of the commands. */
  readonly commands: ZodType<Command>;
  /** Executes one command. */
  readonly execute: (order: Command) => void | Promise<void>;
  /** Returns the record of what the process has done, as a JSON value. */
  readonly ledger: () => unknown;
}

/**
 * Starts the control port, which serves `POST /control`, `GET /ledger` and
 * `GET /ready`.
 *
 * @param control - Commands and ledger of the process.
 * @param signal - Closes the port.
 * @returns The port it listens on.
 */
export function startControlPort<Command>(
  control: ControlPort<Command>,
  signal: AbortSignal,
): Promise<number> {
  const server = createServer((request, response) => {
    handleRequest(control, request, response).catch((error: unknown) => {
      sendJson(response, 500, {detail: String(error)});
    });
  });
  return listen(server, control.port, signal);
}

async function handleRequest<Command>(
  control: ControlPort<Command>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const name = `${request.method} ${request.url}`;
  if (name === 'GET /ready') {
    response.writeHead(204).end();
    return;
  }
  if (name === 'GET /ledger') {
    sendJson(response, 200, control.ledger());
    return;
  }
  if (name !== 'POST /control') {
    sendJson(response, 404, {detail: `no such operation: ${name}`});
    return;
  }
  await handleCommand(control, request, response);
}

async function handleCommand<Command>(
  control: ControlPort<Command>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const text = await readText(request, MAX_COMMAND_BYTES);
  const parsed = control.commands.safeParse(parseJson(text));
  if (!parsed.success) {
    sendJson(response, 400, {issues: parsed.error.issues});
    return;
  }
  await control.execute(parsed.data);
  response.writeHead(204).end();
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}
