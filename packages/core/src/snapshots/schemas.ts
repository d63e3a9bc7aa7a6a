/** @fileoverview Schemas of snapshots, which may have other writers. */

import {z} from 'zod';

import {addressSchema, nameSchema} from '../log/schemas.js';

/** Largest index of a member; the next one means "none". */
const MAX_INDEX = 0xfffe;

const memberSchema = z.looseObject({
  id: nameSchema,
  index: z.int().min(0).max(MAX_INDEX),
  zone: nameSchema,
  address: addressSchema,
  operators: addressSchema.nullable(),
  ringHash: z.number(),
  rankHash: z.number(),
  offer: z.looseObject({service: nameSchema, instance: nameSchema}).nullable(),
  draining: z.boolean(),
  awaited: z.boolean(),
});

const INDEX_BYTES = 2;
const GENERATION_BYTES = 4;

const serviceSchema = z
  .looseObject({
    name: nameSchema,
    slices: z.int().min(1),
    owner: z.string(),
    standby: z.string(),
    generation: z.string(),
    moves: z.array(z.tuple([z.int(), z.int()])),
    handovers: z.array(z.tuple([z.int(), nameSchema])),
  })
  .refine(
    ({slices, owner, standby, generation}) =>
      Buffer.byteLength(owner, 'base64') === slices * INDEX_BYTES &&
      Buffer.byteLength(standby, 'base64') === slices * INDEX_BYTES &&
      Buffer.byteLength(generation, 'base64') === slices * GENERATION_BYTES,
    {message: 'has arrays of a wrong length'},
  );

/** Schema of a snapshot of the map. */
export const mapSnapshotSchema = z.looseObject({
  version: z.int().min(0),
  revision: z.number(),
  era: z.int().min(1).optional(),
  members: z.array(memberSchema),
  ended: z.array(nameSchema),
  departures: z.array(z.tuple([nameSchema, nameSchema])).optional(),
  zonesOut: z.array(nameSchema),
  configuration: z
    .looseObject({number: z.int(), document: z.string()})
    .nullable(),
  services: z.array(serviceSchema),
});

/** Schema of the row that points to the latest snapshot. */
export const snapshotPointerSchema = z.looseObject({
  version: z.int().min(0),
  object: nameSchema,
  trimmedTo: z.int().min(0),
});
