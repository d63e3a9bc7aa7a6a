/** @fileoverview Tests that docs/CONFIGURATION.md names every default. */

import {readFileSync} from 'node:fs';

import test from 'ava';

import {DEFAULT_TUNING} from './defaults.js';

const PAGE = new URL('../../../../docs/CONFIGURATION.md', import.meta.url);
const ROW = /^\| `tuning\.([a-z]+\.[a-zA-Z]+)` \| (\S+) \| \S.*\|$/gm;

test('docs/CONFIGURATION.md lists each tuning value with its default', t => {
  const rows = [...readFileSync(PAGE, 'utf8').matchAll(ROW)];
  const named = rows.map(([, key, value]) => `${key} ${value}`);
  const defaults = Object.entries(DEFAULT_TUNING).flatMap(([section, values]) =>
    Object.entries(values).map(([key, value]) => `${section}.${key} ${value}`),
  );
  t.deepEqual(named.sort(), defaults.sort());
});

test('docs/CONFIGURATION.md names each parameter of the shared template', t => {
  const template = new URL(
    '../../../../templates/city_service.json',
    import.meta.url,
  );
  const {parameters} = JSON.parse(readFileSync(template, 'utf8')) as {
    parameters: object;
  };
  const page = readFileSync(PAGE, 'utf8');
  for (const name of Object.keys(parameters)) {
    t.true(page.includes(`\`${name}\``), name);
  }
});
