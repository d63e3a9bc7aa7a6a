/** @fileoverview Parsing and validation of JSON documents against a schema. */

import type {z} from 'zod';

import type {ParseResult, ValidationFault} from './types.js';

/**
 * Parses a JSON document and validates it.
 *
 * @param text - The JSON text.
 * @param schema - The schema.
 * @returns The value, or every error with its path.
 */
export function parseDocument<T>(
  text: string,
  schema: z.ZodType<T>,
): ParseResult<T> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    const message = `is no JSON: ${(error as Error).message}`;
    return {kind: 'invalid', faults: [{path: '', message}]};
  }
  return validateValue(value, schema);
}

/**
 * Validates a JSON value.
 *
 * @param value - The value.
 * @param schema - The schema.
 * @returns The value, or every error with its path.
 */
export function validateValue<T>(
  value: unknown,
  schema: z.ZodType<T>,
): ParseResult<T> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return {kind: 'ok', value: parsed.data};
  const faults = parsed.error.issues.map(issue => ({
    path: issue.path.join('.'),
    message: messageOf(issue),
  }));
  return {kind: 'invalid', faults};
}

function messageOf({code, message}: z.core.$ZodIssue): string {
  const isMissing =
    code === 'invalid_type' && message.endsWith('received undefined');
  return isMissing ? 'is missing' : message;
}

/**
 * Formats errors for people.
 *
 * @param faults - The errors.
 * @returns One indented line for each.
 */
export function formatFaults(faults: readonly ValidationFault[]): string {
  return faults
    .map(({path, message}) =>
      path === '' ? `  ${message}` : `  ${path}: ${message}`,
    )
    .join('\n');
}
