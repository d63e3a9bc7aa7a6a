/** @fileoverview Finds the tenant that holds the API key of a request. */

import {createHash} from 'node:crypto';

import type {Tenant, Workspace} from '../workspace/types.js';
import type {TenantDirectory} from './types.js';

/**
 * Computes the digest by which configurations name an API key.
 *
 * @param apiKey - The API key.
 * @returns Its SHA-256 digest in lower-case hexadecimal.
 */
export function digestOfApiKey(apiKey: string): string {
  return createHash('sha256').update(apiKey).digest('hex');
}

/**
 * Creates the directory of a configuration. If it has no tenants, all requests
 * are accepted without one.
 *
 * @param workspace - A validated workspace.
 * @returns The directory.
 */
export function createTenantDirectory(
  workspace: Pick<Workspace, 'tenants'>,
): TenantDirectory {
  const {tenants} = workspace;
  const holders = new Map<string, Tenant>();
  for (const tenant of tenants ?? []) {
    for (const digest of tenant.keyDigests) holders.set(digest, tenant);
  }
  return {
    isUsed: tenants !== undefined,
    authenticate(route, apiKey) {
      if (tenants === undefined) return {kind: 'accepted', tenant: null};
      const tenant =
        apiKey === null ? null : (holders.get(digestOfApiKey(apiKey)) ?? null);
      if (tenant === null && route.public !== true) {
        return {kind: 'unauthenticated'};
      }
      return {kind: 'accepted', tenant};
    },
  };
}
