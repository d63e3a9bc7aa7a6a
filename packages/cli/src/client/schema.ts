/** @fileoverview Schemas of daemons' responses; unknown keys are ignored. */

import type {
  AcceptedChange,
  AuditPage,
  CommandResult,
  MapView,
  Progress,
  Status,
} from '@jackdawfall/core';
import {z} from 'zod';

const detail = z.string();

/** The result of a command, as sent over HTTP. */
export const resultSchema: z.ZodType<CommandResult> = z.discriminatedUnion(
  'kind',
  [
    z.object({kind: z.literal('ok'), body: z.string()}),
    z.object({kind: z.literal('conflict'), detail}),
    z.object({kind: z.literal('rejected'), detail}),
    z.object({kind: z.literal('unavailable'), detail}),
    z.object({kind: z.literal('unknown'), detail}),
  ],
);

const server = z.object({
  service: z.string(),
  slots: z.number(),
  leaving: z.boolean(),
});

const member = z.object({
  member: z.string(),
  zone: z.string(),
  operators: z.string().nullable(),
  server: server.nullable(),
  owned: z.number(),
  standby: z.number(),
  draining: z.boolean(),
});

const service = z.object({
  service: z.string(),
  slices: z.number(),
  unowned: z.number(),
  withoutStandby: z.number(),
  moving: z.number(),
});

/** Body of `status`. */
export const statusSchema: z.ZodType<Status> = z.object({
  workspace: z.string(),
  member: z.string().nullable(),
  zone: z.string(),
  phase: z.string(),
  version: z.number(),
  configuration: z.number(),
  document: z.string().nullable(),
  coordinator: z.string().nullable(),
  lease: z.object({held: z.boolean(), grantors: z.array(z.string())}),
  storeReachable: z.boolean(),
  zonesOut: z.array(z.string()),
  members: z.array(member),
  services: z.array(service),
});

const sliceRange = z.object({
  first: z.number(),
  count: z.number(),
  owner: z.string().nullable(),
  standby: z.string().nullable(),
  generation: z.number(),
  moving: z.boolean(),
});

/** Body of `map`; `runs` are ranges of slices that are placed alike. */
export const mapSchema: z.ZodType<MapView> = z.object({
  service: z.string(),
  version: z.number(),
  runs: z.array(sliceRange),
});

/** Body of commands that change something. */
export const acceptedSchema: z.ZodType<AcceptedChange> = z.object({
  version: z.number(),
  configuration: z.number(),
});

/** Body of `progress`. */
export const progressSchema: z.ZodType<Progress> = z.object({
  member: z.string().nullable(),
  version: z.number(),
  configuration: z.number(),
});

const auditEntry = z.object({
  from: z.number(),
  to: z.number(),
  at: z.number(),
  by: z.string(),
  what: z.string(),
});

/** Body of `audit`. */
export const auditSchema: z.ZodType<AuditPage> = z.object({
  entries: z.array(auditEntry),
  searchedFrom: z.number(),
});
