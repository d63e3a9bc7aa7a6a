// Generates the documentation pages that are derived from tables in the code.
import {readFileSync, writeFileSync} from 'node:fs';

import {
  ERROR_RESPONSES,
  DEFAULT_TUNING,
  LOG_EVENTS,
  renderErrorPage,
  renderLogPage,
} from '../packages/core/dist/index.js';

const pageUrl = name => new URL(`../docs/${name}`, import.meta.url);
const writePage = (name, text) => writeFileSync(pageUrl(name), text);

// The table of tuning values is written by hand except for the defaults.
const TUNING_ROW = /^(\| `tuning\.(\w+)\.(\w+)` \|) \S+ \|/gm;
const insertDefaults = page =>
  page.replace(TUNING_ROW, (row, head, section, key) => {
    const value = DEFAULT_TUNING[section]?.[key];
    return value === undefined ? row : `${head} ${value} |`;
  });

writePage('LOGS.md', renderLogPage(LOG_EVENTS));
writePage('ERRORS.md', renderErrorPage(ERROR_RESPONSES));
writePage(
  'CONFIGURATION.md',
  insertDefaults(readFileSync(pageUrl('CONFIGURATION.md'), 'utf8')),
);
