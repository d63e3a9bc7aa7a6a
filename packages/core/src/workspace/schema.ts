/** @fileoverview Schema and validation of the configuration document. */

import {z} from 'zod';

import {parseDocument} from '../validation/logic.js';
import type {ValidationFault} from '../validation/types.js';
import type {
  ServiceName,
  TenantName,
  WorkspaceName,
  ZoneName,
} from '../ids/types.js';
import type {Workspace} from './types.js';

/** Maximum number of slices of a service. */
export const MAX_SLICES = 131072;

const MAX_TIMEOUT_MS = 600_000;
const MAX_BODY_BYTES = 64 * 1024 * 1024;
const MAX_KEY_BYTES = 4096;
const MAX_DRAIN_MS = 60_000;
/** The default of Node's HTTP server, in milliseconds. */
const DEFAULT_IDLE_MS = 5000;

/** The result of reading a configuration document. */
export type ParsedWorkspace =
  | {readonly kind: 'ok'; readonly workspace: Workspace}
  | {readonly kind: 'invalid'; readonly faults: readonly ValidationFault[]};

const nameText = z
  .string()
  .regex(
    /^[a-z][a-z0-9-]{0,62}$/,
    'must be 1 to 63 lower-case letters, digits or hyphens, a letter first',
  );

const workspaceName = nameText.transform(text => text as WorkspaceName);
const serviceName = nameText.transform(text => text as ServiceName);
const zoneName = nameText.transform(text => text as ZoneName);
const tenantName = nameText.transform(text => text as TenantName);

const keySource = z.discriminatedUnion('from', [
  z.strictObject({
    from: z.literal('path'),
    name: z.string().regex(/^[A-Za-z][A-Za-z0-9]*$/),
  }),
  z.strictObject({
    from: z.literal('header'),
    name: z.string().regex(/^[a-z0-9-]+$/, 'must be a header in lower case'),
  }),
]);

const division = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('keyed'),
    slices: z.int().min(1).max(MAX_SLICES),
    key: keySource,
    keys: z.int().min(1).nullable().default(null),
  }),
  z.strictObject({kind: z.literal('shared')}),
]);

const service = z.strictObject({
  name: serviceName,
  division,
  upstreams: z.int().min(1),
});

const route = z.strictObject({
  host: z.string().min(1).nullable().default(null),
  method: z
    .string()
    .regex(/^([A-Z]+|\*)$/, 'must be an HTTP method in capitals, or *'),
  path: z
    .string()
    .regex(
      /^(\/([A-Za-z0-9._~-]+|\{[A-Za-z][A-Za-z0-9]*\}))*(\/\*\*)?$/,
      'must be segments such as /finder/{key}',
    )
    .min(2, 'must be segments such as /finder/{key}'),
  service: serviceName,
  split: z
    .array(z.strictObject({service: serviceName, weight: z.number().min(0)}))
    .default([]),
  idempotent: z.boolean(),
  priority: z.enum(['interactive', 'deferrable']),
  timeoutMs: z.int().min(1).max(MAX_TIMEOUT_MS),
  objectiveMs: z.number().min(0).default(0),
  urgency: z.int().min(0).default(0),
  maxAttempts: z.int().min(1).nullable().default(null),
  public: z.boolean().exactOptional(),
});

const limits = z.strictObject({
  maxBodyBytes: z.int().min(0).max(MAX_BODY_BYTES),
  maxKeyBytes: z.int().min(1).max(MAX_KEY_BYTES),
  retryShare: z.number().min(0).max(1),
  maxMovingSlices: z.int().min(1).max(MAX_SLICES),
  drainMs: z.int().min(0).max(MAX_DRAIN_MS),
  idleMs: z.number().min(1).default(DEFAULT_IDLE_MS),
  headerTimeoutMs: z.number().min(1).exactOptional(),
});

const tenant = z.strictObject({
  name: tenantName,
  keyDigests: z.array(
    z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in hex'),
  ),
  urgency: z.int().min(0).nullable().default(null),
  ratePerSecond: z.number().min(0).default(0),
  burst: z.number().min(0).default(0),
});

