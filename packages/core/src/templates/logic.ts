/** @fileoverview Reading templates and filling in their parameters. */

import {z} from 'zod';

import type {Fault} from '../workspace/schema.js';
import {faultsOf} from '../workspace/schema.js';
import type {
  Expansion,
  Parameter,
  ParameterKind,
  ParameterValue,
  Template,
} from './types.js';

const REFERENCE = /\$\{([^}]*)\}/g;
const WHOLE_REFERENCE = /^\$\{([^}]*)\}$/;

const VALUES: Readonly<Record<ParameterKind, z.ZodType<ParameterValue>>> = {
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
      value === undefined || VALUES[type].safeParse(value).success,
    {path: ['default'], message: 'is not of the declared type'},
  );

const templateSchema: z.ZodType<Template> = z.strictObject({
  parameters: z.record(z.string(), parameterSchema),
  document: z.unknown(),
});

/**
 * Reads a template and checks that it uses the parameters it declares.
 *
 * @param text - The JSON text of the template.
 * @returns The template, or its faults by place.
 */
export function parseTemplate(
  text: string,
):
  | {readonly kind: 'ok'; readonly template: Template}
  | {readonly kind: 'invalid'; readonly faults: readonly Fault[]} {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    const message = `is no JSON: ${(error as Error).message}`;
    return {kind: 'invalid', faults: [{path: '', message}]};
  }
  const parsed = templateSchema.safeParse(value);
  if (!parsed.success) return {kind: 'invalid', faults: faultsOf(parsed.error)};
  const faults = checkReferences(parsed.data);
  if (faults.length > 0) return {kind: 'invalid', faults};
  return {kind: 'ok', template: parsed.data};
}

/**
 * Fills in the parameters of a template.
 *
 * @param template - A template read by `parseTemplate`.
 * @param parameters - JSON object with a value for each parameter.
 * @returns The document, or a fault for each missing, unknown or wrongly
 *     typed parameter.
 */
export function expandTemplate(
  template: Template,
  parameters: unknown,
): Expansion {
  const given = z.record(z.string(), z.unknown()).safeParse(parameters);
  if (!given.success) return {kind: 'invalid', faults: faultsOf(given.error)};
  const faults: Fault[] = [];
  const values = new Map<string, ParameterValue>();
  for (const name of Object.keys(given.data)) {
    if (Object.hasOwn(template.parameters, name)) continue;
    faults.push({path: name, message: 'is not a parameter of the template'});
  }
  for (const [name, parameter] of Object.entries(template.parameters)) {
    const value = readValue(given.data[name], parameter);
    if (value.kind === 'ok') values.set(name, value.value);
    else faults.push({path: name, message: value.message});
  }
  if (faults.length > 0) return {kind: 'invalid', faults};
  return {kind: 'ok', document: substitute(template.document, values)};
}

function readValue(
  given: unknown,
  parameter: Parameter,
):
  | {readonly kind: 'ok'; readonly value: ParameterValue}
  | {readonly kind: 'wrong'; readonly message: string} {
  const value = given ?? parameter.default;
  if (value === undefined) return {kind: 'wrong', message: 'is missing'};
  const parsed = VALUES[parameter.type].safeParse(value);
  if (parsed.success) return {kind: 'ok', value: parsed.data};
  const {path, message} = parsed.error.issues[0];
  const place = path.length > 0 ? ` at ${path.join('.')}` : '';
  return {
    kind: 'wrong',
    message: `must be of type ${parameter.type}${place}: ${message}`,
  };
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

function substituteText(
  text: string,
  values: ReadonlyMap<string, ParameterValue>,
): ParameterValue {
  const whole = WHOLE_REFERENCE.exec(text);
  if (whole) return values.get(whole[1]) ?? text;
  return text.replace(REFERENCE, (_, name: string) => String(values.get(name)));
}

function checkReferences(template: Template): readonly Fault[] {
  const faults: Fault[] = [];
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
