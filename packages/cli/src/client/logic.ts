/** @fileoverview Commands to whichever daemon answers. */

import type {Command, CommandResult} from '@jackdawfall/core';
import {formatFaults, parseDocument} from '@jackdawfall/core';
import type {z} from 'zod';

import {exchange} from './exchange.js';
import {
  acceptedSchema,
  auditSchema,
  mapSchema,
  progressSchema,
  statusSchema,
} from './schema.js';
import type {Client, ClientSettings, Reply} from './types.js';

/**
 * Creates a client.
 *
 * @param settings - Daemons to try, timeouts and the signal that ends it.
 * @returns The client.
 */
export function createClient(settings: ClientSettings): Client {
  const ask = async <T>(
    command: Command,
    schema: z.ZodType<T>,
    asked: ClientSettings = settings,
  ): Promise<Reply<T>> => readBody(await askInTurn(command, asked), schema);
  return {
    status: (timeoutMs = settings.timeoutMs) =>
      ask({kind: 'status'}, statusSchema, {...settings, timeoutMs}),
    progressOf: (daemon, timeoutMs) =>
      ask({kind: 'progress'}, progressSchema, {
        ...settings,
        daemons: [daemon],
        timeoutMs,
      }),
    map: service => ask({kind: 'map', service: service as never}, mapSchema),
    audit: limit => ask({kind: 'audit', limit}, auditSchema),
    change: command => ask(command, acceptedSchema),
  };
}

/** A change whose fate is unknown is never sent to a second daemon. */
async function askInTurn(
  command: Command,
  settings: ClientSettings,
): Promise<CommandResult> {
  const details: string[] = [];
  const deadline = performance.now() + settings.timeoutMs;
  for (const daemon of settings.daemons) {
    if (performance.now() > deadline) break;
    const result = await exchange(daemon, command, settings);
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

function readBody<T>(result: CommandResult, schema: z.ZodType<T>): Reply<T> {
  if (result.kind !== 'ok') return result;
  const read = parseDocument(result.body, schema);
  if (read.kind === 'ok') return read;
  const faults = formatFaults(read.faults);
  return {kind: 'unknown', detail: `the answer can't be read:\n${faults}`};
}
