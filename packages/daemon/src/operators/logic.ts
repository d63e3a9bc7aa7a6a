/**
 * @fileoverview HTTP server on the operators' port: commands, status, metrics,
 * readiness, and announcements of the local backend server.
 */

import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

import type {Announcement, Command} from '@jackdawfall/core';
import {z} from 'zod';

import {readBodyText} from '../http/body.js';
import type {DaemonPort} from '../adapters/types.js';

const MAX_BODY_BYTES = 4 * 1024 * 1024;

const ANNOUNCEMENT_SCHEMA = z.object({
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

const COMMAND_SCHEMA = z.discriminatedUnion('kind', [
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
 * Creates the HTTP server for the operators' port, which isn't listening yet.
 *
 * @param daemon - The running daemon.
 * @returns The server.
 */
export function createOperatorServer(daemon: DaemonPort): Server {
  return createServer((incoming, outgoing) => {
    serve(daemon, incoming, outgoing).catch((error: unknown) => {
      const detail = error instanceof Error ? error.message : String(error);
      respond(outgoing, 400, {kind: 'rejected', detail});
    });
  });
}

async function serve(
  daemon: DaemonPort,
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): Promise<void> {
  const call = `${incoming.method} ${incoming.url}`;
  switch (call) {
    case 'POST /announce':
      daemon.announce(
        await readJson(incoming, ANNOUNCEMENT_SCHEMA, asAnnouncement),
      );
      respond(outgoing, 204, null);
      return;
    case 'POST /commands': {
      const command = await readJson(incoming, COMMAND_SCHEMA, asCommand);
      respond(outgoing, 200, await daemon.command(command));
      return;
    }
    case 'GET /status':
      respond(outgoing, 200, daemon.renderStatus());
      return;
    case 'GET /metrics':
      outgoing.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
      outgoing.end(daemon.renderMetrics());
      return;
    case 'GET /ready':
      respondReadiness(outgoing, daemon.unreadyReason());
      return;
    default:
      respond(outgoing, 404, {
        kind: 'rejected',
        detail: `no such call: ${call}`,
      });
  }
}

async function readJson<Checked, Result>(
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

function asAnnouncement(
  checked: z.infer<typeof ANNOUNCEMENT_SCHEMA>,
): Announcement {
  return checked as unknown as Announcement;
}

function asCommand(checked: z.infer<typeof COMMAND_SCHEMA>): Command {
  return checked as unknown as Command;
}

function respondReadiness(
  outgoing: ServerResponse,
  reason: string | null,
): void {
  if (reason === null) respond(outgoing, 204, null);
  else respond(outgoing, 503, {kind: 'unavailable', detail: reason});
}

function respond(
  outgoing: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (outgoing.headersSent) return;
  if (body === null) {
    outgoing.writeHead(status).end();
    return;
  }
  const text = JSON.stringify(body);
  outgoing.writeHead(status, {'content-type': 'application/json'}).end(text);
}
