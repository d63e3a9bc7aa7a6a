/**
 * @fileoverview A client that sends commands to the first daemon it reaches.
 */

import type {Command, CommandResult} from '@jackdawfall/core';
import {formatFaults, parseDocument} from '@jackdawfall/core';
import type {z} from 'zod';

import {sendCommand} from './http.js';
import {
  acceptedSchema,
  auditSchema,
  mapSchema,
  progressSchema,
  statusSchema,
} from './schema.js';
import type {Client, ClientSettings, CommandReply} from './types.js';

/**
 * Creates a client.
 *
 * @param settings - Daemons to try, timeouts and the signal that aborts
 * requests.
 * @returns The client.
 */
export function createClient(settings: ClientSettings): Client {
  const send = async <T>(
    command: Command,
    schema: z.ZodType<T>,
    requestSettings: ClientSettings = settings,
  ): Promise<CommandReply<T>> =>
    parseBody(await sendToDaemons(command, requestSettings), schema);
  return {
    status: (timeoutMs = settings.timeoutMs) =>
      send({kind: 'status'}, statusSchema, {...settings, timeoutMs}),
    progressOf: (daemon, timeoutMs) =>
      send({kind: 'progress'}, progressSchema, {
        ...settings,
        daemons: [daemon],
        timeoutMs,
      }),
    map: service => send({kind: 'map', service: service as never}, mapSchema),
    audit: limit => send({kind: 'audit', limit}, auditSchema),
    change: command => send(command, acceptedSchema),
  };
}

/**
 * Sends a command to one daemon after the other until one has a result. A
 * change of unknown result is never sent to a second daemon.
 */
async function sendToDaemons(
  command: Command,
  settings: ClientSettings,
): Promise<CommandResult> {
  const details: string[] = [];
  const deadline = performance.now() + settings.timeoutMs;
  for (const daemon of settings.daemons) {
    if (performance.now() > deadline) break;
    const result = await sendCommand(daemon, command, settings);
    switch (result.kind) {
      case 'ok':
      case 'conflict':
      case 'rejected':
        return result;
      case 'unknown':
        if (!isRead(command)) return result;
        details.push(`${daemon}: ${result.detail}`);
        break;
      case 'unavailable':
        details.push(`${daemon}: ${result.detail}`);
        break;
    }
  }
  return {kind: 'unavailable', detail: details.join('\n')};
}

function isRead({kind}: Command): boolean {
  switch (kind) {
    case 'status':
    case 'progress':
    case 'map':
    case 'audit':
      return true;
    case 'apply':
    case 'zone':
    case 'stopServer':
    case 'endMember':
      return false;
  }
}

function parseBody<T>(
  result: CommandResult,
  schema: z.ZodType<T>,
): CommandReply<T> {
  if (result.kind !== 'ok') return result;
  const read = parseDocument(result.body, schema);
  if (read.kind === 'ok') return read;
  const faults = formatFaults(read.faults);
  return {kind: 'unknown', detail: `the answer can't be read:\n${faults}`};
}
