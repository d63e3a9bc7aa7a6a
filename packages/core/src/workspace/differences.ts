/** @fileoverview Lists what differs between two workspaces. */

import type {Route, Workspace} from './types.js';

/** One place in which two workspaces differ. */
export interface WorkspaceDifference {
  /** For example `routes[GET /finder/{key}].timeoutMs`. */
  readonly path: string;
  /** The earlier value; undefined if the place is new. */
  readonly before: unknown;
  /** The later value; undefined if the place is gone. */
  readonly after: unknown;
}

/**
 * Compares two workspaces. Routes, services, zones and tenants are compared by
 * name, whatever their order; the version is left out.
 *
 * @param before - The workspace in force.
 * @param after - The workspace that is to replace it.
 * @returns The differences, those of one place next to each other.
 */
export function compareWorkspaces(
  before: Workspace,
  after: Workspace,
): readonly WorkspaceDifference[] {
  return compareValues('', toNamedEntries(before), toNamedEntries(after));
}

/** Lists become objects by name, so that an insertion is one difference. */
function toNamedEntries(workspace: Workspace): object {
  const {zones, services, routes, limits, tenants = [], scheduling} = workspace;
  return {
    name: workspace.name,
    zones: byName(zones, zone => zone),
    services: byName(services, ({name}) => name),
    routes: byName(routes, routeName),
    limits,
    tenants: byName(tenants, ({name}) => name),
    scheduling: scheduling ?? 'count',
  };
}

function routeName({host, method, path}: Route): string {
  return `${host === null ? '' : `${host} `}${method} ${path}`;
}

function byName<T>(
  items: readonly T[],
  nameOf: (item: T) => string,
): Record<string, T> {
  const named = items.map(item => [`[${nameOf(item)}]`, item] as const);
  return Object.fromEntries(named);
}

function compareValues(
  path: string,
  before: unknown,
  after: unknown,
): readonly WorkspaceDifference[] {
  if (!isRecord(before) || !isRecord(after)) {
    const same = JSON.stringify(before) === JSON.stringify(after);
    return same ? [] : [{path, before, after}];
  }
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys].flatMap(key => {
    const separator = path === '' || key.startsWith('[') ? '' : '.';
    const place = `${path}${separator}${key}`;
    return compareValues(place, before[key], after[key]);
  });
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