const documentShape = z.strictObject({
  name: workspaceName,
  version: z.int().min(0),
  zones: z.array(zoneName).min(1).max(64),
  services: z.array(service).min(1).max(256),
  routes: z.array(route).min(1).max(1024),
  limits,
  tenants: z.array(tenant).max(10_000).exactOptional(),
  scheduling: z.enum(['count', 'cost']).exactOptional(),
});

type Document = z.output<typeof documentShape>;
type DeepReadonly<T> = T extends string | number | boolean
  ? T
  : {readonly [K in keyof T]: DeepReadonly<T[K]>};

/**
 * Checks a document and the references within it. The type annotation fails to
 * compile when the schema and `Workspace` differ.
 */
const workspaceSchema: z.ZodType<
  Workspace extends DeepReadonly<Document> ? Workspace : never
> = documentShape.superRefine((document, context) => {
  for (const {path, message} of findFaults(document)) {
    context.addIssue({code: 'custom', path: [...path], message});
  }
});

/**
 * Parses and validates a configuration document.
 *
 * @param text - The JSON text of the document.
 * @returns The workspace, or every fault with its place in the document.
 */
export function parseWorkspace(text: string): ParsedWorkspace {
  const read = parseDocument(text, workspaceSchema);
  if (read.kind === 'invalid') return read;
  return {kind: 'ok', workspace: read.value};
}

/** A fault with its place in the document, as zod expects it. */
interface FaultAtPath {
  readonly path: ReadonlyArray<string | number>;
  readonly message: string;
}

function findFaults(document: Document): readonly FaultAtPath[] {
  return [
    ...findRepeats(document.zones, 'zones'),
    ...findRepeats(
      document.services.map(({name}) => name),
      'services',
    ),
    ...findRepeats(document.routes.map(routePattern), 'routes'),
    ...findTenantFaults(document.tenants ?? []),
    ...document.routes.flatMap((_, index) => findRouteFaults(document, index)),
  ];
}

/** Names and keys are unique, so that each key has one holder. */
function findTenantFaults(
  tenants: ReadonlyArray<z.output<typeof tenant>>,
): readonly FaultAtPath[] {
  return [
    ...findRepeats(
      tenants.map(({name}) => name),
      'tenants',
    ),
    ...findRepeats(
      tenants.flatMap(({keyDigests}) => keyDigests),
      'tenants',
    ),
  ];
}

function findRepeats(
  values: readonly string[],
  list: string,
): readonly FaultAtPath[] {
  const faults: FaultAtPath[] = [];
  values.forEach((value, index) => {
    if (values.indexOf(value) === index) return;
    faults.push({path: [list, index], message: `repeats "${value}"`});
  });
  return faults;
}

/**
 * What a route matches, without the names of its parameters: two routes that
 * differ in these names alone match the same requests.
 */
function routePattern(item: {
  host: string | null;
  method: string;
  path: string;
}): string {
  return `${item.host ?? ''} ${item.method} ${item.path.replace(/\{[^}]*\}/g, '{}')}`;
}

function findRouteFaults(
  document: Document,
  index: number,
): readonly FaultAtPath[] {
  const {split, service} = document.routes[index];
  const names = [service, ...split.map(share => share.service)];
  return names.flatMap(name => findServiceFaults(document, index, name));
}

/** Checks that a service exists and that the route's path holds its key. */
function findServiceFaults(
  document: Document,
  index: number,
  name: ServiceName,
): readonly FaultAtPath[] {
  const {path} = document.routes[index];
  const place = ['routes', index];
  const owner = document.services.find(item => item.name === name);
  if (!owner) {
    const message = `names the unknown service "${name}"`;
    return [{path: [...place, 'service'], message}];
  }
  if (owner.division.kind === 'shared') return [];
  const {key} = owner.division;
  if (key.from === 'header') return [];
  const count = path.split(`{${key.name}}`).length - 1;
  if (count === 1) return [];
  const message = `must hold {${key.name}} once, the key of "${name}"`;
  return [{path: [...place, 'path'], message}];
}
