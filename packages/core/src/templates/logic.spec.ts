/** @fileoverview Tests of templates, among them the shipped one. */

import {readFileSync} from 'node:fs';

import test from 'ava';

import {parseWorkspace} from '../workspace/schema.js';
import {expandTemplate, parseTemplate} from './logic.js';
import type {Template} from './types.js';

const TEMPLATE: Template = {
  parameters: {
    name: {type: 'string', description: 'Name.'},
    count: {type: 'integer', description: 'Count.', default: 3},
    zones: {type: 'strings', description: 'Zones.'},
  },
  document: {
    a: '${name}',
    b: ['/${name}/${count}'],
    c: '${zones}',
    d: '${count}',
  },
};

const EXPANSIONS: ReadonlyArray<{
  parameters: unknown;
  expected: object;
}> = [
  {
    parameters: {name: 'n', zones: ['x']},
    expected: {a: 'n', b: ['/n/3'], c: ['x'], d: 3},
  },
  {
    parameters: {name: 'n', zones: [], count: 4},
    expected: {a: 'n', b: ['/n/4'], c: [], d: 4},
  },
  {parameters: {zones: []}, expected: ['name']},
  {parameters: {name: 'n', zones: [], colour: 1}, expected: ['colour']},
  {parameters: {name: 5, zones: ['a', 1]}, expected: ['name', 'zones']},
  {parameters: {name: 'n', zones: [], count: 1.5}, expected: ['count']},
  {parameters: [], expected: ['']},
];

for (const {parameters, expected} of EXPANSIONS) {
  test(`${JSON.stringify(parameters)} is expanded or its faults named`, t => {
    const expansion = expandTemplate(TEMPLATE, parameters);
    const seen =
      expansion.kind === 'ok'
        ? expansion.document
        : expansion.faults.map(({path}) => path);
    t.deepEqual(seen, expected);
  });
}

const INVALID: ReadonlyArray<{text: string; path: string}> = [
  {text: '{', path: ''},
  {text: '{"parameters":{}}', path: 'document'},
  {text: '{"parameters":{},"document":["${x}"]}', path: 'document.0'},
  {
    text: '{"parameters":{"x":{"type":"integer","description":"","default":"1"}},"document":"${x}"}',
    path: 'parameters.x.default',
  },
  {
    text: '{"parameters":{"x":{"type":"strings","description":""}},"document":"a${x}"}',
    path: 'document',
  },
  {
    text: '{"parameters":{"x":{"type":"string","description":""}},"document":1}',
    path: 'parameters.x',
  },
];

for (const {text, path} of INVALID) {
  test(`invalid template: ${text}`, t => {
    const parsed = parseTemplate(text);
    if (parsed.kind === 'ok') return t.fail('accepted');
    t.is(parsed.faults[0].path, path);
  });
}

const SHIPPED: ReadonlyArray<{name: string; upstreams: readonly number[]}> = [
  {name: 'taipei', upstreams: [4, 3, 4]},
  {name: 'windhoek', upstreams: [3, 3, 3]},
];

for (const {name, upstreams} of SHIPPED) {
  test(`the shipped template expands to the workspace ${name}`, t => {
    const parsed = parseTemplate(readShipped('city_service.json'));
    if (parsed.kind === 'invalid') return t.fail(JSON.stringify(parsed));
    const parameters: unknown = JSON.parse(
      readShipped(`parameters/${name}.json`),
    );
    const expansion = expandTemplate(parsed.value, parameters);
    if (expansion.kind === 'invalid') return t.fail(JSON.stringify(expansion));
    const read = parseWorkspace(JSON.stringify(expansion.document));
    if (read.kind === 'invalid') return t.fail(JSON.stringify(read.faults));
    const {services, zones, routes} = read.workspace;
    t.is(`${read.workspace.name}`, name);
    t.is(zones.length, 3);
    t.deepEqual(
      services.map(service => service.upstreams),
      upstreams,
    );
    t.deepEqual(
      routes.filter(route => !route.idempotent).map(route => route.service),
      [services[1].name],
    );
  });
}

function readShipped(name: string): string {
  const url = new URL(`../../../../templates/${name}`, import.meta.url);
  return readFileSync(url, 'utf8');
}
