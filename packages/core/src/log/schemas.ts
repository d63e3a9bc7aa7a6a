/**
 * @fileoverview Schemas of log entries. Rows of the store may have other writers,
 * and every daemon must take or skip an entry alike, so that a schema may become
 * wider in a later version, but not narrower. Unknown fields are kept.
 */

import {z} from 'zod';

import {parseWorkspace} from '../workspace/schema.js';

/** Limit on names, ids, tokens and addresses. */
const MAX_NAME_CHARACTERS = 1024;
const MAX_PORT = 65_535;
/** Maximum number of slices of a service. */
const MAX_SLICES = 131_072;
const MAX_SLOTS = 65_535;

/** A name, id or token. */
export const nameSchema = z.string().max(MAX_NAME_CHARACTERS);

/** `ip:port`, or an empty text. */
export const addressSchema = nameSchema.refine(hasValidPort, {
  message: 'has no valid port',
});

const sliceSchema = z
  .int()
  .min(0)
  .max(MAX_SLICES - 1);
const countSchema = z.int().min(0).max(MAX_SLICES);

const joinedSchema = z.looseObject({
  kind: z.literal('joined'),
  member: nameSchema,
  zone: nameSchema,
  address: addressSchema,
  operators: addressSchema.nullable(),
  replaces: nameSchema.nullable(),
  grantors: z.array(nameSchema).optional(),
});

const offeredSchema = z.looseObject({
  kind: z.literal('offered'),
  member: nameSchema,
  service: nameSchema,
  instance: nameSchema,
  slots: z.int().min(0).max(MAX_SLOTS),
  leaving: z.boolean(),
});

const releasedSchema = z.looseObject({
  kind: z.literal('released'),
  service: nameSchema,
  slices: z.array(sliceSchema),
  handovers: z.array(z.looseObject({slice: sliceSchema, token: nameSchema})),
});

const combinedSchema = z.looseObject({
  kind: z.literal('combined'),
  changes: z.array(
    z.discriminatedUnion('kind', [joinedSchema, offeredSchema, releasedSchema]),
  ),
});

const configuredFields = {
  kind: z.literal('configured'),
  number: z.int().min(0),
};

/** Schema of all changes but new configurations. */
const otherChangeSchema = z.discriminatedUnion('kind', [
  joinedSchema,
  offeredSchema,
  releasedSchema,
  combinedSchema,
  z.looseObject({kind: z.literal('ended'), members: z.array(nameSchema)}),
  z.looseObject({kind: z.literal('withdrawn'), member: nameSchema}),
  z.looseObject({kind: z.literal('draining'), member: nameSchema}),
  z.looseObject({
    kind: z.literal('placed'),
    service: nameSchema,
    slices: z.int().min(1).max(MAX_SLICES),
    runs: z.array(
      z.looseObject({
        first: sliceSchema,
        count: countSchema,
        owner: nameSchema,
        standby: nameSchema.nullable(),
      }),
    ),
  }),
  z.looseObject({
    kind: z.literal('moving'),
    service: nameSchema,
    moves: z.array(
      z.looseObject({first: sliceSchema, count: countSchema, to: nameSchema}),
    ),
  }),
  z.looseObject({
    kind: z.literal('zone'),
    zone: nameSchema,
    out: z.boolean(),
  }),
  z.looseObject({kind: z.literal('unreadable')}),
]);

const changeSchema = z.union([
  otherChangeSchema,
  z.looseObject({
    ...configuredFields,
    document: z.string().refine(isWorkspace, {message: 'is no workspace'}),
  }),
]);

/** Schema of rows of the audit trail, which leave out documents. */
export const auditRowSchema = z.object({
  by: nameSchema,
  at: z.number(),
  from: z.int().min(0),
  to: z.int().min(0),
  what: z.union([otherChangeSchema, z.looseObject(configuredFields)]),
});

/** Schema of an entry. */
export const entrySchema = z.looseObject({
  version: z.int().min(1),
  writeId: nameSchema,
  by: nameSchema,
  at: z.number(),
  change: changeSchema,
  era: z.int().min(1).optional(),
});

function hasValidPort(address: string): boolean {
  const port = Number(address.slice(address.lastIndexOf(':') + 1));
  return Number.isInteger(port) && port >= 0 && port <= MAX_PORT;
}

function isWorkspace(document: string): boolean {
  return parseWorkspace(document).kind === 'ok';
}
