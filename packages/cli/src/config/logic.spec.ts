/** @fileoverview Tests of checks of a configuration before it is applied. */

import {parseWorkspace} from '@jackdawfall/core';
import type {Workspace} from '@jackdawfall/core';
import test from 'ava';

import {checkConfiguration} from './logic.js';

const ROUTE = {
  method: 'GET',
  path: '/orders',
  service: 'orders',
  idempotent: true,
  priority: 'interactive',
  timeoutMs: 1000,
};
const ORDERS = {name: 'orders', division: {kind: 'shared'}, upstreams: 1};
const KEYED = {
  kind: 'keyed',
  slices: 4,
  key: {from: 'header', name: 'order'},
};
const CURRENT = workspaceWith({});

const CASES: ReadonlyArray<{
  name: string;
  route: object;
  service?: object;
  current: Workspace | null;
  exit: 'ok' | 'invalid';
  says: RegExp;
}> = [
  {
    name: 'nothing to compare with',
    route: {},
    current: null,
    exit: 'ok',
    says: /^0 problems, not compared/,
  },
  {
    name: 'a difference',
    route: {timeoutMs: 900},
    current: CURRENT,
    exit: 'ok',
    says: /^changed +routes\[GET \/orders\]\.timeoutMs: 1000 -> 900\n0 problems, 1 differences from version 7$/,
  },
  {
    name: 'another route in place of one',
    route: {method: 'PUT'},
    current: CURRENT,
    exit: 'ok',
    says: /^removed +routes\[GET \/orders\]\nadded +routes\[PUT \/orders\]\n/,
  },
  {
    name: 'an entry without effect',
    route: {objectiveMs: 9000},
    current: null,
    exit: 'invalid',
    says: /^contradiction +routes\.0\.objectiveMs: longer than the timeout/,
  },
  {
    name: 'a change that is not allowed',
    route: {},
    service: {division: KEYED},
    current: CURRENT,
    exit: 'invalid',
    says: /^not allowed +services\.0\.division\.kind: must stay "shared"/,
  },
];

for (const {name, route, service, current, exit, says} of CASES) {
  test(`a check with ${name} ends as ${exit}`, t => {
    const report = checkConfiguration(workspaceWith(route, service), current);
    t.is(report.exit, exit);
    t.regex(report.text, says);
  });
}

function workspaceWith(route: object, service: object = {}): Workspace {
  const parsed = parseWorkspace(
    JSON.stringify({
      name: 'windhoek',
      version: 7,
      zones: ['a'],
      services: [{...ORDERS, ...service}],
      routes: [{...ROUTE, ...route}],
      limits: {
        maxBodyBytes: 1,
        maxKeyBytes: 1,
        retryShare: 0,
        maxMovingSlices: 1,
        drainMs: 0,
      },
    }),
  );
  if (parsed.kind === 'ok') return parsed.workspace;
  throw new Error(JSON.stringify(parsed.faults));
}
