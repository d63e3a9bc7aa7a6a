/** @fileoverview Tests that code, catalogue and generated pages agree. */

import {readFileSync, readdirSync} from 'node:fs';

import test from 'ava';

import {ERROR_RESPONSES} from '../errors/logic.js';
import {renderErrorPage} from '../errors/view.js';
import {LOG_EVENTS} from './catalogue.js';
import {renderLogPage} from './view.js';

const ROOT = new URL('../../../../', import.meta.url);

const PAGES: ReadonlyArray<{name: string; text: string}> = [
  {name: 'LOGS.md', text: renderLogPage(LOG_EVENTS)},
  {name: 'ERRORS.md', text: renderErrorPage(ERROR_RESPONSES)},
];

for (const {name, text} of PAGES) {
  test(`docs/${name} is what npm run docs:logs generates`, t => {
    t.is(readFileSync(new URL(`docs/${name}`, ROOT), 'utf8'), text);
  });
}

const SOURCES = [...sourcesOf('packages'), ...sourcesOf('platform')]
  .filter(path => !path.endsWith('log_events/catalogue.ts'))
  .map(path => readFileSync(new URL(path, ROOT), 'utf8'))
  .join('\n');

for (const [name, {code, text}] of Object.entries(LOG_EVENTS)) {
  test(`event ${code} ${name} is logged somewhere`, t => {
    t.true(SOURCES.includes(`'${name}'`));
    t.regex(text, /^[A-Z].*\.$/);
  });
}

test('every log event has a unique code from 100 to 699', t => {
  const codes = Object.values(LOG_EVENTS).map(({code}) => code);
  t.is(new Set(codes).size, codes.length);
  t.true(codes.every(code => code >= 100 && code <= 699));
});

function sourcesOf(folder: string): string[] {
  const entries = readdirSync(new URL(folder, ROOT), {recursive: true});
  return entries
    .map(String)
    .filter(path => /^([a-z]+\/)?src\/.*\.ts$/.test(path))
    .filter(path => !path.endsWith('.spec.ts'))
    .map(path => `${folder}/${path}`);
}
