/** @fileoverview Tests that links in the documentation lead to files. */

import {existsSync, readFileSync, readdirSync} from 'node:fs';

import test from 'ava';

const ROOT = new URL('../../../../', import.meta.url);
const LINK = /\]\(([^)#:\s]+)(#[^)]*)?\)/g;

const pages = readdirSync(new URL('docs', ROOT), {recursive: true})
  .map(path => `docs/${String(path)}`)
  .filter(path => path.endsWith('.md'));

for (const page of ['README.md', ...pages]) {
  test(`links in ${page} lead to files`, t => {
    const url = new URL(page, ROOT);
    const links = [...readFileSync(url, 'utf8').matchAll(LINK)];
    const broken = links
      .map(([, target]) => target)
      .filter(target => !existsSync(new URL(target, url)));
    t.deepEqual(broken, []);
  });
}
