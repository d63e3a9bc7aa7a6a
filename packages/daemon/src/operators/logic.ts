/**
 * @fileoverview The operators' port: commands, status, metrics, and the
 * announcements of the backend server beside this daemon.
 */

import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

import type {Announcement, Command} from '@jackdawfall/core';
import {z} from 'zod';

import {readBodyText} from '../http/body.js';
import type {DaemonPort} from '../adapters/types.js';

const MAX_BODY_BYTES = 4 * 1024 * 1024;

const ANNOUNCEMENT = z.object({
  instance: z.string().min(1),
  service: z.string().min(1),
  address: z.string().regex(/^[0-9.]+:\d+$/),
  slots: z.number().int().positive(),
  connections: z.number().int().positive(),
  checksGrants: z.boolean(),
  leaving: z.boolean(),
  coldStart: z
    .object({remainingMs: z.number().min(0), perSecond: z.number().min(0)})
    .nullable()
    .default(null),
});

const COMMAND = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('status')}),
  z.object({kind: z.literal('progress')}),
  z.object({kind: z.literal('map'), service: z.string()}),
  z.object({
    kind: z.literal('apply'),
    basedOn: z.number().int().nonnegative(),
    document: z.string(),
    by: z.string(),
  }),
  z.object({
    kind: z.literal('zone'),
    zone: z.string(),
    out: z.boolean(),
    by: z.string(),
  }),
  z.object({kind: z.literal('stopServer'), host: z.string(), by: z.string()}),
  z.object({kind: z.literal('endMember'), member: z.string(), by: z.string()}),
  z.object({kind: z.literal('audit'), limit: z.number().int().positive()}),
]);

/**
 * Creates the HTTP server of the operators' port; the caller lets it listen.
 *
 * @param actions - The running daemon.
 * @returns The server.
 */
export function createOperatorServer(actions: DaemonPort): Server {
  return createServer((incoming, outgoing) => {
    serve(actions, incoming, outgoing).catch((error: unknown) => {
      const detail = error instanceof Error ? error.message : String(error);
      answer(outgoing, 400, {kind: 'rejected', detail});
    });
  });
}

async function serve(
  actions: DaemonPort,
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): Promise<void> {
  const call = `${incoming.method} ${incoming.url}`;
  switch (call) {
    case 'POST /announce':
      actions.announce(await read(incoming, ANNOUNCEMENT, asAnnouncement));
      answer(outgoing, 204, null);
      return;
    case 'POST /commands': {
      const command = await read(incoming, COMMAND, asCommand);
      answer(outgoing, 200, await actions.command(command));
      return;
    }
    case 'GET /status':
      answer(outgoing, 200, actions.renderStatus());
      return;
    case 'GET /metrics':
      outgoing.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
      outgoing.end(actions.renderMetrics());
      return;
    case 'GET /ready':
      answerReady(outgoing, actions.unreadyReason());
      return;
    default:
      answer(outgoing, 404, {
        kind: 'rejected',
        detail: `no such call: ${call}`,
      });
  }
}

async function read<Checked, Result>(
  incoming: IncomingMessage,
  schema: z.ZodType<Checked>,
  convert: (checked: Checked) => Result,
): Promise<Result> {
  const value: unknown = JSON.parse(
    await readBodyText(incoming, MAX_BODY_BYTES),
  );
  const checked = schema.safeParse(value);
  if (!checked.success) throw new Error(z.prettifyError(checked.error));
  return convert(checked.data);
}

function asAnnouncement(checked: z.infer<typeof ANNOUNCEMENT>): Announcement {
  return checked as unknown as Announcement;
}

function asCommand(checked: z.infer<typeof COMMAND>): Command {
  return checked as unknown as Command;
}

function answerReady(outgoing: ServerResponse, reason: string | null): void {
  if (reason === null) answer(outgoing, 204, null);
  else answer(outgoing, 503, {kind: 'unavailable', detail: reason});
}

function answer(outgoing: ServerResponse, status: number, body: unknown): void {
  if (outgoing.headersSent) return;
  if (body === null) {
    outgoing.writeHead(status).end();
    return;
  }
  const text = JSON.stringify(body);
  outgoing.writeHead(status, {'content-type': 'application/json'}).end(text);
}
