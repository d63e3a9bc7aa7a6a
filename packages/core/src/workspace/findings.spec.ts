/** @fileoverview Tests of findings in valid workspaces, and of differences. */

import test from 'ava';

import {compareWorkspaces} from './differences.js';
import {findIneffectiveEntries} from './findings.js';
import {parseWorkspace} from './schema.js';
import type {Workspace} from './types.js';

const ROUTE = {
  method: 'GET',
  path: '/finder/{key}',
  service: 'finder',
  idempotent: true,
  priority: 'interactive',
  timeoutMs: 1000,
};
const REST = {...ROUTE, path: '/reports/**', service: 'reports'};
const KEY = {from: 'path', name: 'key'};
const FINDER = {
  name: 'finder',
  division: {kind: 'keyed', slices: 8, key: KEY},
  upstreams: 1,
};
const REPORTS = {name: 'reports', division: {kind: 'shared'}, upstreams: 1};
const TENANT = {
  name: 'a',
  keyDigests: ['0'.repeat(64)],
  ratePerSecond: 5,
  burst: 5,
};
const LIMITS = {
  maxBodyBytes: 1000,
  maxKeyBytes: 64,
  retryShare: 0.1,
  maxMovingSlices: 4,
  drainMs: 500,
};
const DOCUMENT = {
  name: 'w',
  version: 1,
  zones: ['a'],
  services: [FINDER, REPORTS],
  routes: [ROUTE, REST],
  limits: LIMITS,
};

function workspaceWith(change: object): Workspace {
  const parsed = parseWorkspace(JSON.stringify({...DOCUMENT, ...change}));
  if (parsed.kind === 'ok') return parsed.workspace;
  throw new Error(JSON.stringify(parsed.faults));
}

const CASES: ReadonlyArray<{change: object; finds: readonly string[]}> = [
  {change: {}, finds: []},
  {change: {routes: [ROUTE]}, finds: ['unreachable services.1']},
  {
    change: {routes: [ROUTE, {...REST, host: 'http://a'}]},
    finds: ['unreachable routes.1.host'],
  },
  {
    change: {
      routes: [
        ROUTE,
        REST,
        {...REST, path: '/reports/{x}'},
        {...REST, path: '/reports/{x}/**'},
      ],
    },
    finds: ['unreachable routes.1.path'],
  },
  {
    change: {
      routes: [
        ROUTE,
        REST,
        {...REST, path: '/reports/{x}', method: 'POST'},
        {...REST, path: '/reports/{x}/**'},
      ],
    },
    finds: [],
  },
  {
    change: {routes: [ROUTE, {...REST, objectiveMs: 2000}]},
    finds: ['contradiction routes.1.objectiveMs'],
  },
  {
    change: {
      routes: [ROUTE, {...REST, maxAttempts: 2}],
      limits: {...LIMITS, retryShare: 0},
    },
    finds: ['contradiction routes.1.maxAttempts'],
  },
  {
    change: {
      services: [{...FINDER, division: {...FINDER.division, keys: 4}}, REPORTS],
    },
    finds: ['unreachable services.0.division.slices'],
  },
  {
    change: {
      services: [
        {...FINDER, division: {...FINDER.division, keys: 1000}},
        REPORTS,
      ],
      limits: {...LIMITS, maxKeyBytes: 2},
    },
    finds: ['contradiction services.0.division.keys'],
  },
  {
    change: {limits: {...LIMITS, drainMs: 1500}},
    finds: ['contradiction limits.drainMs'],
  },
  {
    change: {routes: [ROUTE, {...REST, public: true}]},
    finds: ['contradiction routes.1.public'],
  },
  {change: {tenants: [TENANT]}, finds: []},
  {
    change: {tenants: [{...TENANT, ratePerSecond: 0}]},
    finds: ['contradiction tenants.0.burst'],
  },
  {
    change: {tenants: [{...TENANT, keyDigests: [], burst: 0}]},
    finds: [
      'unreachable tenants.0',
      'contradiction tenants.0.burst',
      'contradiction tenants',
    ],
  },
];

for (const {change, finds} of CASES) {
  test(`findings in a document with ${JSON.stringify(change)}`, t => {
    const findings = findIneffectiveEntries(workspaceWith(change));
    t.deepEqual(
      findings.map(({kind, path}) => `${kind} ${path}`),
      [...finds],
    );
  });
}

const DIFFERENCES: ReadonlyArray<{
  change: object;
  paths: readonly string[];
}> = [
  {change: {version: 2}, paths: []},
  {change: {routes: [REST, ROUTE]}, paths: []},
  {
    change: {routes: [{...ROUTE, timeoutMs: 900}, REST]},
    paths: ['routes[GET /finder/{key}].timeoutMs'],
  },
  {change: {routes: [ROUTE]}, paths: ['routes[GET /reports/**]']},
  {change: {zones: ['a', 'b']}, paths: ['zones[b]']},
  {change: {tenants: [TENANT]}, paths: ['tenants[a]']},
  {change: {scheduling: 'cost'}, paths: ['scheduling']},
];

for (const {change, paths} of DIFFERENCES) {
  test(`differences of a document with ${JSON.stringify(change)}`, t => {
    const found = compareWorkspaces(workspaceWith({}), workspaceWith(change));
    t.deepEqual(
      found.map(({path}) => path),
      [...paths],
    );
  });
}
