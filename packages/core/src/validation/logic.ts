/** @fileoverview Parsing and validation of JSON documents against a schema. */

import type {z} from 'zod';

import type {ParseResult, ValidationFault} from './types.js';

/**
 * Maximum nesting of documents. Deeper ones can be parsed, but not serialized
 * again.
 */
const MAX_DEPTH = 64;

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
  if (isNestedTooDeeply(text)) {
    const message = `is nested more than ${MAX_DEPTH} levels deep`;
    return {kind: 'invalid', faults: [{path: '', message}]};
  }
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

/** Scans the text once, so that its cost is linear also if it is no JSON. */
function isNestedTooDeeply(text: string): boolean {
  let depth = 0;
  let inString = false;
  for (let index = 0; index < text.length; index++) {
    const character = text[index];
    if (inString) {
      if (character === '\\') index += 1;
      else if (character === '"') inString = false;
      continue;
    }
    if (character === '"') inString = true;
    else if (character === '[' || character === '{') depth += 1;
    else if (character === ']' || character === '}') depth -= 1;
    if (depth > MAX_DEPTH) return true;
  }
  return false;
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
