/** @fileoverview Parses templates and expands them with parameters. */

import {z} from 'zod';

import {parseDocument, validateValue} from '../validation/logic.js';
import type {ValidationFault, ParseResult} from '../validation/types.js';
import type {
  Expansion,
  Parameter,
  ParameterKind,
  ParameterValue,
  Template,
} from './types.js';

const REFERENCE = /\$\{([^}]*)\}/g;
const WHOLE_REFERENCE = /^\$\{([^}]*)\}$/;

const VALUE_SCHEMAS: Readonly<
  Record<ParameterKind, z.ZodType<ParameterValue>>
> = {
  string: z.string(),
  integer: z.int(),
  number: z.number(),
  boolean: z.boolean(),
  strings: z.array(z.string()),
};

const parameterSchema = z
  .strictObject({
    type: z.enum(['string', 'integer', 'number', 'boolean', 'strings']),
    description: z.string(),
    default: z
      .union([z.string(), z.number(), z.boolean(), z.array(z.string())])
      .optional(),
  })
  .refine(
    ({type, default: value}) =>
      value === undefined || VALUE_SCHEMAS[type].safeParse(value).success,
    {path: ['default'], message: 'is not of the declared type'},
  );

const templateSchema: z.ZodType<Template> = z.strictObject({
  parameters: z.record(z.string(), parameterSchema),
  document: z.unknown(),
});

const parametersSchema = z.record(z.string(), z.unknown());

/**
 * Parses a template and checks that it declares every parameter it refers to
 * and refers to every parameter it declares.
 *
 * @param text - The JSON text of the template.
 * @returns The template, or every fault with its place.
 */
export function parseTemplate(text: string): ParseResult<Template> {
  const read = parseDocument(text, templateSchema);
  if (read.kind === 'invalid') return read;
  const faults = checkReferences(read.value);
  return faults.length > 0 ? {kind: 'invalid', faults} : read;
}

/**
 * Expands a template with values for its parameters.
 *
 * @param template - A template from `parseTemplate`.
 * @param parameters - JSON object with the values by parameter name.
 * @returns The document, or a fault for each missing, unknown or wrongly
 *     typed parameter.
 */
export function expandTemplate(
  template: Template,
  parameters: unknown,
): Expansion {
  const given = validateValue(parameters, parametersSchema);
  if (given.kind === 'invalid') return given;
  const faults: ValidationFault[] = [];
  const values = new Map<string, ParameterValue>();
  for (const name of Object.keys(given.value)) {
    if (Object.hasOwn(template.parameters, name)) continue;
    faults.push({path: name, message: 'is not a parameter of the template'});
  }
  for (const [name, parameter] of Object.entries(template.parameters)) {
    const value = given.value[name] ?? parameter.default;
    const fault = checkValue(value, parameter);
    if (fault !== null) faults.push({path: name, message: fault});
    else values.set(name, value as ParameterValue);
  }
  if (faults.length > 0) return {kind: 'invalid', faults};
  return {kind: 'ok', document: substitute(template.document, values)};
}

/** Returns what is wrong with a value, or null. */
function checkValue(value: unknown, parameter: Parameter): string | null {
  if (value === undefined) return 'is missing';
  const read = validateValue(value, VALUE_SCHEMAS[parameter.type]);
  if (read.kind === 'ok') return null;
  const [{path, message}] = read.faults;
  const place = path === '' ? '' : ` at ${path}`;
  return `must be of type ${parameter.type}${place}: ${message}`;
}

function substitute(
  value: unknown,
  values: ReadonlyMap<string, ParameterValue>,
): unknown {
  if (typeof value === 'string') return substituteText(value, values);
  if (Array.isArray(value)) return value.map(item => substitute(item, values));
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value).map(([key, item]) => [
    key,
    substitute(item, values),
  ]);
  return Object.fromEntries(entries) as unknown;
}

/**
 * A text that is a single reference becomes the value with its own type;
 * references within a longer text are replaced by text.
 */
function substituteText(
  text: string,
  values: ReadonlyMap<string, ParameterValue>,
): ParameterValue {
  const whole = WHOLE_REFERENCE.exec(text);
  if (whole) return values.get(whole[1]) ?? text;
  return text.replace(REFERENCE, (_, name: string) => String(values.get(name)));
}

function checkReferences(template: Template): readonly ValidationFault[] {
  const faults: ValidationFault[] = [];
  const used = new Set<string>();
  visitTexts(template.document, 'document', (text, path) => {
    const isWhole = WHOLE_REFERENCE.test(text);
    for (const [, name] of text.matchAll(REFERENCE)) {
      used.add(name);
      const fault = checkReference(template, name, isWhole);
      if (fault) faults.push({path, message: fault});
    }
  });
  for (const name of Object.keys(template.parameters)) {
    if (used.has(name)) continue;
    faults.push({path: `parameters.${name}`, message: 'is never used'});
  }
  return faults;
}

/** Returns what is wrong with a reference to a parameter, or null. */
function checkReference(
  template: Template,
  name: string,
  isWhole: boolean,
): string | null {
  if (!Object.hasOwn(template.parameters, name)) {
    return `uses the undeclared parameter "${name}"`;
  }
  if (!isWhole && template.parameters[name].type === 'strings') {
    return `a list such as "${name}" must stand alone`;
  }
  return null;
}

function visitTexts(
  value: unknown,
  path: string,
  visit: (text: string, path: string) => void,
): void {
  if (typeof value === 'string') visit(value, path);
  if (typeof value !== 'object' || value === null) return;
  for (const [key, item] of Object.entries(value)) {
    visitTexts(item, `${path}.${key}`, visit);
  }
}
