/** @fileoverview Reads and validates the settings file of a daemon. */

import {readFile} from 'node:fs/promises';

import {
  formatFaults,
  mergeTuning,
  parseDocument,
  tuningSchema,
} from '@jackdawfall/core';
import type {
  Address,
  ValidationFault,
  HostName,
  WorkspaceName,
  ZoneName,
} from '@jackdawfall/core';
import {z} from 'zod';

import type {Settings} from './types.js';

/** The settings are invalid; the message lists each fault with its path. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  /**
   * @param file - Name of the file, for the message.
   * @param faults - All faults with their paths in the file.
   */
  constructor(
    readonly file: string,
    readonly faults: readonly ValidationFault[],
  ) {
    super(`settings ${file} can't be used:\n${formatFaults(faults)}`);
  }
}

const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    'must be 1 to 63 lower-case letters, digits, dots or hyphens',
  );

const endpointSchema = z.strictObject({
  ip: z.union([z.ipv4(), z.ipv6()], 'must be an IP number'),
  port: z.int().min(0).max(65535),
});

const addressSchema = z
  .string()
  .refine(isAddress, 'must be an IP number and a port, as 127.0.0.1:7900')
  .transform(text => text as Address);

const settingsSchema: z.ZodType<Settings> = z.strictObject({
  workspace: nameSchema.transform(text => text as WorkspaceName),
  host: nameSchema.transform(text => text as HostName),
  zone: nameSchema.transform(text => text as ZoneName),
  callers: endpointSchema,
  links: endpointSchema,
  operators: endpointSchema,
  linkAddress: addressSchema.nullable().default(null),
  platform: z.strictObject({addresses: z.array(addressSchema).min(1)}),
  tuning: tuningSchema.default({}).transform(mergeTuning),
});

/**
 * Parses and validates the text of a settings file.
 *
 * @param text - The JSON text.
 * @param file - Name of the file, for the error message.
 * @returns The settings, with defaults for missing tuning values.
 * @throws SettingsError listing every fault.
 */
export function parseSettings(text: string, file: string): Settings {
  const read = parseDocument(text, settingsSchema);
  if (read.kind === 'ok') return read.value;
  throw new SettingsError(file, read.faults);
}

/**
 * Reads and validates a settings file.
 *
 * @param file - Path of the file.
 * @returns The settings, with defaults for missing tuning values.
 * @throws SettingsError if the file can't be read or is invalid.
 */
export async function readSettings(file: string): Promise<Settings> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    const message = `can't be read: ${(error as Error).message}`;
    throw new SettingsError(file, [{path: '', message}]);
  }
  return parseSettings(text, file);
}

function isAddress(text: string): boolean {
  const at = text.lastIndexOf(':');
  const ip = text.slice(0, at).replace(/^\[(.*)\]$/, '$1');
  const port = text.slice(at + 1);
  if (!/^\d{1,5}$/.test(port) || Number(port) > 65535) return false;
  return z.union([z.ipv4(), z.ipv6()]).safeParse(ip).success;
}

/**
 * Returns the address that peers connect to.
 *
 * @param settings - The daemon's settings.
 * @returns `ip:port`.
 */
export function linkAddressOf(settings: Settings): Address {
  const {ip, port} = settings.links;
  return settings.linkAddress ?? (`${ip}:${port}` as Address);
}
