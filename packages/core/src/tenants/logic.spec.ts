/** @fileoverview Tests of the authentication of tenants. */

import test from 'ava';

import type {Tenant} from '../workspace/types.js';
import {createTenantDirectory, digestOfApiKey} from './logic.js';

const TENANT: Tenant = {
  name: 'a' as Tenant['name'],
  keyDigests: [digestOfApiKey('old'), digestOfApiKey('new')],
  urgency: 1,
  ratePerSecond: 10,
  burst: 5,
};

const CASES: ReadonlyArray<{
  name: string;
  tenants?: readonly Tenant[];
  isPublic: boolean;
  apiKey: string | null;
  tenant: Tenant | null | 'unauthenticated';
}> = [
  {name: 'no tenants', isPublic: false, apiKey: 'new', tenant: null},
  {
    name: 'a key',
    tenants: [TENANT],
    isPublic: false,
    apiKey: 'new',
    tenant: TENANT,
  },
  {
    name: 'a second key',
    tenants: [TENANT],
    isPublic: false,
    apiKey: 'old',
    tenant: TENANT,
  },
  {
    name: 'an unknown key',
    tenants: [TENANT],
    isPublic: false,
    apiKey: 'other',
    tenant: 'unauthenticated',
  },
  {
    name: 'no key',
    tenants: [TENANT],
    isPublic: false,
    apiKey: null,
    tenant: 'unauthenticated',
  },
  {
    name: 'a public route without a key',
    tenants: [TENANT],
    isPublic: true,
    apiKey: null,
    tenant: null,
  },
  {
    name: 'a public route with a key',
    tenants: [TENANT],
    isPublic: true,
    apiKey: 'new',
    tenant: TENANT,
  },
  {
    name: 'no tenant that holds a key',
    tenants: [],
    isPublic: false,
    apiKey: 'new',
    tenant: 'unauthenticated',
  },
];

for (const {name, tenants, isPublic, apiKey, tenant} of CASES) {
  test(`a request with ${name} is authenticated`, t => {
    const directory = createTenantDirectory(
      tenants === undefined ? {} : {tenants},
    );
    const found = directory.authenticate({public: isPublic}, apiKey);
    t.is(found.kind === 'accepted' ? found.tenant : found.kind, tenant);
  });
}
